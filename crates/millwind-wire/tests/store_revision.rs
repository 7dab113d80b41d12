//! Places in the history of a store that may be restored.

use millwind_wire::store_revision::StoreRevision;
use proptest::prelude::*;

#[test]
fn a_later_era_comes_after_every_revision_of_an_earlier_one() {
    let lost = StoreRevision::new(1, 900);
    let restored = StoreRevision::new(2, 100);
    assert!(restored > lost);
    assert!(restored.fencing_token() > lost.fencing_token());
    assert!(StoreRevision::NONE < StoreRevision::new(0, 1));
}

#[test]
fn without_eras_a_token_is_the_revision() {
    assert_eq!(StoreRevision::new(0, 4_711).fencing_token(), 4_711);
}

proptest! {
    /// Tokens are in the order of what they stand for, and no two writes share one.
    #[test]
    fn tokens_rise_with_revisions(
        left in (0_u32..8_000, 0_u64..1 << 40),
        right in (0_u32..8_000, 0_u64..1 << 40),
    ) {
        let (left, right) = (StoreRevision::new(left.0, left.1), StoreRevision::new(right.0, right.1));
        prop_assert_eq!(left.cmp(&right), left.fencing_token().cmp(&right.fencing_token()));
        prop_assert!(left.fencing_token() < 1 << 53);
    }
}
