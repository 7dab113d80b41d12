//! Tests of read routing, instance placement, admission queues and retry budgets.

use millwind_core::Instant;
use millwind_core::admission::{Admission, AdmissionLimits, AdmissionQueue, Ticket};
use millwind_core::data_residency::AllowedRegions;
use millwind_core::error_kind::ErrorKind;
use millwind_core::group_view::{GroupView, InstanceStatus, Role};
use millwind_core::ids::{InstanceName, NodeName, RegionName, TenantName, ZoneName};
use millwind_core::placement::{Candidate, owner, owner_connection_cap};
use millwind_core::position::{LogPosition, Position, Term, TermStart};
use millwind_core::retry::RetryBudget;
use millwind_core::routing::{InstanceHint, Locality, ReadPolicy, ReadRequest, Reason, order_for_read};
use proptest::prelude::*;

const NOW: Instant = Instant::from_millis(100_000);

fn hint(name: &str, zone: &str, primary: bool, position: Option<Position>) -> InstanceHint {
    InstanceHint {
        instance: name.into(),
        zone: zone.into(),
        region: "r".into(),
        primary,
        position: position.map(|position| (NOW, position)),
        lag_ms: 50,
        term_starts: Vec::new(),
        leaving: false,
        excluded_until: Instant::default(),
    }
}

fn locality() -> Locality {
    Locality {
        zone: "near".into(),
        region: "r".into(),
    }
}

fn request(token: Option<Position>) -> ReadRequest {
    ReadRequest {
        token,
        max_wait_ms: 300,
        policy: ReadPolicy::Replica,
        regions: AllowedRegions::Any,
    }
}

fn names(order: &[millwind_core::routing::RankedCandidate]) -> Vec<&str> {
    order.iter().map(|choice| choice.instance.as_str()).collect()
}

#[test]
fn an_instance_outside_the_allowed_regions_is_listed_but_not_eligible() {
    let mut abroad = hint("near-abroad", "near", false, Some(Position::new(1, 10)));
    abroad.region = "abroad".into();
    let mut primary = hint("primary-abroad", "near", true, Some(Position::new(1, 10)));
    primary.region = "abroad".into();
    let hints = [
        abroad,
        primary,
        hint("far-behind", "far", false, Some(Position::new(1, 5))),
    ];
    let read = ReadRequest {
        regions: AllowedRegions::from_list(["r".into()]),
        ..request(Some(Position::new(1, 10)))
    };
    let order = order_for_read(NOW, &locality(), &hints, &read);
    assert_eq!(order[0].instance.as_str(), "far-behind");
    assert!(
        order[1..]
            .iter()
            .all(|choice| choice.reason == Reason::RegionNotAllowed)
    );
    assert!(order[1..].iter().all(|choice| !choice.reason.is_eligible()));
}

#[test]
fn a_covering_replica_ranks_before_a_nearer_lagging_one() {
    let hints = [
        hint("near-behind", "near", false, Some(Position::new(1, 5))),
        hint("far-covers", "far", false, Some(Position::new(1, 10))),
        hint("primary", "near", true, Some(Position::new(1, 10))),
    ];
    let order = order_for_read(NOW, &locality(), &hints, &request(Some(Position::new(1, 10))));
    assert_eq!(names(&order), ["far-covers", "near-behind", "primary"]);
    assert_eq!(order[1].reason, Reason::CatchesUp);
}

#[test]
fn excessive_lag_routes_the_read_to_the_primary() {
    let mut hints = [
        hint("replica", "near", false, Some(Position::new(1, 5))),
        hint("primary", "far", true, Some(Position::new(1, 10))),
    ];
    hints[0].lag_ms = 5_000;
    let read = request(Some(Position::new(1, 10)));
    assert_eq!(
        names(&order_for_read(NOW, &locality(), &hints, &read)),
        ["primary", "replica"]
    );
}

/// The replay lag of one instance must not affect the ranking of the others.
#[test]
fn one_lagging_instance_does_not_affect_the_rank_of_others() {
    let mut hints = [
        hint("stuck", "near", false, Some(Position::new(1, 5))),
        hint("healthy", "far", false, Some(Position::new(1, 9))),
        hint("primary", "near", true, Some(Position::new(1, 10))),
    ];
    hints[0].lag_ms = 60_000;
    let read = request(Some(Position::new(1, 10)));
    assert_eq!(
        names(&order_for_read(NOW, &locality(), &hints, &read)),
        ["healthy", "primary", "stuck"]
    );
}

/// A replica that lagged after a failover must be selected again once it has had time to
/// catch up.
#[test]
fn a_lagging_replica_is_selected_again_later() {
    let mut hints = [
        hint("replica", "near", false, Some(Position::new(1, 5))),
        hint("primary", "near", true, Some(Position::new(1, 10))),
    ];
    hints[0].lag_ms = 1_000;
    let read = request(Some(Position::new(1, 10)));
    assert_eq!(
        names(&order_for_read(NOW, &locality(), &hints, &read)),
        ["primary", "replica"]
    );
    let later = NOW.plus_millis(800);
    assert_eq!(
        names(&order_for_read(later, &locality(), &hints, &read)),
        ["replica", "primary"]
    );
}

