//! Settings: errors name the invalid field and its allowed values.

use std::path::Path;

use millwind_node::NodeSettings;
use proptest::prelude::*;

fn example() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../config/node.toml");
    std::fs::read_to_string(path).expect("the example file is readable")
}

fn read(text: &str) -> Result<NodeSettings, String> {
    let settings: NodeSettings = toml::from_str(text).map_err(|error| error.to_string())?;
    settings.check().map_err(|error| error.to_string())?;
    Ok(settings)
}

#[test]
fn the_example_file_is_valid() {
    let settings = read(&example()).expect("valid");
    assert_eq!(settings.name, "naas-hall-n1");
    assert_eq!(settings.drain_ms, 30_000);
}

#[test]
fn an_error_names_the_field_and_its_allowed_values() {
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
fn an_advertised_address_maps_to_its_dial_address() {
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
    fn arbitrary_text_does_not_panic(text in ".{0,300}") {
        let _ = read(&text);
    }
}
