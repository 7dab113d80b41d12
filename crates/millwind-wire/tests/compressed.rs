//! Compression round trips, and decompression of corrupt data.

use millwind_wire::compressed::Compressed;
use millwind_wire::exchange::{decode_exchange, encode_exchange};
use proptest::prelude::*;

/// Generates a configuration with the given number of routes, whose names look random.
fn config_document(routes: u64) -> Vec<u8> {
    let route = |number: u64| {
        let name = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 24;
        format!(
            r#"{{"name":"r-{name:010x}","hostname":"h{name:010x}","path-prefix":"/","type":"read_your_writes","timeout-ms":800,"target-latency-ms":800,"priority":2,"backend":"ledger","max-staleness-ms":2500}},"#
        )
    };
    (0..routes).map(route).collect::<String>().into_bytes()
}

#[test]
fn large_configuration_compresses_to_less_than_a_sixth() {
    let uncompressed = config_document(2_866);
    let compressed = Compressed::compress(&uncompressed).unwrap();
    let size = compressed.compressed_bytes();
    assert!(size * 6 < uncompressed.len(), "{size} of {}", uncompressed.len());
    assert_eq!(compressed.decompress().unwrap(), uncompressed);
}

proptest! {
    #[test]
    fn compression_round_trips(uncompressed in prop::collection::vec(any::<u8>(), 0..5_000)) {
        let compressed = Compressed::compress(&uncompressed).unwrap();
        let message = encode_exchange(&compressed).unwrap();
        let decoded: Compressed = decode_exchange(&message).unwrap();
        prop_assert_eq!(decoded.decompress().unwrap(), uncompressed);
    }

    #[test]
    fn corrupt_data_has_the_declared_length_or_fails(
        offset in 0_usize..4_000,
        value in any::<u8>(),
    ) {
        let uncompressed = config_document(40);
        let mut message = encode_exchange(&Compressed::compress(&uncompressed).unwrap()).unwrap();
        // Skips the version byte and the declared length.
        let index = 5 + offset % (message.len() - 5);
        message[index] = value;
        let Ok(decoded) = decode_exchange::<Compressed>(&message) else {
            return Ok(());
        };
        if let Ok(bytes) = decoded.decompress() {
            prop_assert_eq!(bytes.len(), uncompressed.len());
        }
    }
}
