//! Where a request runs, and why: each candidate is weighed for and against,
//! and the decision keeps the reasons so that an operator can watch them.

use std::fmt;

use crate::Instant;
use crate::data_residency::AllowedRegions;
use crate::ids::{InstanceName, RegionName, ZoneName};
use crate::position::{Coverage, Position, TermStart, coverage};

/// What a gateway remembers of an instance, from answers and notices.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceHint {
    /// The instance.
    pub instance: InstanceName,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// Region of that zone.
    pub region: RegionName,
    /// Whether it led the group's highest term when last heard.
    pub primary: bool,
    /// Last position heard, with its time.
    pub position: Option<(Instant, Position)>,
    /// Replay lag seen lately, in milliseconds: the expected catch-up time.
    pub lag_ms: u64,
    /// Term starts heard with the position.
    pub history: Vec<TermStart>,
    /// Leaving instances get no new work.
    pub leaving: bool,
    /// Not used again before this time, after a failure.
    pub banned_until: Instant,
}

/// Where the gateway itself runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Locality {
    /// Own zone.
    pub zone: ZoneName,
    /// Own region.
    pub region: RegionName,
}

/// Which instances may serve reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadPolicy {
    /// The nearest replica that covers the session, the primary as fallback.
    #[default]
    Replica,
    /// Always the primary; a baseline for measurements.
    PrimaryOnly,
}

/// Why a candidate was put where it is in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// Its last known position already covers the session.
    Covers,
    /// Expected to catch up within the time a read may wait.
    CatchesUp,
    /// Nothing is known of its position; it decides for itself.
    PositionUnknown,
    /// Too far behind to catch up in time.
    TooFarBehind,
    /// Its term has discarded the session's position.
    Discarded,
    /// The primary: last choice for a read.
    PrimaryFallback,
    /// The tenant's policy sends no reads there.
    NotAllowed,
    /// The tenant's terms exclude its region.
    RegionNotAllowed,
    /// Leaving: gets no new work.
    Leaving,
    /// Failed lately and is left alone for a while.
    Banned,
}

impl Reason {
    /// Whether a candidate with this reason may be chosen.
    pub const fn eligible(self) -> bool {
        !matches!(
            self,
            Reason::Leaving | Reason::Discarded | Reason::NotAllowed | Reason::RegionNotAllowed
        )
    }

    const fn rank(self) -> u8 {
        match self {
            Reason::Covers => 0,
            Reason::CatchesUp => 1,
            Reason::PositionUnknown => 2,
            Reason::PrimaryFallback => 3,
            Reason::TooFarBehind => 4,
            Reason::Banned => 5,
            Reason::Leaving | Reason::Discarded | Reason::NotAllowed | Reason::RegionNotAllowed => 6,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Reason::Covers => "covers",
            Reason::CatchesUp => "catches_up",
            Reason::PositionUnknown => "position_unknown",
            Reason::TooFarBehind => "too_far_behind",
            Reason::Discarded => "discarded",
            Reason::PrimaryFallback => "primary_fallback",
            Reason::NotAllowed => "not_allowed",
            Reason::RegionNotAllowed => "region_not_allowed",
            Reason::Leaving => "leaving",
            Reason::Banned => "banned",
        };
        formatter.write_str(text)
    }
}

/// A candidate with the reason for its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The instance.
    pub instance: InstanceName,
    /// Why it stands here.
    pub reason: Reason,
    /// True when it is the primary.
    pub primary: bool,
}

/// What a read asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadRequest {
    /// The session's token in this group, if it has one.
    pub token: Option<Position>,
    /// How long the read may wait for a replica, in milliseconds.
    pub wait_ms: u64,
    /// Which instances may serve it.
    pub policy: ReadPolicy,
    /// Regions that the tenant's terms allow.
    pub regions: AllowedRegions,
}

/// Orders the group's instances for a read, best first; candidates that may
/// not be used come last with their reason, so that a watcher sees them.
pub fn order_for_read(
    now: Instant,
    locality: &Locality,
    hints: &[InstanceHint],
    request: &ReadRequest,
) -> Vec<Choice> {
    let mut ranked: Vec<_> = hints
        .iter()
        .map(|hint| {
            let reason = weigh(now, hint, request);
            ((reason.rank(), distance(locality, hint)), hint, reason)
        })
        .collect();
    ranked.sort_by_key(|left| left.0);
    ranked
        .into_iter()
        .map(|(_, hint, reason)| Choice {
            instance: hint.instance.clone(),
            reason,
            primary: hint.primary,
        })
        .collect()
}

fn weigh(now: Instant, hint: &InstanceHint, request: &ReadRequest) -> Reason {
    if !request.regions.allows(Some(&hint.region)) {
        return Reason::RegionNotAllowed;
    }
    if hint.leaving {
        return Reason::Leaving;
    }
    if hint.banned_until > now {
        return Reason::Banned;
    }
    if hint.primary {
        return match request.policy {
            ReadPolicy::Replica => Reason::PrimaryFallback,
            ReadPolicy::PrimaryOnly => Reason::Covers,
        };
    }
    if request.policy == ReadPolicy::PrimaryOnly {
        return Reason::NotAllowed;
    }
    let Some((heard, position)) = hint.position else {
        return Reason::PositionUnknown;
    };
    let Some(token) = request.token else {
        return Reason::Covers;
    };
    match coverage(position, &hint.history, token) {
        Coverage::Covered => Reason::Covers,
        Coverage::Discarded => Reason::Discarded,
        // A lag heard a while ago has been worked off since; without this, a
        // replica once found slow would never be asked again.
        Coverage::Behind if hint.lag_ms.saturating_sub(now.millis_since(heard)) <= request.wait_ms => {
            Reason::CatchesUp
        }
        Coverage::Behind => Reason::TooFarBehind,
    }
}

fn distance(locality: &Locality, hint: &InstanceHint) -> u8 {
    if hint.zone == locality.zone {
        0
    } else if hint.region == locality.region {
        1
    } else {
        2
    }
}
