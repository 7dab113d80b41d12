//! Ranks a group's instances for a read and records the reason for each rank, so that
//! operators can see why an instance was chosen or skipped.

use std::fmt;

use crate::Instant;
use crate::data_residency::AllowedRegions;
use crate::ids::{InstanceName, RegionName, ZoneName};
use crate::position::{Coverage, Position, TermStart, coverage};

/// A gateway's cached knowledge of an instance, from the instance's responses and from
/// status updates. May be out of date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceHint {
    /// The instance.
    pub instance: InstanceName,
    /// Zone that the instance runs in.
    pub zone: ZoneName,
    /// Region that contains the zone.
    pub region: RegionName,
    /// Whether the instance was the primary of the group's highest term when last observed.
    pub primary: bool,
    /// Last reported log position and when it was received.
    pub position: Option<(Instant, Position)>,
    /// Most recent replay lag in milliseconds, used as the expected catch-up time.
    pub lag_ms: u64,
    /// Term starts reported together with the position.
    pub term_starts: Vec<TermStart>,
    /// Whether the instance is being decommissioned and receives no new requests.
    pub leaving: bool,
    /// Time until which the instance is skipped after a failure.
    pub excluded_until: Instant,
}

/// The gateway's own location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Locality {
    /// Zone that the gateway runs in.
    pub zone: ZoneName,
    /// Region that the gateway runs in.
    pub region: RegionName,
}

/// Which instances may serve reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadPolicy {
    /// The nearest replica whose position covers the session's; the primary is the
    /// fallback.
    #[default]
    Replica,
    /// The primary only.
    PrimaryOnly,
}

/// The reason for a candidate's rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The instance's last known position covers the session's.
    Covers,
    /// The instance is expected to catch up within the time that the read may wait.
    CatchesUp,
    /// The instance's position is unknown; the instance itself checks it when the read
    /// arrives.
    PositionUnknown,
    /// The instance is not expected to catch up in time.
    TooFarBehind,
    /// The instance's term discarded the log that contained the session's position.
    Discarded,
    /// The instance is the primary, which serves reads only if no replica is suitable.
    PrimaryFallback,
    /// The tenant's read policy excludes the instance.
    NotAllowed,
    /// The instance's region is not among the tenant's allowed regions.
    RegionNotAllowed,
    /// The instance is being decommissioned.
    Leaving,
    /// The instance failed recently and is skipped for a while.
    Banned,
}

impl Reason {
    /// Returns whether a candidate with this reason may serve the read.
    pub const fn is_eligible(self) -> bool {
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

/// A ranked candidate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankedCandidate {
    /// The instance.
    pub instance: InstanceName,
    /// Reason for the candidate's rank.
    pub reason: Reason,
    /// Whether the instance is the primary.
    pub primary: bool,
}

/// The constraints of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadRequest {
    /// Position from the session's token for this group, if the session has one.
    pub token: Option<Position>,
    /// Longest time that the read may wait for a replica to catch up, in milliseconds.
    pub max_wait_ms: u64,
    /// The tenant's read policy.
    pub policy: ReadPolicy,
    /// Regions in which the read may run.
    pub regions: AllowedRegions,
}

/// Returns the group's instances ranked for a read, best first. Ineligible instances come
/// last and keep their reason, so that it can be reported.
pub fn order_for_read(
    now: Instant,
    locality: &Locality,
    hints: &[InstanceHint],
    request: &ReadRequest,
) -> Vec<RankedCandidate> {
    let mut ranked: Vec<_> = hints
        .iter()
        .map(|hint| {
            let reason = classify_candidate(now, hint, request);
            ((reason.rank(), zone_distance(locality, hint)), hint, reason)
        })
        .collect();
    ranked.sort_by_key(|entry| entry.0);
    ranked
        .into_iter()
        .map(|(_, hint, reason)| RankedCandidate {
            instance: hint.instance.clone(),
            reason,
            primary: hint.primary,
        })
        .collect()
}

fn classify_candidate(now: Instant, hint: &InstanceHint, request: &ReadRequest) -> Reason {
    if !request.regions.allows(Some(&hint.region)) {
        return Reason::RegionNotAllowed;
    }
    if hint.leaving {
        return Reason::Leaving;
    }
    if hint.excluded_until > now {
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
    let Some((reported_at, position)) = hint.position else {
        return Reason::PositionUnknown;
    };
    let Some(token) = request.token else {
        return Reason::Covers;
    };
    match coverage(position, &hint.term_starts, token) {
        Coverage::Covered => Reason::Covers,
        Coverage::Discarded => Reason::Discarded,
        // The time since the lag was reported counts towards catching up. Otherwise a
        // replica that was slow once would never be selected again.
        Coverage::Behind
            if hint.lag_ms.saturating_sub(now.millis_since(reported_at)) <= request.max_wait_ms =>
        {
            Reason::CatchesUp
        }
        Coverage::Behind => Reason::TooFarBehind,
    }
}

fn zone_distance(locality: &Locality, hint: &InstanceHint) -> u8 {
    if hint.zone == locality.zone {
        0
    } else if hint.region == locality.region {
        1
    } else {
        2
    }
}
