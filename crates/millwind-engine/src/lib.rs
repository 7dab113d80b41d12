//! The statement engine of millwind.
//!
//! It keeps callers' sessions, the pools of back-end connections, what is
//! believed about database groups, and the replacement of lost leaders. It
//! knows no wire protocol, no store and no promotion service of its own: those
//! are the ports in [`ports`], implemented by an adapter. Decisions come from
//! `millwind-core`; this crate does the input and output.

pub mod answer;
pub mod backend;
pub mod catalog;
pub mod catalog_cache;
pub mod catalog_intake;
pub mod catalog_watch;
pub mod clock;
pub mod cold_places;
pub mod connection_shares;
pub mod counted_store;
pub mod directory;
pub mod duty;
pub mod eligibility;
pub mod evacuation;
pub mod execution;
pub mod failover;
pub mod floor;
pub mod forward;
pub mod group_marks;
mod kept_documents;
pub mod lead_terms;
pub mod leader_demand;
mod lending;
pub mod listener;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod own_keys;
pub mod passed_over;
pub mod peer_reach;
pub mod peers;
pub mod ports;
pub mod quota;
pub mod readiness;
mod region_terms;
mod registered_nodes;
pub mod registration;
pub mod registry;
pub mod relays;
pub mod session;
pub mod settings;
pub mod statement;
pub mod store_watch;
pub mod term_closing;
pub mod watch_list;
