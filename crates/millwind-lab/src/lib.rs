//! Test harness for millwind: simulators of the external systems, a load
//! generator that checks every response, fault-injection experiments, and
//! simulations of the control plane alone.

pub mod client;
pub mod cluster;
pub mod demo;
pub mod deployment;
pub mod experiment;
pub mod history;
pub mod hollow;
pub mod http;
pub mod instance;
pub mod overhead;
pub mod platform;
pub mod ports;
pub mod process_memory;
pub mod relay;
pub mod report;
pub mod workload;