#[test]
fn the_primary_only_policy_excludes_replicas() {
    let hints = [hint("replica", "near", false, None)];
    let mut read = request(None);
    read.policy = ReadPolicy::PrimaryOnly;
    let order = order_for_read(NOW, &locality(), &hints, &read);
    assert!(order.iter().all(|choice| !choice.reason.is_eligible()));
}

#[test]
fn leaving_and_discarded_candidates_are_not_eligible() {
    let mut leaving = hint("leaving", "near", false, None);
    leaving.leaving = true;
    let mut discarded = hint("discarded", "near", false, Some(Position::new(2, 50)));
    discarded.term_starts = vec![TermStart {
        term: Term(2),
        start: LogPosition(5),
    }];
    let order = order_for_read(
        NOW,
        &locality(),
        &[leaving, discarded],
        &request(Some(Position::new(1, 10))),
    );
    assert!(order.iter().all(|choice| !choice.reason.is_eligible()));
}

fn status(role: Role, term: u64, position: u64) -> InstanceStatus {
    InstanceStatus {
        role,
        position: Position::new(term, position),
        received: LogPosition(position),
        history: Vec::new(),
    }
}

#[test]
fn a_primary_of_an_old_term_is_not_the_primary() {
    let [a, b, c] = ["a", "b", "c"].map(InstanceName::from);
    let mut view = GroupView::new([a.clone(), b.clone(), c.clone()]);
    view.observe(NOW, &a, status(Role::Primary, 1, 10));
    assert_eq!(view.primary(NOW), None, "only a minority has reported");
    view.observe(NOW, &c, status(Role::Replica, 1, 10));
    assert_eq!(view.primary(NOW).map(|(name, _)| name.as_str()), Some("a"));
    view.observe(NOW, &b, status(Role::Primary, 2, 10));
    assert_eq!(view.primary(NOW).map(|(name, _)| name.as_str()), Some("b"));
    assert_eq!(
        view.primary(NOW.plus_millis(10_000)),
        None,
        "all reports are outdated"
    );
}

#[test]
fn staleness_is_measured_from_the_replicas_last_position() {
    let [a, b] = ["a", "b"].map(InstanceName::from);
    let mut view = GroupView::new([a.clone(), b]);
    view.observe(NOW, &a, status(Role::Primary, 1, 10));
    view.observe(NOW.plus_millis(500), &a, status(Role::Primary, 1, 20));
    let late = NOW.plus_millis(700);
    assert_eq!(view.staleness_ms(late, Position::new(1, 20), &[]), Some(200));
    assert_eq!(view.staleness_ms(late, Position::new(1, 15), &[]), Some(700));
    assert_eq!(view.staleness_ms(late, Position::new(1, 5), &[]), None);
}

fn owner_of<'a>(
    instance: &str,
    zone: &str,
    nodes: &'a [(NodeName, ZoneName, RegionName)],
) -> Option<&'a str> {
    let candidates = nodes
        .iter()
        .map(|(node, zone, region)| Candidate { node, zone, region });
    owner(&instance.into(), &zone.into(), &"r".into(), candidates).map(NodeName::as_str)
}

fn nodes(count: usize, zone: &str) -> Vec<(NodeName, ZoneName, RegionName)> {
    (0..count)
        .map(|index| (NodeName(format!("{zone}-{index}")), zone.into(), "r".into()))
        .collect()
}

#[test]
fn owners_in_the_instances_zone_are_preferred() {
    let mut all = nodes(3, "z1");
    all.extend(nodes(3, "z2"));
    assert!(owner_of("i", "z2", &all).is_some_and(|owner| owner.starts_with("z2")));
    assert!(owner_of("i", "z3", &all).is_some());
    assert_eq!(owner_of("i", "z1", &[]), None);
}

#[test]
fn losing_a_node_reassigns_only_its_instances() {
    let all = nodes(10, "z");
    let fewer: Vec<_> = all[1..].to_vec();
    for index in 0..200 {
        let instance = format!("i{index}");
        let before = owner_of(&instance, "z", &all);
        if before != Some("z-0") {
            assert_eq!(owner_of(&instance, "z", &fewer), before);
        }
    }
}

#[test]
fn two_owners_stay_within_the_connection_limit() {
    for (limit, status) in [(40, 6), (100, 6), (8, 6)] {
        let cap = owner_connection_cap(limit, status);
        assert!(2 * cap + status <= limit, "{limit}");
    }
}

fn ticket(id: u64, tenant: &str, priority: u32, deadline_ms: u64) -> Ticket {
    Ticket {
        id,
        tenant: TenantName::from(tenant),
        weight: 1,
        priority,
        deadline: NOW.plus_millis(deadline_ms),
    }
}

fn queue(slots: u32, queue_length: usize) -> AdmissionQueue {
    AdmissionQueue::new(AdmissionLimits { slots, queue_length })
}

