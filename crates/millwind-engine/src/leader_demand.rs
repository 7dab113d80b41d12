//! Recent demand for the leaders of groups by the regions that the statements allow, as
//! counted on this node and reported by other nodes.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use millwind_core::Instant;
use millwind_core::data_residency::AllowedRegions;
use millwind_core::ids::{GroupName, RegionName};
use millwind_core::lead_relocation::LeaderDemand;
use millwind_wire::exchange::{DemandPart, DemandReport, RegionEntry};

use crate::clock;

/// Length of a counting window, in milliseconds. The demand covers the current window and
/// the one before.
/// Long enough for a few statements of each customer, short enough to follow a change of the
/// region restrictions.
const WINDOW_LENGTH_MS: u64 = 5_000;
/// Lifetime of a report from another node, in milliseconds: three report intervals.
const REPORT_TTL_MS: u64 = 6_000;

/// The demand for one group's leader in the current window and the one before.
#[derive(Debug, Default)]
struct DemandWindow {
    started: Instant,
    current: LeaderDemand,
    previous: LeaderDemand,
}

impl DemandWindow {
    fn advance(&mut self, now: Instant) {
        let age_ms = now.millis_since(self.started);
        if age_ms < WINDOW_LENGTH_MS {
            return;
        }
        let ended = std::mem::take(&mut self.current);
        self.previous = if age_ms < 2 * WINDOW_LENGTH_MS {
            ended
        } else {
            LeaderDemand::default()
        };
        self.started = now;
    }

    fn total(&self) -> LeaderDemand {
        let mut total = self.previous.clone();
        total.merge(&self.current);
        total
    }
}

/// The demand that another node reported.
#[derive(Debug)]
struct NodeReport {
    received_at: Instant,
    demand: LeaderDemand,
}

/// The recent demand for the leaders of all groups.
#[derive(Debug, Default)]
pub struct LeaderDemandTracker {
    /// Whether the active configuration restricts any statements to regions.
    is_counted: AtomicBool,
    own: Mutex<HashMap<GroupName, DemandWindow>>,
    reported: Mutex<HashMap<GroupName, HashMap<String, NodeReport>>>,
}

impl LeaderDemandTracker {
    fn own(&self) -> MutexGuard<'_, HashMap<GroupName, DemandWindow>> {
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reported(&self) -> MutexGuard<'_, HashMap<GroupName, HashMap<String, NodeReport>>> {
        self.reported.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Turns counting on or off. Without region restrictions the demand never moves a
    /// leader, and counting would only cost lock contention.
    pub fn set_counted(&self, is_counted: bool) {
        self.is_counted.store(is_counted, Ordering::Relaxed);
    }

    /// Returns whether statements are counted.
    pub fn is_counted(&self) -> bool {
        self.is_counted.load(Ordering::Relaxed)
    }

    /// Counts a statement of weight `weight`, restricted to `regions`, that needs the leader
    /// of `group`, whether or not the statement succeeds.
    pub fn record(&self, group: &GroupName, regions: &AllowedRegions, weight: u64) {
        let mut own = self.own();
        if !own.contains_key(group) {
            own.insert(group.clone(), DemandWindow::default());
        }
        if let Some(window) = own.get_mut(group) {
            window.advance(clock::now());
            window.current.add(regions, weight);
        }
    }

    /// Returns the recent demand of this node's callers for a group's leader.
    pub fn own_demand(&self, group: &GroupName) -> LeaderDemand {
        let mut own = self.own();
        let Some(window) = own.get_mut(group) else {
            return LeaderDemand::default();
        };
        window.advance(clock::now());
        window.total()
    }

    /// Returns the recent demand of this node's callers and of the nodes that reported
    /// theirs.
    pub fn total_demand(&self, group: &GroupName) -> LeaderDemand {
        let mut total = self.own_demand(group);
        let now = clock::now();
        let mut reported = self.reported();
        let Some(reports) = reported.get_mut(group) else {
            return total;
        };
        reports.retain(|_, report| now.millis_since(report.received_at) < REPORT_TTL_MS);
        for report in reports.values() {
            total.merge(&report.demand);
        }
        total
    }

    /// Replaces the last report of another node.
    pub fn apply_report(&self, report: &DemandReport) {
        let mut demand = LeaderDemand::default();
        for part in &report.parts {
            demand.add(&decode_regions(part), part.total_weight);
        }
        let received_at = clock::now();
        let group = GroupName(report.group.clone());
        let mut reported = self.reported();
        let reports = reported.entry(group).or_default();
        reports.insert(report.node.clone(), NodeReport { received_at, demand });
    }
}

/// Encodes the demand of `node`'s own callers as a report.
pub fn encode_demand_report(node: &str, group: &GroupName, demand: &LeaderDemand) -> DemandReport {
    let part = |(regions, weight): (&AllowedRegions, u64)| DemandPart {
        allows_any_region: u8::from(regions.is_any()),
        regions: match regions {
            AllowedRegions::Any => Vec::new(),
            AllowedRegions::Only(names) => names.iter().map(encode_region).collect(),
        },
        total_weight: weight,
    };
    DemandReport {
        group: group.0.clone(),
        node: node.to_owned(),
        parts: demand.weights_by_regions().map(part).collect(),
    }
}

fn encode_region(region: &RegionName) -> RegionEntry {
    RegionEntry {
        name: region.0.clone(),
    }
}

fn decode_regions(part: &DemandPart) -> AllowedRegions {
    match part.allows_any_region {
        1 => AllowedRegions::Any,
        _ => AllowedRegions::Only(
            part.regions
                .iter()
                .map(|entry| RegionName(entry.name.clone()))
                .collect(),
        ),
    }
}
