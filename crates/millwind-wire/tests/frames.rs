//! Frame round trips, and decoding of malformed frames, which must not panic or allocate
//! much memory.

use millwind_wire::control::{ControlMessage, Digest, Liveness, MemberRecord, WireDocument, ZoneReport};
use millwind_wire::{
    ExecuteReply, ExecuteRequest, ExecuteResult, Hello, Intent, PROTOCOL_VERSION, PeerMessage, WireError,
    WirePosition, WireTermStart, decode, encode,
};
use proptest::prelude::*;

fn member_record() -> impl Strategy<Value = MemberRecord> {
    (".{0,12}", any::<u64>(), 0u8..2).prop_map(|(node, incarnation, leaving)| MemberRecord {
        node,
        address: "127.0.0.1:1".to_owned(),
        zone: "z".to_owned(),
        region: "r".to_owned(),
        incarnation,
        liveness: Liveness::Suspect,
        leaving,
    })
}

fn peer_message() -> impl Strategy<Value = PeerMessage> {
    let control = prop_oneof![
        (any::<u64>(), proptest::collection::vec(member_record(), 0..6))
            .prop_map(|(sequence, updates)| ControlMessage::Ping { sequence, updates }),
        (any::<u64>(), any::<u64>()).prop_map(|(revision, hash)| ControlMessage::ConfigReport {
            sequence: 1,
            digest: Digest { revision, hash },
            platform_age_ms: 5,
            zones: vec![ZoneReport {
                zone: "z".to_owned(),
                region: "r".to_owned(),
                age_ms: 1,
                platform_age_ms: u32::MAX,
            }],
        }),
        (any::<u64>(), ".{0,40}").prop_map(|(to, body)| ControlMessage::ConfigDelta {
            from: 0,
            to,
            documents: vec![WireDocument {
                key: "tenant/a".to_owned(),
                revision: to,
                deleted: 0,
                change_id: String::new(),
                body,
            }],
        }),
    ];
    let execute =
        (any::<u64>(), proptest::collection::vec(any::<u8>(), 0..64)).prop_map(|(request_id, batch)| {
            PeerMessage::Execute(ExecuteRequest {
                request_id,
                intent: Intent::Write,
                tenant: "t".to_owned(),
                group: "g".to_owned(),
                instance: "i".to_owned(),
                pin: 0,
                window_ms: 1,
                weight: 1,
                value: 2,
                token: WirePosition {
                    term: 1,
                    log_position: 2,
                },
                staleness_ms: 3,
                wait_ms: 4,
                request_key: "k".to_owned(),
                batch,
            })
        });
    let reply = (any::<u64>(), ".{0,30}").prop_map(|(request_id, detail)| {
        PeerMessage::ExecuteReply(ExecuteReply {
            request_id,
            result: ExecuteResult::Failed {
                kind: 1,
                progress: 0,
                detail,
            },
            primary: 1,
            held: WirePosition::default(),
            history: vec![WireTermStart { term: 2, start: 7 }],
            lag_ms: 9,
        })
    });
    prop_oneof![control.prop_map(PeerMessage::Control), execute, reply]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(512) })]

    #[test]
    fn message_round_trips(peer_message in peer_message()) {
        let frame = encode(&peer_message).expect("encodes");
        prop_assert_eq!(decode(&frame).expect("decodes"), peer_message);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let mut frame = vec![PROTOCOL_VERSION];
        frame.extend(bytes);
        let _ = decode(&frame);
    }

    #[test]
    fn corrupt_frame_does_not_panic_and_truncated_frame_fails(peer_message in peer_message(), position in any::<prop::sample::Index>(), value in any::<u8>()) {
        let mut frame = encode(&peer_message).expect("encodes");
        let index = position.index(frame.len());
        frame[index] = value;
        let _ = decode(&frame);
        frame.truncate(index);
        prop_assert!(decode(&frame).is_err());
    }
}

#[test]
fn oversized_length_is_rejected() {
    let hello = encode(&PeerMessage::Hello(Hello {
        node: "n".to_owned(),
        incarnation: 1,
    }))
    .expect("encodes");
    let mut frame = hello.clone();
    frame[2..6].copy_from_slice(&u32::MAX.to_be_bytes());
    assert!(matches!(decode(&frame), Err(WireError::Malformed(_))));
}

#[test]
fn unsupported_version_is_reported() {
    let error = decode(&[9, 1]).expect_err("refused");
    assert_eq!(
        error.to_string(),
        "frame has protocol version Some(9), this node speaks 1"
    );
}

#[test]
fn trailing_bytes_are_rejected() {
    let mut frame = encode(&PeerMessage::KeepAlive).expect("encodes");
    frame.push(0);
    assert!(matches!(decode(&frame), Err(WireError::TrailingBytes(1))));
}