#[test]
fn a_full_queue_evicts_a_request_of_lower_priority() {
    let mut queue = queue(1, 1);
    let mut evicted = Vec::new();
    assert_eq!(
        queue.admit(NOW, ticket(1, "a", 1, 1_000), &mut evicted),
        Admission::Granted
    );
    assert_eq!(
        queue.admit(NOW, ticket(2, "a", 1, 1_000), &mut evicted),
        Admission::Queued
    );
    let refused = queue.admit(NOW, ticket(3, "a", 1, 1_000), &mut evicted);
    assert_eq!(refused, Admission::Refused(ErrorKind::QueueFull));
    assert_eq!(
        queue.admit(NOW, ticket(4, "a", 2, 1_000), &mut evicted),
        Admission::Queued
    );
    assert_eq!(evicted, [2]);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused() {
    let mut queue = queue(1, 100);
    let mut expired = Vec::new();
    let mut evicted = Vec::new();
    queue.admit(NOW, ticket(1, "a", 1, 1_000), &mut evicted);
    for _ in 0..50 {
        queue.release(NOW, 400_000, &mut expired);
        queue.admit(NOW, ticket(1, "a", 1, 1_000), &mut evicted);
    }
    let refused = queue.admit(NOW, ticket(2, "a", 1, 100), &mut evicted);
    assert_eq!(refused, Admission::Refused(ErrorKind::DeadlineTooShort));
}

#[test]
fn tenants_share_slots_by_weight_regardless_of_queue_length() {
    let mut queue = queue(1, 1_000);
    let mut scratch = Vec::new();
    queue.admit(NOW, ticket(0, "x", 1, 100_000), &mut scratch);
    for id in 0..90 {
        queue.admit(NOW, ticket(id, "greedy", 1, 100_000), &mut scratch);
    }
    for id in 90..100 {
        queue.admit(NOW, ticket(id, "modest", 1, 100_000), &mut scratch);
    }
    let mut modest = 0;
    for _ in 0..20 {
        let next = queue.release(NOW, 1, &mut scratch).expect("requests are waiting");
        modest += usize::from(next.tenant.as_str() == "modest");
    }
    assert_eq!(modest, 10);
}

#[test]
fn retries_are_limited_to_a_share_of_the_traffic() {
    let mut budget = RetryBudget::new(10, 2);
    assert!(budget.withdraw() && budget.withdraw());
    assert!(!budget.withdraw());
    for _ in 0..9 {
        budget.deposit();
    }
    assert!(!budget.withdraw());
    budget.deposit();
    assert!(budget.withdraw());
}

#[derive(Debug, Clone)]
enum Step {
    Admit {
        tenant: u8,
        priority: u32,
        deadline_ms: u64,
    },
    Release {
        held_us: u64,
    },
    Cancel {
        id: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0u8..4, 1u32..3, 0u64..500).prop_map(|(tenant, priority, deadline_ms)| Step::Admit { tenant, priority, deadline_ms }),
        2 => (0u64..5_000).prop_map(|held_us| Step::Release { held_us }),
        1 => (0u64..60).prop_map(|id| Step::Cancel { id }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..ProptestConfig::with_cases(256) })]

    /// Compares the queue with a simple model: the number of running requests never exceeds
    /// the slots, the number of waiting requests never exceeds the queue length, and every
    /// ticket leaves exactly once.
    #[test]
    fn the_queue_respects_its_limits(steps in proptest::collection::vec(step(), 1..80)) {
        let mut queue = queue(3, 5);
        let mut running = 0u32;
        let mut waiting = std::collections::BTreeSet::new();
        for (id, step) in steps.into_iter().enumerate() {
            let id = id as u64;
            match step {
                Step::Admit { tenant, priority, deadline_ms } => {
                    let mut evicted = Vec::new();
                    let new_ticket = ticket(id, &format!("t{tenant}"), priority, deadline_ms);
                    match queue.admit(NOW, new_ticket, &mut evicted) {
                        Admission::Granted => running += 1,
                        Admission::Queued => { waiting.insert(id); }
                        Admission::Refused(kind) => prop_assert_eq!(kind.answer().effect, millwind_core::error_kind::Effect::NotRun),
                    }
                    for evicted_id in evicted {
                        prop_assert!(waiting.remove(&evicted_id));
                    }
                }
                Step::Release { held_us } if running > 0 => {
                    running -= 1;
                    let mut expired = Vec::new();
                    let next = queue.release(NOW, held_us, &mut expired);
                    for expired_id in expired {
                        prop_assert!(waiting.remove(&expired_id));
                    }
                    if let Some(next) = next {
                        prop_assert!(waiting.remove(&next.id));
                        running += 1;
                    }
                }
                Step::Release { .. } => {}
                Step::Cancel { id } => prop_assert_eq!(queue.cancel(id), waiting.remove(&id)),
            }
            prop_assert_eq!(queue.running(), running);
            prop_assert_eq!(queue.queued(), waiting.len());
            prop_assert!(running <= 3 && waiting.len() <= 5);
        }
    }
}
