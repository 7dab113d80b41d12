//! Ordering of store revisions and fencing tokens across restores of the store.

use millwind_wire::store_revision::StoreRevision;
use proptest::prelude::*;

#[test]
fn revisions_are_ordered_by_era_first() {
    let before_restore = StoreRevision::new(1, 900);
    let after_restore = StoreRevision::new(2, 100);
    assert!(after_restore > before_restore);
    assert!(after_restore.fencing_token() > before_restore.fencing_token());
    assert!(StoreRevision::NONE < StoreRevision::new(0, 1));
}

#[test]
fn token_in_era_zero_is_the_revision_number() {
    assert_eq!(StoreRevision::new(0, 4_711).fencing_token(), 4_711);
}

proptest! {
    /// Fencing tokens are ordered like their revisions, and differ for different revisions.
    #[test]
    fn tokens_are_ordered_like_revisions(
        left in (0_u32..8_000, 0_u64..1 << 40),
        right in (0_u32..8_000, 0_u64..1 << 40),
    ) {
        let (left, right) = (StoreRevision::new(left.0, left.1), StoreRevision::new(right.0, right.1));
        prop_assert_eq!(left.cmp(&right), left.fencing_token().cmp(&right.fencing_token()));
        prop_assert!(left.fencing_token() < 1 << 53);
    }
}
