//! Explicit-state model checking of the core protocol.
//!
//! Five models share one checker:
//!
//! - [`writes`]: terms, elections, confirmation, tokens and the request ledger.
//! - [`configuration`]: revisions, lost answers, concurrent operators and the serving gate.
//! - [`links`]: transaction pins and the matching of replies to requests.
//! - [`leadership`]: permits in groups whose promotions do not fence the old leader.
//! - [`pausing`]: the comparison of replica positions before a promotion.
//!
//! Transitions call `millwind-core` for its decisions. Each protocol rule can be disabled,
//! and the check must then find a counterexample.

pub mod checker;
pub mod configuration;
pub mod leadership;
pub mod links;
pub mod pausing;
pub mod rule;
pub mod writes;

pub use checker::{Counterexample, Model, Outcome, check};
pub use rule::Rule;
