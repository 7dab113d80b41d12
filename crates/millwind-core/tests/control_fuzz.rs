//! Model-based tests of the control plane in simulated time: nodes in three zones with
//! random changes, network partitions, restarts, platform outages and delayed messages.
//!
//! Invariants after every step: the revision of a node never decreases while its process
//! runs, and once node 0 reports a change as in force on all nodes, no serving node has an
//! older revision.

use std::collections::{BTreeMap, VecDeque};

use millwind_core::Instant;
use millwind_core::control::{ControlPlane, RolloutState};
use millwind_core::membership::{MembershipTimes, Outgoing};
use millwind_wire::ControlMessage;
use millwind_wire::control::{Liveness, MemberRecord, NodeRevision, WireDocument};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ZONES: usize = 3;
const NODES: usize = 6;
const STEP_MS: u64 = 100;
const START: Instant = Instant::from_millis(1_000_000);

/// The events that a test run consists of.
#[derive(Debug, Clone)]
enum Transition {
    /// An operator stores a change.
    Store,
    /// Time passes.
    Pass { steps: u64 },
    /// A zone is partitioned from the others, or the partition heals.
    PartitionZone { zone: usize, is_partitioned: bool },
    /// A node restarts with a new process.
    Restart { node: usize },
    /// A node is suspended or resumed.
    Suspend { node: usize, is_suspended: bool },
    /// The platform becomes unavailable or available.
    Platform { up: bool },
    /// Messages in flight are delayed.
    DelayMessages,
}

/// The reference model: the newest stored revision.
#[derive(Debug, Clone)]
struct ReferenceModel {
    revision: u64,
}

impl ReferenceStateMachine for ReferenceModel {
    type State = ReferenceModel;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<ReferenceModel> {
        Just(ReferenceModel { revision: 1 }).boxed()
    }

    fn transitions(_state: &ReferenceModel) -> BoxedStrategy<Transition> {
        prop_oneof![
            3 => Just(Transition::Store),
            6 => (1u64..40).prop_map(|steps| Transition::Pass { steps }),
            2 => (0..ZONES, any::<bool>()).prop_map(|(zone, is_partitioned)| Transition::PartitionZone { zone, is_partitioned }),
            1 => (0..NODES).prop_map(|node| Transition::Restart { node }),
            2 => (0..NODES, any::<bool>()).prop_map(|(node, is_suspended)| Transition::Suspend { node, is_suspended }),
            2 => any::<bool>().prop_map(|up| Transition::Platform { up }),
            1 => Just(Transition::DelayMessages),
        ]
        .boxed()
    }

    fn apply(mut state: ReferenceModel, transition: &Transition) -> ReferenceModel {
        if matches!(transition, Transition::Store) {
            state.revision += 1;
        }
        state
    }
}

struct Node {
    plane: ControlPlane,
    incarnation: u64,
    is_suspended: bool,
    /// Highest revision that the process has had in force.
    highest: u64,
}

struct Simulation {
    now: Instant,
    nodes: Vec<Node>,
    is_partitioned: [bool; ZONES],
    platform_up: bool,
    stored: u64,
    in_flight: VecDeque<(usize, usize, ControlMessage)>,
    delayed: Vec<(Instant, usize, usize, ControlMessage)>,
    /// Highest revision reported as in force on all nodes.
    reported_in_force: u64,
}

fn member(index: usize, incarnation: u64) -> MemberRecord {
    MemberRecord {
        node: format!("n{index}"),
        address: format!("127.0.0.{index}:1"),
        zone: format!("z{}", index % ZONES),
        region: "r".to_owned(),
        incarnation,
        liveness: Liveness::Alive,
        leaving: 0,
    }
}

fn node(index: usize, incarnation: u64) -> Node {
    let seeds = (0..NODES).map(|other| member(other, 1).address).collect();
    let own = member(index, incarnation);
    Node {
        plane: ControlPlane::new(own, seeds, MembershipTimes::default(), index as u64),
        incarnation,
        is_suspended: false,
        highest: 0,
    }
}

