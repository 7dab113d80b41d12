//! Prometheus metrics of a node.

use millwind_core::ids::InstanceName;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of an answered statement.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerLabels {
    /// Kind of statement.
    pub statement: &'static str,
    /// Outcome of the statement.
    pub outcome: &'static str,
}

/// Labels of a statement's latency.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StatementLabels {
    /// Kind of statement.
    pub statement: &'static str,
}

/// Labels of a call to the store or the promotion service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Name of the called operation.
    pub call: &'static str,
    /// Outcome of the call.
    pub outcome: &'static str,
}

/// Counters of calls to the store and the promotion service, by operation and outcome.
/// Clones share their counters.
#[derive(Debug, Clone, Default)]
pub struct CallCounts(Family<CallLabels, Counter>);

impl CallCounts {
    /// Counts a completed call.
    pub fn count(&self, call: &'static str, outcome: &'static str) {
        self.0.get_or_create(&CallLabels { call, outcome }).inc();
    }
}

/// Labels of a metric by instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct InstanceLabels {
    /// Name of the instance.
    pub instance: String,
}

/// A counter by instance.
#[derive(Debug, Clone, Default)]
pub struct InstanceCounts(Family<InstanceLabels, Counter>);

impl InstanceCounts {
    /// Increments the counter of an instance.
    pub fn count(&self, instance: &InstanceName) {
        let labels = InstanceLabels {
            instance: instance.0.clone(),
        };
        self.0.get_or_create(&labels).inc();
    }
}

/// Metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    answers: Family<AnswerLabels, Counter>,
    latency: Family<StatementLabels, Histogram>,
    /// Calls to the store and the promotion service.
    pub calls: CallCounts,
    /// Reads sent to a second instance as a hedge.
    pub hedged: Counter,
    /// Transactions ended by this node.
    pub transactions_abandoned: Counter,
    /// Promotions ordered.
    pub promotions: Counter,
    /// Hand-overs started because customers' region restrictions exclude the leader's region.
    pub lead_relocations: Counter,
    /// Leaders that stepped down on request.
    pub step_downs: Counter,
    /// Promotions that waited until lead permits expired.
    pub permits_waited_out: Counter,
    /// Leader answers discarded because another instance may have been promoted.
    pub answers_without_permit: Counter,
    /// Sessions opened.
    pub sessions: Counter,
    /// Groups evaluated for whether this node watches them.
    pub groups_evaluated: Counter,
    /// Catalog comparisons that a peer answered.
    pub catalog_comparisons: Counter,
    /// Documents received from peers in catalog comparisons.
    pub catalog_documents: Counter,
    /// Time from the first read of a configuration by any node until it takes effect on
    /// this node, in seconds.
    pub config_age: Histogram,
    /// Statements forwarded to other nodes.
    pub forwarded_out: Counter,
    /// Statements run on behalf of other nodes.
    pub forwarded_in: Counter,
    /// Operations refused because a tenant exceeded its quota.
    pub quota_refusals: Counter,
    /// Documents in the store that cannot be read, counted once per change.
    pub unreadable_records: Counter,
    /// Instances that restarted under the same name.
    pub instance_restarts: Counter,
    /// Quota loans requested on behalf of tenants.
    pub quota_loans: Counter,
    /// Current number of cold instances.
    pub cold_instances: Gauge,
    /// Statements sent to an instance while it was cold.
    pub cold_arrivals: InstanceCounts,
    /// Statements refused because no warm-up credit of a cold instance was available.
    pub cold_refusals: InstanceCounts,
    /// Zones known to be under evacuation.
    pub evacuated_zones: Gauge,
    /// Instances in evacuated zones to which this node has connections in use.
    pub evacuated_instances_in_use: Gauge,
    /// Groups whose presumed leader is in an evacuated zone.
    pub evacuated_leaders: Gauge,
    /// Transactions ended because the zone of their instance is being evacuated.
    pub evacuated_transactions: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("millwind");
        let latency = Family::<StatementLabels, Histogram>::new_with_constructor(|| {
            Histogram::new(exponential_buckets(0.001, 2.0, 14))
        });
        let metrics = Metrics {
            answers: Family::default(),
            latency,
            calls: CallCounts::default(),
            hedged: Counter::default(),
            transactions_abandoned: Counter::default(),
            promotions: Counter::default(),
            lead_relocations: Counter::default(),
            step_downs: Counter::default(),
            permits_waited_out: Counter::default(),
            answers_without_permit: Counter::default(),
            sessions: Counter::default(),
            groups_evaluated: Counter::default(),
            catalog_comparisons: Counter::default(),
            catalog_documents: Counter::default(),
            // Buckets from 10 ms to 20 s.
            config_age: Histogram::new(exponential_buckets(0.01, 2.0, 12)),
            forwarded_out: Counter::default(),
            forwarded_in: Counter::default(),
            quota_refusals: Counter::default(),
            quota_loans: Counter::default(),
            unreadable_records: Counter::default(),
            instance_restarts: Counter::default(),
            cold_instances: Gauge::default(),
            cold_arrivals: InstanceCounts::default(),
            cold_refusals: InstanceCounts::default(),
            evacuated_zones: Gauge::default(),
            evacuated_instances_in_use: Gauge::default(),
            evacuated_leaders: Gauge::default(),
            evacuated_transactions: Counter::default(),
            registry: Registry::default(),
        };
        registry.register("answers", "Statements answered", metrics.answers.clone());
        registry.register(
            "latency_seconds",
            "Time from arrival to answer",
            metrics.latency.clone(),
        );
        registry.register(
            "calls",
            "Calls to the store and the promotion service",
            metrics.calls.0.clone(),
        );
        registry.register(
            "quota_refusals",
            "Operations refused since their tenant was over its quota",
            metrics.quota_refusals.clone(),
        );
        registry.register(
            "quota_loans",
            "Loans of tenants' operations that this node asked for",
            metrics.quota_loans.clone(),
        );
        registry.register(
            "cold_instances",
            "Instances that have just started",
            metrics.cold_instances.clone(),
        );
        registry.register(
            "cold_arrivals",
            "Statements that this node sent to an instance while it was cold",
            metrics.cold_arrivals.0.clone(),
        );
        registry.register(
            "cold_refusals",
            "Statements that found no place at an instance while it was cold",
            metrics.cold_refusals.0.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Zones that are being evacuated",
            metrics.evacuated_zones.clone(),
        );
        registry.register(
            "evacuated_instances_in_use",
            "Instances of evacuated zones to which connections of this node are in use",
            metrics.evacuated_instances_in_use.clone(),
        );
        registry.register(
            "evacuated_leaders",
            "Groups whose leader stands in an evacuated zone",
            metrics.evacuated_leaders.clone(),
        );
        registry.register(
            "evacuated_transactions",
            "Transactions ended since the zone of their instance is evacuated",
            metrics.evacuated_transactions.clone(),
        );
        registry.register(
            "hedged_reads",
            "Reads tried on two instances",
            metrics.hedged.clone(),
        );
        registry.register(
            "transactions_abandoned",
            "Transactions ended by the proxy",
            metrics.transactions_abandoned.clone(),
        );
        registry.register("promotions", "Promotions ordered", metrics.promotions.clone());
        registry.register(
            "lead_relocations",
            "Hand-overs begun since customers' terms exclude the leader's region",
            metrics.lead_relocations.clone(),
        );
        registry.register(
            "step_downs",
            "Leaders that stepped down when told to",
            metrics.step_downs.clone(),
        );
        registry.register(
            "permits_waited_out",
            "Promotions that waited until permits had run out",
            metrics.permits_waited_out.clone(),
        );
        registry.register(
            "answers_without_permit",
            "Answers that did not count, since another instance may have led",
            metrics.answers_without_permit.clone(),
        );
        registry.register("sessions", "Sessions opened", metrics.sessions.clone());
        registry.register(
            "groups_judged",
            "Groups of which this node asked itself whether it keeps an eye on them",
            metrics.groups_evaluated.clone(),
        );
        registry.register(
            "catalog_comparisons",
            "Comparisons of the catalog with another node that were answered",
            metrics.catalog_comparisons.clone(),
        );
        registry.register(
            "catalog_documents",
            "Documents that other nodes sent when catalogs were compared",
            metrics.catalog_documents.clone(),
        );
        registry.register(
            "config_age_seconds",
            "Age of a configuration when it is put in force, from when some node first read it",
            metrics.config_age.clone(),
        );
        registry.register(
            "forwarded_out",
            "Statements passed on to nodes that own connections",
            metrics.forwarded_out.clone(),
        );
        registry.register(
            "forwarded_in",
            "Statements run for other nodes",
            metrics.forwarded_in.clone(),
        );
        registry.register(
            "records_passed_over",
            "Documents in the store that cannot be read, counted with each change",
            metrics.unreadable_records.clone(),
        );
        registry.register(
            "lives_begun",
            "Instances that began anew under the name that they had",
            metrics.instance_restarts.clone(),
        );
        Metrics { registry, ..metrics }
    }
}

impl Metrics {
    /// Records an answered statement and its latency.
    pub fn answered(&self, statement: &'static str, outcome: &'static str, micros: u64) {
        self.answers
            .get_or_create(&AnswerLabels { statement, outcome })
            .inc();
        self.latency
            .get_or_create(&StatementLabels { statement })
            .observe(micros as f64 / 1_000_000.0);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
