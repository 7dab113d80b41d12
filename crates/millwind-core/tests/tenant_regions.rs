//! Tests of the allowed regions that operators configure for templates and tenants.

use millwind_core::config_state::{ConfigState, ResolvedConfig};
use millwind_core::data_residency::AllowedRegions;
use millwind_core::ids::{RegionName, TenantName};
use millwind_wire::control::WireDocument;

const GROUP: &str = r#"
name = "ledger"
user = "proxy"
database = "ledger"

[[instances]]
name = "i-a"
address = "127.0.0.1:5432"
zone = "north-1"
region = "north"
slots = 4
connections = 20

[[instances]]
name = "i-b"
address = "127.0.0.1:5433"
zone = "south-1"
region = "south"
slots = 4
connections = 20
"#;

fn document(key: &str, revision: u64, body: &str) -> WireDocument {
    WireDocument {
        key: key.to_owned(),
        revision,
        deleted: 0,
        change_id: String::new(),
        body: body.to_owned(),
    }
}

fn template(line: &str) -> WireDocument {
    document("template/standard", 2, &format!("name = \"standard\"\n{line}\n"))
}

fn tenant(line: &str) -> WireDocument {
    let body = format!("name = \"shop\"\ntemplate = \"standard\"\ngroup = \"ledger\"\n{line}\n");
    document("tenant/shop", 3, &body)
}

fn state_of(template_line: &str, tenant_line: &str) -> ConfigState {
    let mut state = ConfigState::default();
    let documents = [
        document("group/ledger", 1, GROUP),
        template(template_line),
        tenant(tenant_line),
    ];
    state.apply_snapshot(3, &documents);
    state
}

fn regions_of(state: &ConfigState) -> AllowedRegions {
    let (resolved, errors) = state.resolve(&ResolvedConfig::default());
    assert!(errors.is_empty(), "{errors:?}");
    resolved.tenants[&TenantName::from("shop")]
        .allowed_regions
        .clone()
}

fn refusal(state: &ConfigState, change: &WireDocument) -> String {
    state.check_change(change).unwrap_err().to_string()
}

#[test]
fn allowed_regions_are_the_intersection_of_template_and_tenant() {
    let north = AllowedRegions::from_list([RegionName::from("north")]);
    assert!(regions_of(&state_of("", "")).is_any());
    assert_eq!(regions_of(&state_of("allowed_regions = [\"north\"]", "")), north);
    assert_eq!(regions_of(&state_of("", "allowed-regions = [\"north\"]")), north);
    let both = state_of(
        "allowed_regions = [\"north\", \"south\"]",
        "allowed_regions = [\"north\"]",
    );
    assert_eq!(regions_of(&both), north);
}

#[test]
fn an_unknown_region_is_rejected_and_the_known_regions_are_listed() {
    let state = state_of("", "");
    let message = refusal(&state, &tenant("allowed_regions = [\"nroth\"]"));
    for part in ["tenant/shop", "nroth", "ledger", "north,south"] {
        assert!(message.contains(part), "{message}");
    }
    let message = refusal(&state, &template("allowed_regions = [\"nroth\"]"));
    assert!(message.contains("nroth"), "{message}");
    assert!(
        state
            .check_change(&tenant("allowed_regions = [\"south\"]"))
            .is_ok()
    );
}

#[test]
fn allowed_regions_without_overlap_are_rejected() {
    let state = state_of("allowed_regions = [\"north\"]", "");
    let message = refusal(&state, &tenant("allowed_regions = [\"south\"]"));
    assert!(message.contains("no region in common"), "{message}");
}

#[test]
fn removing_the_last_instance_of_an_allowed_region_is_rejected() {
    let state = state_of("", "allowed_regions = [\"south\"]");
    let moved = GROUP.replace("region = \"south\"", "region = \"east\"");
    let message = refusal(&state, &document("group/ledger", 4, &moved));
    assert!(message.contains("south"), "{message}");
}

/// A stored configuration without a common region must not be usable for any statement, and
/// must not block other changes.
#[test]
fn stored_allowed_regions_without_overlap_allow_nothing() {
    let state = state_of("allowed_regions = [\"north\"]", "allowed_regions = [\"south\"]");
    assert_eq!(regions_of(&state).to_string(), "none");
    let larger = GROUP.replace("slots = 4", "slots = 8");
    assert!(state.check_change(&document("group/ledger", 4, &larger)).is_ok());
}
