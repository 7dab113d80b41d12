//! The statement engine of millwind.
//!
//! The engine manages callers' sessions, pools of back-end connections, the directory of
//! database groups and instances, and the failover of lost leaders. Wire protocols and the
//! promotion service are the traits in [`ports`], and the store is the trait in
//! `millwind-store`; adapters implement both. The decision logic is in `millwind-core`; this
//! crate performs the input and output.

pub mod answer;
pub mod backend;
pub mod catalog;
pub mod catalog_cache;
pub mod catalog_intake;
pub mod catalog_watch;
pub mod clock;
pub mod connection_shares;
pub mod counted_store;
pub mod directory;
mod document_cache;
pub mod eligibility;
pub mod evacuation;
pub mod execution;
pub mod failover;
pub mod failover_ownership;
pub mod floor;
pub mod forward;
pub mod in_progress_groups;
pub mod lead_terms;
pub mod leader_demand;
mod lending;
pub mod listener;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod own_keys;
pub mod peer_reach;
pub mod peers;
pub mod ports;
pub mod quota;
pub mod readiness;
mod region_warnings;
mod registered_nodes;
pub mod registration;
pub mod registry;
pub mod relays;
pub mod resent_writes;
pub mod session;
pub mod settings;
pub mod statement;
pub mod store_watch;
pub mod term_closing;
pub mod unreachable_nodes;
pub mod unreadable_documents;
pub mod warm_up_credits;
pub mod watch_list;
