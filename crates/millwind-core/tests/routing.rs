//! Where reads go, who owns an instance, and who gets a slot.

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
        history: Vec::new(),
        leaving: false,
        banned_until: Instant::default(),
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
        wait_ms: 300,
        policy: ReadPolicy::Replica,
        regions: AllowedRegions::Any,
    }
}

fn names(order: &[millwind_core::routing::Choice]) -> Vec<&str> {
    order.iter().map(|choice| choice.instance.as_str()).collect()
}

#[test]
fn an_instance_outside_of_the_tenants_regions_is_shown_and_not_chosen() {
    let mut abroad = hint("near-abroad", "near", false, Some(Position::new(1, 10)));
    abroad.region = "abroad".into();
    let mut primary = hint("primary-abroad", "near", true, Some(Position::new(1, 10)));
    primary.region = "abroad".into();
    let hints = [
        abroad,
        primary,
        hint("far-behind", "far", false, Some(Position::new(1, 5))),
    ];
    let asked = ReadRequest {
        regions: AllowedRegions::from_list(["r".into()]),
        ..request(Some(Position::new(1, 10)))
    };
    let order = order_for_read(NOW, &locality(), &hints, &asked);
    assert_eq!(order[0].instance.as_str(), "far-behind");
    assert!(
        order[1..]
            .iter()
            .all(|choice| choice.reason == Reason::RegionNotAllowed)
    );
    assert!(order[1..].iter().all(|choice| !choice.reason.eligible()));
}

