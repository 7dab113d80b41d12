//! Whether links to owners can be trusted.
//!
//! With many nodes most links rest for seconds between two statements, so that a
//! cut would be found by one statement after another, each on a link of its own.
//! One link that falls silent, or one node that gives no answer, is reason enough
//! to ask on each resting link whether it works before a statement is sent.

use std::sync::atomic::{AtomicU64, Ordering};

use log::info;
use millwind_core::Instant;

use crate::clock;

/// Links are doubted for this time after the last sign of trouble, in
/// milliseconds: longer than a resting link takes to be used again.
const DOUBT_MS: u64 = 5_000;

/// The doubt that all links of a node share.
#[derive(Debug, Default)]
pub struct LinkDoubt {
    /// End of the doubt, in microseconds of the node's clock.
    until: AtomicU64,
}

impl LinkDoubt {
    /// A link is silent, or a node gave no answer.
    pub fn raise(&self) {
        let until = clock::now().plus_millis(DOUBT_MS);
        let was_raised = self.is_raised();
        self.until.store(until.0, Ordering::Relaxed);
        if !was_raised {
            info!("event=links_doubted for_ms={DOUBT_MS}");
        }
    }

    /// Whether links must prove themselves before a statement is sent.
    pub fn is_raised(&self) -> bool {
        clock::now() < Instant(self.until.load(Ordering::Relaxed))
    }
}
