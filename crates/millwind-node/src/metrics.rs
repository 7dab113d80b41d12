//! Metrics in the Prometheus text format.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of a finished request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// `read`, `write`, `begin`, `continue`, `commit`.
    pub kind: &'static str,
    /// `answered` or the name of the error kind.
    pub result: &'static str,
    /// `primary`, `replica` or `none`.
    pub role: &'static str,
}

/// All metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Finished requests.
    pub requests: Family<RequestLabels, Counter>,
    /// Time from arrival to response, in seconds.
    pub latency: Histogram,
    /// Connected clients.
    pub clients: Gauge,
    /// Requests whose outcome was looked up by request id.
    pub resolved: Counter,
    /// Number of times a request waited for a primary.
    pub held: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("millwind");
        let requests = Family::<RequestLabels, Counter>::default();
        let latency = Histogram::new(exponential_buckets(0.000_05, 2.0, 18));
        let clients = Gauge::default();
        let resolved = Counter::default();
        let held = Counter::default();
        registry.register("requests", "Finished requests", requests.clone());
        registry.register("request_seconds", "Time from arrival to answer", latency.clone());
        registry.register("clients", "Callers connected", clients.clone());
        registry.register("resolved", "Requests settled by the ledger", resolved.clone());
        registry.register("held", "Requests held for a primary", held.clone());
        Metrics {
            registry,
            requests,
            latency,
            clients,
            resolved,
            held,
        }
    }
}

impl Metrics {
    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }
}
