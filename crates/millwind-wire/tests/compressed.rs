//! Compressed documents come out as they went in, and damaged ones are refused.

use millwind_wire::compressed::Compressed;
use millwind_wire::exchange::{decode_exchange, encode_exchange};
use proptest::prelude::*;

/// A document like a configuration of many routes with names that look random.
fn document(routes: u64) -> Vec<u8> {
    let route = |number: u64| {
        let name = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 24;
        format!(
            r#"{{"name":"r-{name:010x}","hostname":"h{name:010x}","path-prefix":"/","type":"read_your_writes","timeout-ms":800,"target-latency-ms":800,"priority":2,"backend":"ledger","max-staleness-ms":2500}},"#
        )
    };
    (0..routes).map(route).collect::<String>().into_bytes()
}

#[test]
fn a_configuration_of_many_routes_travels_in_less_than_a_sixth() {
    let whole = document(2_866);
    let packed = Compressed::pack(&whole).unwrap();
    let travelling = packed.travelling_bytes();
    assert!(travelling * 6 < whole.len(), "{travelling} of {}", whole.len());
    assert_eq!(packed.unpack().unwrap(), whole);
}

proptest! {
    #[test]
    fn any_bytes_come_out_as_they_went_in(whole in prop::collection::vec(any::<u8>(), 0..5_000)) {
        let packed = Compressed::pack(&whole).unwrap();
        let message = encode_exchange(&packed).unwrap();
        let read: Compressed = decode_exchange(&message).unwrap();
        prop_assert_eq!(read.unpack().unwrap(), whole);
    }

    #[test]
    fn damaged_bytes_never_come_out_longer_than_announced(
        at in 0_usize..4_000,
        value in any::<u8>(),
    ) {
        let whole = document(40);
        let mut message = encode_exchange(&Compressed::pack(&whole).unwrap()).unwrap();
        // Behind the version byte and the announced length.
        let place = 5 + at % (message.len() - 5);
        message[place] = value;
        let Ok(read) = decode_exchange::<Compressed>(&message) else {
            return Ok(());
        };
        if let Ok(bytes) = read.unpack() {
            prop_assert_eq!(bytes.len(), whole.len());
        }
    }
}