fn document(revision: u64) -> WireDocument {
    WireDocument {
        key: "template/t".to_owned(),
        revision,
        deleted: 0,
        change_id: String::new(),
        body: "name = \"t\"".to_owned(),
    }
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Simulation {
            now: START,
            nodes: (0..NODES).map(|index| node(index, 1)).collect(),
            is_partitioned: [false; ZONES],
            platform_up: true,
            stored: 1,
            in_flight: VecDeque::new(),
            delayed: Vec::new(),
            reported_in_force: 0,
        };
        for _ in 0..60 {
            simulation.step();
        }
        simulation
    }

    fn reachable(&self, from: usize, to: usize) -> bool {
        let (left, right) = (from % ZONES, to % ZONES);
        left == right || !self.is_partitioned[left] && !self.is_partitioned[right]
    }

    fn post(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        for message in outgoing {
            let to = (0..NODES).find(|index| member(*index, 1).address == message.address);
            if let Some(to) = to.filter(|to| *to != from && self.reachable(from, *to)) {
                self.in_flight.push_back((from, to, message.message));
            }
        }
    }

    /// Advances time by one step: platform contacts, timers and message delivery.
    fn step(&mut self) {
        self.now = self.now.plus_millis(STEP_MS);
        let now = self.now;
        for index in 0..NODES {
            if self.nodes[index].is_suspended {
                continue;
            }
            if self.platform_up
                && !self.is_partitioned[index % ZONES]
                && self.nodes[index].plane.membership().is_relay()
            {
                let stored = self.stored;
                let plane = &mut self.nodes[index].plane;
                let outgoing = plane.platform_changes(now, stored, &[document(stored)]);
                plane.record_platform_contact(now, stored);
                self.post(index, outgoing);
            }
            let outgoing = self.nodes[index].plane.tick(now);
            self.post(index, outgoing);
        }
        let due: Vec<_> = self.delayed.extract_if(.., |(due, ..)| *due <= now).collect();
        self.in_flight
            .extend(due.into_iter().map(|(_, from, to, message)| (from, to, message)));
        self.deliver();
        for node in &mut self.nodes {
            node.highest = node.highest.max(node.plane.config().revision());
        }
    }

    /// Delivers the messages in flight and those sent in response, up to a limit.
    fn deliver(&mut self) {
        for _ in 0..2_000 {
            let Some((from, to, message)) = self.in_flight.pop_front() else {
                return;
            };
            if self.nodes[to].is_suspended {
                // The message stays in the socket buffer of the suspended process.
                self.delayed
                    .push((self.now.plus_millis(STEP_MS), from, to, message));
                continue;
            }
            let outgoing = self.nodes[to]
                .plane
                .receive(self.now, &format!("n{from}"), &message);
            self.post(to, outgoing);
        }
    }

    /// Records `revision` as in force if node 0, given the revisions of all reachable nodes,
    /// would report this.
    fn query_in_force(&mut self, revision: u64) {
        if self.nodes[0].is_suspended {
            return;
        }
        let mut reports = BTreeMap::new();
        for index in 0..NODES {
            if self.nodes[index].is_suspended || !self.reachable(0, index) {
                continue;
            }
            let plane = &self.nodes[index].plane;
            reports.insert(
                format!("n{index}"),
                NodeRevision {
                    node: format!("n{index}"),
                    revision: plane.config().revision(),
                    age_ms: 0,
                },
            );
        }
        let plane = &self.nodes[0].plane;
        let states = plane.rollout_states(self.now, revision, &reports);
        let has_all_nodes = states.len() == NODES;
        if has_all_nodes && states.values().all(|state| *state != RolloutState::Pending) {
            self.reported_in_force = self.reported_in_force.max(revision);
        }
    }

    fn check_revisions(&self) {
        for (index, node) in self.nodes.iter().enumerate() {
            let revision = node.plane.config().revision();
            assert!(
                revision >= node.highest,
                "n{index} went back from revision {} to {revision}",
                node.highest
            );
            let serves = node.plane.may_serve(self.now).is_ok();
            assert!(
                !serves || revision >= self.reported_in_force,
                "n{index} serves with revision {revision} although {} was reported in force",
                self.reported_in_force
            );
        }
    }
}

struct ControlFuzz;

impl StateMachineTest for ControlFuzz {
    type SystemUnderTest = Simulation;
    type Reference = ReferenceModel;

    fn init_test(_state: &ReferenceModel) -> Simulation {
        Simulation::new()
    }