#[test]
fn a_covering_replica_comes_before_a_nearer_one_that_lags() {
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
fn too_long_a_lag_sends_the_read_to_the_primary() {
    let mut hints = [
        hint("replica", "near", false, Some(Position::new(1, 5))),
        hint("primary", "far", true, Some(Position::new(1, 10))),
    ];
    hints[0].lag_ms = 5_000;
    let asked = request(Some(Position::new(1, 10)));
    assert_eq!(
        names(&order_for_read(NOW, &locality(), &hints, &asked)),
        ["primary", "replica"]
    );
}

/// Seen in the old-primary experiment: one instance that no longer replays made
/// every replica of its group look slow, and reads went to the primary.
#[test]
fn one_slow_instance_does_not_slow_the_others() {
    let mut hints = [
        hint("stuck", "near", false, Some(Position::new(1, 5))),
        hint("well", "far", false, Some(Position::new(1, 9))),
        hint("primary", "near", true, Some(Position::new(1, 10))),
    ];
    hints[0].lag_ms = 60_000;
    let asked = request(Some(Position::new(1, 10)));
    assert_eq!(
        names(&order_for_read(NOW, &locality(), &hints, &asked)),
        ["well", "primary", "stuck"]
    );
}

/// Seen in the old-primary experiment: after a failover all replicas looked a
/// second behind, none was asked again, and reads stayed on the primary.
#[test]
fn a_replica_once_found_slow_is_asked_again() {
    let mut hints = [
        hint("replica", "near", false, Some(Position::new(1, 5))),
        hint("primary", "near", true, Some(Position::new(1, 10))),
    ];
    hints[0].lag_ms = 1_000;
    let asked = request(Some(Position::new(1, 10)));
    assert_eq!(
        names(&order_for_read(NOW, &locality(), &hints, &asked)),
        ["primary", "replica"]
    );
    let later = NOW.plus_millis(800);
    assert_eq!(
        names(&order_for_read(later, &locality(), &hints, &asked)),
        ["replica", "primary"]
    );
}

#[test]
fn a_tenant_of_the_primary_only_is_never_sent_to_a_replica() {
    let hints = [hint("replica", "near", false, None)];
    let mut asked = request(None);
    asked.policy = ReadPolicy::PrimaryOnly;
    let order = order_for_read(NOW, &locality(), &hints, &asked);
    assert!(order.iter().all(|choice| !choice.reason.eligible()));
}

#[test]
fn leaving_and_discarded_candidates_are_not_eligible() {
    let mut leaving = hint("leaving", "near", false, None);
    leaving.leaving = true;
    let mut discarded = hint("discarded", "near", false, Some(Position::new(2, 50)));
    discarded.history = vec![TermStart {
        term: Term(2),
        start: LogPosition(5),
    }];
    let order = order_for_read(
        NOW,
        &locality(),
        &[leaving, discarded],
        &request(Some(Position::new(1, 10))),
    );
    assert!(order.iter().all(|choice| !choice.reason.eligible()));
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
fn an_old_primary_is_not_the_primary() {
    let [a, b, c] = ["a", "b", "c"].map(InstanceName::from);
    let mut view = GroupView::new([a.clone(), b.clone(), c.clone()]);
    view.observe(NOW, &a, status(Role::Primary, 1, 10));
    assert_eq!(view.primary(NOW), None, "no majority was heard");
    view.observe(NOW, &c, status(Role::Replica, 1, 10));
    assert_eq!(view.primary(NOW).map(|(name, _)| name.as_str()), Some("a"));
    view.observe(NOW, &b, status(Role::Primary, 2, 10));
    assert_eq!(view.primary(NOW).map(|(name, _)| name.as_str()), Some("b"));
    assert_eq!(
        view.primary(NOW.plus_millis(10_000)),
        None,
        "nothing was heard lately"
    );
}

#[test]
fn staleness_counts_from_the_last_position_the_replica_has() {
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
fn an_instance_is_owned_in_its_own_zone_first() {
    let mut all = nodes(3, "z1");
    all.extend(nodes(3, "z2"));
    assert!(owner_of("i", "z2", &all).is_some_and(|owner| owner.starts_with("z2")));
    assert!(owner_of("i", "z3", &all).is_some());
    assert_eq!(owner_of("i", "z1", &[]), None);
}

#[test]
fn losing_a_node_moves_only_its_instances() {
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

fn ticket(id: u64, tenant: &str, value: u32, deadline_ms: u64) -> Ticket {
    Ticket {
        id,
        tenant: TenantName::from(tenant),
        weight: 1,
        value,
        deadline: NOW.plus_millis(deadline_ms),
    }
}

fn queue(slots: u32, queue_length: usize) -> AdmissionQueue {
    AdmissionQueue::new(AdmissionLimits { slots, queue_length })
}

#[test]
fn a_full_queue_makes_room_for_more_value() {
    let mut queue = queue(1, 1);
    let mut displaced = Vec::new();
    assert_eq!(
        queue.admit(NOW, ticket(1, "a", 1, 1_000), &mut displaced),
        Admission::Granted
    );
    assert_eq!(
        queue.admit(NOW, ticket(2, "a", 1, 1_000), &mut displaced),
        Admission::Queued
    );
    let refused = queue.admit(NOW, ticket(3, "a", 1, 1_000), &mut displaced);
    assert_eq!(refused, Admission::Refused(ErrorKind::QueueFull));
    assert_eq!(
        queue.admit(NOW, ticket(4, "a", 2, 1_000), &mut displaced),
        Admission::Queued
    );
    assert_eq!(displaced, [2]);
}

#[test]
fn a_request_that_cannot_finish_is_refused_early() {
    let mut queue = queue(1, 100);
    let mut expired = Vec::new();
    let mut displaced = Vec::new();
    queue.admit(NOW, ticket(1, "a", 1, 1_000), &mut displaced);
    for _ in 0..50 {
        queue.release(NOW, 400_000, &mut expired);
        queue.admit(NOW, ticket(1, "a", 1, 1_000), &mut displaced);
    }
    let refused = queue.admit(NOW, ticket(2, "a", 1, 100), &mut displaced);
    assert_eq!(refused, Admission::Refused(ErrorKind::WindowTooShort));
}

#[test]
fn tenants_share_by_weight_whatever_they_queue() {
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
        let next = queue.release(NOW, 1, &mut scratch).expect("one waits");
        modest += usize::from(next.tenant.as_str() == "modest");
    }
    assert_eq!(modest, 10);
}

#[test]
fn retries_stay_a_share_of_the_traffic() {
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
        value: u32,
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
        3 => (0u8..4, 1u32..3, 0u64..500).prop_map(|(tenant, value, deadline_ms)| Step::Admit { tenant, value, deadline_ms }),
        2 => (0u64..5_000).prop_map(|held_us| Step::Release { held_us }),
        1 => (0u64..60).prop_map(|id| Step::Cancel { id }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..ProptestConfig::with_cases(256) })]

    /// Against a simple count: never more running than slots, never more
    /// waiting than the queue holds, and every ticket leaves exactly once.
    #[test]
    fn the_queue_keeps_its_limits(steps in proptest::collection::vec(step(), 1..80)) {
        let mut queue = queue(3, 5);
        let mut running = 0u32;
        let mut waiting = std::collections::BTreeSet::new();
        for (id, step) in steps.into_iter().enumerate() {
            let id = id as u64;
            match step {
                Step::Admit { tenant, value, deadline_ms } => {
                    let mut displaced = Vec::new();
                    let asked = ticket(id, &format!("t{tenant}"), value, deadline_ms);
                    match queue.admit(NOW, asked, &mut displaced) {
                        Admission::Granted => running += 1,
                        Admission::Queued => { waiting.insert(id); }
                        Admission::Refused(kind) => prop_assert_eq!(kind.answer().effect, millwind_core::error_kind::Effect::NotRun),
                    }
                    for gone in displaced {
                        prop_assert!(waiting.remove(&gone));
                    }
                }
                Step::Release { held_us } if running > 0 => {
                    running -= 1;
                    let mut expired = Vec::new();
                    let next = queue.release(NOW, held_us, &mut expired);
                    for gone in expired {
                        prop_assert!(waiting.remove(&gone));
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
