//! Places in the history of the store.

use std::fmt;

use binrw::binrw;

/// A place in the store's history.
///
/// A store that is restored from an older copy begins a new era: what was written since
/// the copy is gone, and its revisions go back and are given out again. Revisions alone
/// then tell nothing: a later one may stand for less. Pairs of era and revision are in the
/// order in which things happened, since everything that a store holds in a later era was
/// confirmed by the restore.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct StoreRevision {
    /// How often the store had been restored; zero where it does not tell.
    pub era: u32,
    /// The store's own revision, which rises with each change within an era.
    pub number: u64,
}

/// Bits of a fencing token that hold the revision's number: ten years at 3,200 writes a
/// second, the most that a store of the users' platform takes. Up to 8,191 eras a token
/// stays a whole number for readers that keep numbers in 64-bit floating point.
const TOKEN_NUMBER_BITS: u32 = 40;

impl StoreRevision {
    /// Before everything: of a key that does not exist, and of nothing known.
    pub const NONE: StoreRevision = StoreRevision { era: 0, number: 0 };

    /// A revision of an era.
    pub const fn new(era: u32, number: u64) -> Self {
        StoreRevision { era, number }
    }

    /// Whether it stands for nothing known.
    pub fn is_none(self) -> bool {
        self == StoreRevision::NONE
    }

    /// The fencing token of what was written at this revision: it rises with the
    /// revisions of an era, and across eras whatever the store's counter does.
    pub fn fencing_token(self) -> u64 {
        let most = (1 << TOKEN_NUMBER_BITS) - 1;
        (u64::from(self.era) << TOKEN_NUMBER_BITS) | self.number.min(most)
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.era, self.number)
    }
}
