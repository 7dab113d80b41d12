//! Stateful fuzzing of the control plane under virtual time: nodes in three
//! zones, with changes, cuts, restarts, platform outages and late messages in
//! any order, against a simple oracle.
//!
//! The oracle is the list of stored revisions. At every step: no node's
//! revision falls while its process lives, and once a node says that a change
//! is in force everywhere, no node that serves has an older one.

use std::collections::{BTreeMap, VecDeque};

use millwind_core::Instant;
use millwind_core::control::{ControlPlane, Standing};
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

/// What may happen.
#[derive(Debug, Clone)]
enum Transition {
    /// An operator's change is stored.
    Store,
    /// Time passes.
    Pass { steps: u64 },
    /// A zone is cut off, or healed.
    CutZone { zone: usize, cut: bool },
    /// A node's process is replaced.
    Restart { node: usize },
    /// A node is frozen or wakes up.
    Freeze { node: usize, frozen: bool },
    /// The platform is out, or back.
    Platform { up: bool },
    /// Messages under way are held back and delivered later.
    HoldBack,
}

/// The oracle: the newest stored revision.
#[derive(Debug, Clone)]
struct Oracle {
    revision: u64,
}

impl ReferenceStateMachine for Oracle {
    type State = Oracle;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Oracle> {
        Just(Oracle { revision: 1 }).boxed()
    }

    fn transitions(_state: &Oracle) -> BoxedStrategy<Transition> {
        prop_oneof![
            3 => Just(Transition::Store),
            6 => (1u64..40).prop_map(|steps| Transition::Pass { steps }),
            2 => (0..ZONES, any::<bool>()).prop_map(|(zone, cut)| Transition::CutZone { zone, cut }),
            1 => (0..NODES).prop_map(|node| Transition::Restart { node }),
            2 => (0..NODES, any::<bool>()).prop_map(|(node, frozen)| Transition::Freeze { node, frozen }),
            2 => any::<bool>().prop_map(|up| Transition::Platform { up }),
            1 => Just(Transition::HoldBack),
        ]
        .boxed()
    }

    fn apply(mut state: Oracle, transition: &Transition) -> Oracle {
        if matches!(transition, Transition::Store) {
            state.revision += 1;
        }
        state
    }
}

struct Node {
    plane: ControlPlane,
    incarnation: u64,
    frozen: bool,
    /// Highest revision this process ever had in force.
    highest: u64,
}

struct World {
    now: Instant,
    nodes: Vec<Node>,
    cut: [bool; ZONES],
    platform_up: bool,
    stored: u64,
    in_flight: VecDeque<(usize, usize, ControlMessage)>,
    held_back: Vec<(Instant, usize, usize, ControlMessage)>,
    /// Revisions said to be in force everywhere.
    said_in_force: u64,
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
        frozen: false,
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

impl World {
    fn new() -> Self {
        let mut world = World {
            now: START,
            nodes: (0..NODES).map(|index| node(index, 1)).collect(),
            cut: [false; ZONES],
            platform_up: true,
            stored: 1,
            in_flight: VecDeque::new(),
            held_back: Vec::new(),
            said_in_force: 0,
        };
        for _ in 0..60 {
            world.step();
        }
        world
    }

    fn reachable(&self, from: usize, to: usize) -> bool {
        let (left, right) = (from % ZONES, to % ZONES);
        left == right || !self.cut[left] && !self.cut[right]
    }

    fn post(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        for message in outgoing {
            let to = (0..NODES).find(|index| member(*index, 1).address == message.address);
            if let Some(to) = to.filter(|to| *to != from && self.reachable(from, *to)) {
                self.in_flight.push_back((from, to, message.message));
            }
        }
    }

    /// One step of time: signs of life of the platform, ticks, deliveries.
    fn step(&mut self) {
        self.now = self.now.plus_millis(STEP_MS);
        let now = self.now;
        for index in 0..NODES {
            if self.nodes[index].frozen {
                continue;
            }
            if self.platform_up && !self.cut[index % ZONES] && self.nodes[index].plane.membership().is_relay()
            {
                let stored = self.stored;
                let plane = &mut self.nodes[index].plane;
                let outgoing = plane.platform_changes(now, stored, &[document(stored)]);
                plane.platform_heard(now, stored);
                self.post(index, outgoing);
            }
            let outgoing = self.nodes[index].plane.tick(now);
            self.post(index, outgoing);
        }
        let due: Vec<_> = self.held_back.extract_if(.., |(due, ..)| *due <= now).collect();
        self.in_flight
            .extend(due.into_iter().map(|(_, from, to, message)| (from, to, message)));
        self.deliver();
        for node in &mut self.nodes {
            node.highest = node.highest.max(node.plane.config().revision());
        }
    }

    /// Delivers everything under way, and what follows from it, a few rounds.
    fn deliver(&mut self) {
        for _ in 0..2_000 {
            let Some((from, to, message)) = self.in_flight.pop_front() else {
                return;
            };
            if self.nodes[to].frozen {
                // Lies in the frozen process's socket until it wakes.
                self.held_back
                    .push((self.now.plus_millis(STEP_MS), from, to, message));
                continue;
            }
            let outgoing = self.nodes[to]
                .plane
                .receive(self.now, &format!("n{from}"), &message);
            self.post(to, outgoing);
        }
    }

