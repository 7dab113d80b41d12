//! What shows that an instance began anew under its name.

use std::net::SocketAddr;

use millwind_core::incarnation::{Incarnation, LifeEvidence, LifeSigns, began_anew};
use proptest::prelude::*;

fn signs(born: Option<u64>, heartbeat: Option<u64>) -> LifeSigns {
    LifeSigns {
        incarnation: born.map(Incarnation),
        heartbeat,
        address: SocketAddr::from(([127, 0, 0, 1], 5_001)),
        is_leaving: false,
    }
}

#[test]
fn another_time_of_start_is_another_life_also_where_the_clock_went_back() {
    let former = signs(Some(2_000), Some(9));
    for later in [signs(Some(3_000), Some(1)), signs(Some(1_000), Some(10))] {
        assert_eq!(began_anew(&former, &later), Some(LifeEvidence::Incarnation));
    }
}

#[test]
fn the_same_time_of_start_is_the_same_life_whatever_is_counted() {
    let former = signs(Some(2_000), Some(9));
    let mut later = signs(Some(2_000), Some(1));
    assert_eq!(began_anew(&former, &later), None);
    later.address = SocketAddr::from(([127, 0, 0, 1], 5_002));
    assert_eq!(began_anew(&former, &later), None);
}

#[test]
fn a_record_that_tells_its_life_follows_none_that_did_not() {
    let untold = signs(None, Some(9));
    let told = signs(Some(2_000), Some(10));
    assert_eq!(began_anew(&untold, &told), Some(LifeEvidence::Incarnation));
    assert_eq!(began_anew(&told, &untold), Some(LifeEvidence::Incarnation));
}

#[test]
fn without_a_time_of_start_a_count_that_begins_anew_tells() {
    let former = signs(None, Some(9));
    assert_eq!(began_anew(&former, &signs(None, Some(9))), None);
    assert_eq!(began_anew(&former, &signs(None, Some(10))), None);
    assert_eq!(began_anew(&former, &signs(None, None)), None);
    assert_eq!(
        began_anew(&former, &signs(None, Some(1))),
        Some(LifeEvidence::Heartbeat)
    );
}

#[test]
fn without_a_time_of_start_another_address_or_an_end_taken_back_tells() {
    let mut former = signs(None, None);
    let mut later = former;
    later.address = SocketAddr::from(([127, 0, 0, 1], 5_002));
    assert_eq!(began_anew(&former, &later), Some(LifeEvidence::Address));
    former.is_leaving = true;
    assert_eq!(
        began_anew(&former, &signs(None, None)),
        Some(LifeEvidence::Returned)
    );
}

proptest! {
    #[test]
    fn two_lives_that_tell_their_start_are_never_taken_for_one(
        former in 0_u64..5, later in 0_u64..5, beats in prop::array::uniform2(prop::option::of(0_u64..5)),
    ) {
        let began = began_anew(&signs(Some(former), beats[0]), &signs(Some(later), beats[1]));
        prop_assert_eq!(began.is_some(), former != later);
    }
}
