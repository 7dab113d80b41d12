//! A small specification of the core protocol and its explicit-state check.
//!
//! Five models share one checker: [`writes`] (terms, elections, confirmation,
//! tokens, the ledger), [`configuration`] (revisions, lost answers, racing
//! operators, the right to serve), [`links`] (pins and replies), [`leadership`]
//! (permits where promotions don't fence) and [`pausing`] (what a comparison of
//! positions rests on). Transitions call `millwind-core` where it decides. Each
//! guarding rule can be switched off, and the check must then find a counterexample.

pub mod checker;
pub mod configuration;
pub mod leadership;
pub mod links;
pub mod pausing;
pub mod rule;
pub mod writes;

pub use checker::{Counterexample, Model, Outcome, check};
pub use rule::Rule;