    /// Where node 0 would say that nodes stand, with the relays' own words.
    fn ask_in_force(&mut self, revision: u64) {
        if self.nodes[0].frozen {
            return;
        }
        let mut reports = BTreeMap::new();
        for index in 0..NODES {
            if self.nodes[index].frozen || !self.reachable(0, index) {
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
        let standings = plane.standings(self.now, revision, &reports);
        let known = standings.len() == NODES;
        if known && standings.values().all(|standing| *standing != Standing::Pending) {
            self.said_in_force = self.said_in_force.max(revision);
        }
    }

    fn check(&self) {
        for (index, node) in self.nodes.iter().enumerate() {
            let revision = node.plane.config().revision();
            assert!(
                revision >= node.highest,
                "n{index} fell from {} to {revision}",
                node.highest
            );
            let serves = node.plane.may_serve(self.now).is_ok();
            assert!(
                !serves || revision >= self.said_in_force,
                "n{index} serves {revision} while {} is said to be in force",
                self.said_in_force
            );
        }
    }
}

struct ControlFuzz;

impl StateMachineTest for ControlFuzz {
    type SystemUnderTest = World;
    type Reference = Oracle;

    fn init_test(_state: &Oracle) -> World {
        World::new()
    }

    fn apply(mut world: World, state: &Oracle, transition: Transition) -> World {
        match transition {
            Transition::Store => {
                if world.platform_up {
                    world.stored = state.revision;
                }
                world.step();
            }
            Transition::Pass { steps } => {
                for _ in 0..steps {
                    world.step();
                }
            }
            Transition::CutZone { zone, cut } => world.cut[zone] = cut,
            Transition::Restart { node: index } => {
                let incarnation = world.nodes[index].incarnation + 1;
                world.nodes[index] = node(index, incarnation);
                world
                    .in_flight
                    .retain(|(from, to, _)| *from != index && *to != index);
                world
                    .held_back
                    .retain(|(_, from, to, _)| *from != index && *to != index);
            }
            Transition::Freeze { node: index, frozen } => world.nodes[index].frozen = frozen,
            Transition::Platform { up } => world.platform_up = up,
            Transition::HoldBack => {
                // What is asked now is answered late: reports come back after
                // five seconds.
                let now = world.now.plus_millis(STEP_MS);
                for index in 0..NODES {
                    if !world.nodes[index].frozen {
                        let outgoing = world.nodes[index].plane.tick(now);
                        world.post(index, outgoing);
                    }
                }
                let late = world.now.plus_millis(5_000);
                let held: Vec<_> = world.in_flight.drain(..).collect();
                world.held_back.extend(
                    held.into_iter()
                        .map(|(from, to, message)| (late, from, to, message)),
                );
            }
        }
        let revision = world.stored;
        world.ask_in_force(revision);
        world.check();
        world
    }

    fn check_invariants(world: &World, _state: &Oracle) {
        world.check();
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
    fn a_change_said_in_force_is_in_force(sequential 1..60 => ControlFuzz);
}

#[test]
fn a_change_comes_into_force_when_nothing_fails() {
    let mut world = World::new();
    world.stored = 2;
    for _ in 0..30 {
        world.step();
    }
    world.ask_in_force(2);
    assert_eq!(world.said_in_force, 2);
    assert!(world.nodes.iter().all(|node| node.plane.config().revision() == 2));
}

#[test]
fn a_cut_off_zone_stops_and_is_then_left_out() {
    let mut world = World::new();
    world.cut[1] = true;
    world.stored = 2;
    for _ in 0..50 {
        world.step();
    }
    world.ask_in_force(2);
    assert_eq!(world.said_in_force, 0, "the zone may still be serving");
    for _ in 0..60 {
        world.step();
    }
    world.ask_in_force(2);
    assert_eq!(world.said_in_force, 2);
    world.check();
    assert!(world.nodes[1].plane.may_serve(world.now).is_err());
    assert!(world.nodes[0].plane.may_serve(world.now).is_ok());
}

#[test]
fn an_outage_that_all_share_stops_nobody() {
    let mut world = World::new();
    world.platform_up = false;
    for _ in 0..300 {
        world.step();
    }
    assert!(
        world
            .nodes
            .iter()
            .all(|node| node.plane.may_serve(world.now).is_ok())
    );
}

#[test]
fn a_node_that_starts_in_an_outage_takes_the_configuration_from_its_peers() {
    let mut world = World::new();
    world.platform_up = false;
    world.nodes[4] = node(4, 2);
    assert!(world.nodes[4].plane.may_serve(world.now).is_err());
    for _ in 0..100 {
        world.step();
    }
    assert_eq!(world.nodes[4].plane.config().revision(), 1);
    assert!(world.nodes[4].plane.may_serve(world.now).is_ok());
}

/// Found by the fuzz test (seed 11): a node that had been given a configuration
/// but not yet told of the others took itself for the whole deployment, pleaded
/// a shared outage, and served on while a newer change was said in force.
#[test]
fn a_node_that_was_told_of_nobody_is_not_alone() {
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
fn a_frozen_node_wakes_up_unable_to_serve() {
    let mut world = World::new();
    world.nodes[2].frozen = true;
    for _ in 0..120 {
        world.step();
    }
    assert!(world.nodes[2].plane.may_serve(world.now).is_err());
}
