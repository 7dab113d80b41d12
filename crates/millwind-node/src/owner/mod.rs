//! The owner of back-end instances: holds their connections and admission
//! queues, runs batches, confirms writes and settles request ids.

mod execute;
mod ledger;
mod monitor;
mod pins;
mod pool;
mod service;

pub use ledger::{CREATE_LEDGER, is_valid_key};
pub use monitor::{GroupSnapshot, MonitorHandle};
pub use service::{LOCAL_LINK, OwnerService, PeerService};
