//! Tracks whether links to owners must be probed before use.
//!
//! In a large cluster most links are idle for seconds between statements. After a
//! network partition each link would lose a statement before its failure is detected.
//! Therefore one silent link, or one node that fails to answer, makes all links
//! suspect: an idle link is probed before a statement is sent over it.

use std::sync::atomic::{AtomicU64, Ordering};

use log::info;
use millwind_core::Instant;

use crate::clock;

/// Time in milliseconds for which links stay suspect after the last failure. It exceeds
/// the usual idle time of a link.
const SUSPICION_DURATION_MS: u64 = 5_000;

/// Suspicion of network failure, shared by all links of a node.
#[derive(Debug, Default)]
pub struct LinkSuspicion {
    /// End of the suspicion, in microseconds of the node's clock.
    ends_at: AtomicU64,
}

impl LinkSuspicion {
    /// Marks all links as suspect after a link became silent or a node failed to answer.
    pub fn raise(&self) {
        let ends_at = clock::now().plus_millis(SUSPICION_DURATION_MS);
        let was_raised = self.is_raised();
        self.ends_at.store(ends_at.0, Ordering::Relaxed);
        if !was_raised {
            info!("event=links_doubted for_ms={SUSPICION_DURATION_MS}");
        }
    }

    /// Returns whether idle links must be probed before use.
    pub fn is_raised(&self) -> bool {
        clock::now() < Instant(self.ends_at.load(Ordering::Relaxed))
    }
}
