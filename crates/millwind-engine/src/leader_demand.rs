//! What needs the leaders of groups lately: statements of this node's own callers, and
//! what other nodes report of theirs.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use millwind_core::Instant;
use millwind_core::data_residency::AllowedRegions;
use millwind_core::ids::{GroupName, RegionName};
use millwind_core::lead_relocation::LeaderDemand;
use millwind_wire::exchange::{DemandPart, DemandReport, RegionText};

use crate::clock;

/// Statements are counted over so long, and over the part of the next such time that
/// has passed, in milliseconds: long enough for a few statements of each customer, short
/// enough to follow a change of the terms.
const WINDOW_MS: u64 = 5_000;
/// A report counts for so long, in milliseconds: the next one comes within a third of
/// it.
const REPORT_MS: u64 = 6_000;

/// The demand of one group in the present window and the one before.
#[derive(Debug, Default)]
struct Window {
    began: Instant,
    present: LeaderDemand,
    former: LeaderDemand,
}

impl Window {
    fn advance(&mut self, now: Instant) {
        let age_ms = now.millis_since(self.began);
        if age_ms < WINDOW_MS {
            return;
        }
        let ended = std::mem::take(&mut self.present);
        self.former = if age_ms < 2 * WINDOW_MS {
            ended
        } else {
            LeaderDemand::default()
        };
        self.began = now;
    }

    fn total(&self) -> LeaderDemand {
        let mut total = self.former.clone();
        total.merge(&self.present);
        total
    }
}

/// Another node's report.
#[derive(Debug)]
struct Reported {
    heard: Instant,
    demand: LeaderDemand,
}

/// The demand for all groups' leaders.
#[derive(Debug, Default)]
pub struct LeaderDemands {
    /// Whether the configuration in force restricts anybody to some regions.
    is_counted: AtomicBool,
    own: Mutex<HashMap<GroupName, Window>>,
    reported: Mutex<HashMap<GroupName, HashMap<String, Reported>>>,
}

impl LeaderDemands {
    fn own(&self) -> MutexGuard<'_, HashMap<GroupName, Window>> {
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reported(&self) -> MutexGuard<'_, HashMap<GroupName, HashMap<String, Reported>>> {
        self.reported.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether statements are counted from now on: where nobody's terms exclude a region
    /// no lead is moved for them, and no statement need wait for its turn to be counted.
    pub fn count(&self, is_counted: bool) {
        self.is_counted.store(is_counted, Ordering::Relaxed);
    }

    /// Whether statements are counted.
    pub fn is_counted(&self) -> bool {
        self.is_counted.load(Ordering::Relaxed)
    }

    /// A statement worth `worth` that may run in `regions` needs the leader of `group`,
    /// whether it is served or not.
    pub fn note(&self, group: &GroupName, regions: &AllowedRegions, worth: u64) {
        let mut own = self.own();
        if !own.contains_key(group) {
            own.insert(group.clone(), Window::default());
        }
        if let Some(window) = own.get_mut(group) {
            window.advance(clock::now());
            window.present.add(regions, worth);
        }
    }

    /// What this node's own callers needed of a group's leader lately.
    pub fn own_of(&self, group: &GroupName) -> LeaderDemand {
        let mut own = self.own();
        let Some(window) = own.get_mut(group) else {
            return LeaderDemand::default();
        };
        window.advance(clock::now());
        window.total()
    }

    /// What all callers needed of it, as far as it was reported.
    pub fn total_of(&self, group: &GroupName) -> LeaderDemand {
        let mut total = self.own_of(group);
        let now = clock::now();
        let mut reported = self.reported();
        let Some(reports) = reported.get_mut(group) else {
            return total;
        };
        reports.retain(|_, report| now.millis_since(report.heard) < REPORT_MS);
        for report in reports.values() {
            total.merge(&report.demand);
        }
        total
    }

    /// Takes in another node's report.
    pub fn take(&self, report: &DemandReport) {
        let mut demand = LeaderDemand::default();
        for part in &report.parts {
            demand.add(&read_regions(part), part.worth);
        }
        let heard = clock::now();
        let group = GroupName(report.group.clone());
        let mut reported = self.reported();
        let reports = reported.entry(group).or_default();
        reports.insert(report.node.clone(), Reported { heard, demand });
    }
}

/// The report of `node` on its own callers.
pub fn write_report(node: &str, group: &GroupName, demand: &LeaderDemand) -> DemandReport {
    let part = |(regions, worth): (&AllowedRegions, u64)| DemandPart {
        is_any: u8::from(regions.is_any()),
        regions: match regions {
            AllowedRegions::Any => Vec::new(),
            AllowedRegions::Only(names) => names.iter().map(region_text).collect(),
        },
        worth,
    };
    DemandReport {
        group: group.0.clone(),
        node: node.to_owned(),
        parts: demand.terms().map(part).collect(),
    }
}

fn region_text(region: &RegionName) -> RegionText {
    RegionText {
        name: region.0.clone(),
    }
}

fn read_regions(part: &DemandPart) -> AllowedRegions {
    match part.is_any {
        1 => AllowedRegions::Any,
        _ => AllowedRegions::Only(
            part.regions
                .iter()
                .map(|text| RegionName(text.name.clone()))
                .collect(),
        ),
    }
}
