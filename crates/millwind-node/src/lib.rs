//! The millwind proxy node.
//!
//! Every node is a gateway for clients, the owner of some back-end instances and a
//! member of the control plane; some nodes also relay the configuration to their
//! zone. `millwind-core` contains the decision logic; this crate performs the I/O.

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
