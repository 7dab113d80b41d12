//! The node's role as owner of back-end instances: keeps their connection pools
//! and admission queues, runs batches, confirms commits and resolves requests
//! whose outcome is unknown.

mod execute;
mod ledger;
mod monitor;
mod pins;
mod pool;
mod service;

pub use ledger::{CREATE_LEDGER, is_valid_request_key};
pub use monitor::{GroupSnapshot, MonitorHandle};
pub use service::{LOCAL_LINK, OwnerService, PeerService};