    fn apply(mut simulation: Simulation, state: &ReferenceModel, transition: Transition) -> Simulation {
        match transition {
            Transition::Store => {
                if simulation.platform_up {
                    simulation.stored = state.revision;
                }
                simulation.step();
            }
            Transition::Pass { steps } => {
                for _ in 0..steps {
                    simulation.step();
                }
            }
            Transition::PartitionZone { zone, is_partitioned } => {
                simulation.is_partitioned[zone] = is_partitioned
            }
            Transition::Restart { node: index } => {
                let incarnation = simulation.nodes[index].incarnation + 1;
                simulation.nodes[index] = node(index, incarnation);
                simulation
                    .in_flight
                    .retain(|(from, to, _)| *from != index && *to != index);
                simulation
                    .delayed
                    .retain(|(_, from, to, _)| *from != index && *to != index);
            }
            Transition::Suspend {
                node: index,
                is_suspended,
            } => simulation.nodes[index].is_suspended = is_suspended,
            Transition::Platform { up } => simulation.platform_up = up,
            Transition::DelayMessages => {
                // Delays the digests sent now and all other messages by five seconds.
                let now = simulation.now.plus_millis(STEP_MS);
                for index in 0..NODES {
                    if !simulation.nodes[index].is_suspended {
                        let outgoing = simulation.nodes[index].plane.tick(now);
                        simulation.post(index, outgoing);
                    }
                }
                let deliver_at = simulation.now.plus_millis(5_000);
                let delayed_now: Vec<_> = simulation.in_flight.drain(..).collect();
                simulation.delayed.extend(
                    delayed_now
                        .into_iter()
                        .map(|(from, to, message)| (deliver_at, from, to, message)),
                );
            }
        }
        let revision = simulation.stored;
        simulation.query_in_force(revision);
        simulation.check_revisions();
        simulation
    }

    fn check_invariants(simulation: &Simulation, _state: &ReferenceModel) {
        simulation.check_revisions();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(std::env::var("MILLWIND_FUZZ_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(11)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::with_cases(64)
    })]

    #[test]
    fn reported_change_is_in_force_on_all_serving_nodes(sequential 1..60 => ControlFuzz);
}

#[test]
fn change_comes_into_force_without_faults() {
    let mut simulation = Simulation::new();
    simulation.stored = 2;
    for _ in 0..30 {
        simulation.step();
    }
    simulation.query_in_force(2);
    assert_eq!(simulation.reported_in_force, 2);
    assert!(
        simulation
            .nodes
            .iter()
            .all(|node| node.plane.config().revision() == 2)
    );
}

#[test]
fn partitioned_zone_stops_serving_and_no_longer_blocks_changes() {
    let mut simulation = Simulation::new();
    simulation.is_partitioned[1] = true;
    simulation.stored = 2;
    for _ in 0..50 {
        simulation.step();
    }
    simulation.query_in_force(2);
    assert_eq!(simulation.reported_in_force, 0, "the zone may still be serving");
    for _ in 0..60 {
        simulation.step();
    }
    simulation.query_in_force(2);
    assert_eq!(simulation.reported_in_force, 2);
    simulation.check_revisions();
    assert!(simulation.nodes[1].plane.may_serve(simulation.now).is_err());
    assert!(simulation.nodes[0].plane.may_serve(simulation.now).is_ok());
}

#[test]
fn platform_outage_does_not_stop_nodes() {
    let mut simulation = Simulation::new();
    simulation.platform_up = false;
    for _ in 0..300 {
        simulation.step();
    }
    assert!(
        simulation
            .nodes
            .iter()
            .all(|node| node.plane.may_serve(simulation.now).is_ok())
    );
}

#[test]
fn node_started_during_outage_gets_configuration_from_peers() {
    let mut simulation = Simulation::new();
    simulation.platform_up = false;
    simulation.nodes[4] = node(4, 2);
    assert!(simulation.nodes[4].plane.may_serve(simulation.now).is_err());
    for _ in 0..100 {
        simulation.step();
    }
    assert_eq!(simulation.nodes[4].plane.config().revision(), 1);
    assert!(simulation.nodes[4].plane.may_serve(simulation.now).is_ok());
}

/// A node with a configuration but without a member table must not assume that it is the
/// only node, since it would then serve during any loss of contact with the platform.
#[test]
fn node_without_member_table_does_not_serve() {
    let mut newcomer = node(3, 2).plane;
    let now = START;
    newcomer.tick(now);
    let delta = ControlMessage::ConfigDelta {
        from: 0,
        to: 1,
        documents: vec![document(1)],
    };
    newcomer.receive(now, "n0", &delta);
    assert_eq!(newcomer.config().revision(), 1);
    newcomer.tick(now);
    assert!(newcomer.may_serve(now).is_err());
}

#[test]
fn resumed_node_does_not_serve_with_old_configuration() {
    let mut simulation = Simulation::new();
    simulation.nodes[2].is_suspended = true;
    for _ in 0..120 {
        simulation.step();
    }
    assert!(simulation.nodes[2].plane.may_serve(simulation.now).is_err());
}
