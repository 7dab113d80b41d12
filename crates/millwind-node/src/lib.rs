//! The millwind proxy node.
//!
//! A node plays every role: gateway for callers, owner of some back-end
//! instances, member of the control plane, and in some zones relay of the
//! configuration. Decisions are made in `millwind-core`; this crate does the
//! input and output.

pub mod admin;
pub mod admin_change;
pub mod clock;
pub mod config_watch;
pub mod control;
pub mod daemon;
pub mod decisions;
pub mod gateway;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod owner;
pub mod peer;
pub mod pg;
pub mod settings;

pub use node::{Node, NodeError};
pub use settings::NodeSettings;
