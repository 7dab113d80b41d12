//! Settings: bad input names the field and what is allowed.

use std::path::Path;

use millwind_node::NodeSettings;
use proptest::prelude::*;

fn example() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../config/node.toml");
    std::fs::read_to_string(path).expect("the example is there")
}

fn read(text: &str) -> Result<NodeSettings, String> {
    let settings: NodeSettings = toml::from_str(text).map_err(|error| error.to_string())?;
    settings.check().map_err(|error| error.to_string())?;
    Ok(settings)
}

#[test]
fn the_example_is_valid() {
    let settings = read(&example()).expect("valid");
    assert_eq!(settings.name, "naas-hall-n1");
    assert_eq!(settings.drain_ms, 30_000);
}

#[test]
fn a_bad_value_is_named_with_its_range() {
    let cases = [
        (
            "drain_ms = 30000",
            "drain_ms = 1",
            "drain_ms must be 100..=600000",
        ),
        (
            "maximum_clients = 20000",
            "maximum_clients = 0",
            "maximum_clients must be 1..=1000000",
        ),
        (
            "zone = \"naas-hall\"",
            "zone = \"a b\"",
            "zone must be 1 to 64 letters",
        ),
        (
            "platform = [\"127.0.0.1:2379\"]",
            "platform = []",
            "platform must be one address or more",
        ),
        (
            "platform_prefix = \"/millwind/\"",
            "platform_prefix = \"m\"",
            "platform_prefix must be a text",
        ),
        ("drain_ms", "drain_msec", "unknown field `drain_msec`"),
        ("\"127.0.0.1:6432\"", "\"localhost:6432\"", "client_address"),
    ];
    for (from, to, expected) in cases {
        let text = example().replace(from, to);
        let error = read(&text).expect_err(expected);
        assert!(error.contains(expected), "{error} should contain {expected}");
    }
}

#[test]
fn an_advertised_address_may_be_dialled_elsewhere() {
    let text = example().replace("# \"10.0.1.5:5432\"", "\"10.0.1.5:5432\"");
    let settings = read(&text).expect("valid");
    let advertised = "10.0.1.5:5432".parse().expect("an address");
    assert_eq!(
        settings.connect_address(advertised).to_string(),
        "192.0.2.5:15432"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(19), ..ProptestConfig::with_cases(256) })]

    #[test]
    fn any_text_is_settings_or_an_error(text in ".{0,300}") {
        let _ = read(&text);
    }
}
