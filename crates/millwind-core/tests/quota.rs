//! Quotas of tenants under virtual time: many nodes, one that counts, and what may
//! go wrong between them.

use std::collections::BTreeMap;

use millwind_core::Instant;
use millwind_core::quota::{
    Admission, Allowance, Beginning, Budget, Loan, OtherCounter, Quota, Reach, UNCOUNTED_PERCENT,
    lent_percent,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The window over which the users count, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// What they let pass beyond the quota: a part in percent, and operations.
const OVERAGE_PERCENT: u64 = 10;
const SLACK: u64 = 20;
/// One way between two nodes, in milliseconds.
const ONE_WAY_MS: u64 = 20;
/// Nodes that one that counts asks whether they live, and how often, in milliseconds.
const SAMPLE: usize = 16;
const SAMPLE_PAUSE_MS: u64 = 1_000;
/// A question that got no answer is given up after this time, in milliseconds.
const LOAN_LIMIT_MS: u64 = 200;

/// What happens to the node that counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// It is gone for this time, and then starts anew.
    Restart {
        at_ms: u64,
        for_ms: u64,
    },
    /// All nodes start anew.
    RestartAll {
        at_ms: u64,
    },
    /// This part of the nodes is cut off from the rest, in percent; nodes that count
    /// may be on either side.
    Cut {
        at_ms: u64,
        for_ms: u64,
        percent: usize,
        sides: Sides,
    },
    /// The quota is lowered to this part of it, in percent.
    Lowered {
        at_ms: u64,
        percent: u64,
    },
}

/// What nodes that are cut off still reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sides {
    /// Nobody.
    Alone,
    /// Each other.
    Together,
}

/// How a tenant's operations are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// One node lends to the others.
    Lent,
    /// Each node has an even part.
    EvenParts,
}

#[derive(Debug, Clone)]
struct Scene {
    seed: u64,
    nodes: usize,
    /// The nodes that count: the first, and the one that stands in.
    counters: [usize; 2],
    quota: Quota,
    /// Operations a second that are asked for.
    asked_per_s: u64,
    /// Nodes that most of them come to.
    busy_nodes: usize,
    /// An operation runs up to so much later than it is admitted, in milliseconds.
    run_delay_ms: u64,
    trouble: Trouble,
    length_ms: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    /// When operations ran, in milliseconds.
    ran: Vec<u64>,
    asked: u64,
    refused: u64,
}

struct Node {
    allowance: Allowance,
    uncounted: Option<Budget>,
    /// The answer under way: when it arrives, when it was asked for, what it says.
    pending: Option<(u64, u64, Loan)>,
    waiting: u32,
}

impl Node {
    fn new() -> Self {
        Node {
            allowance: Allowance::default(),
            uncounted: None,
            pending: None,
            waiting: 0,
        }
    }
}

struct World<'a> {
    scene: &'a Scene,
    random: ChaCha8Rng,
    nodes: Vec<Node>,
    /// Budgets of the first node and of the one that stands in.
    budgets: BTreeMap<usize, Budget>,
    /// What these two see of the others.
    reach: [Reach; 2],
    outcome: Outcome,
}

impl World<'_> {
    fn quota(&self, now_ms: u64) -> Quota {
        match self.scene.trouble {
            Trouble::Lowered { at_ms, percent } if now_ms >= at_ms => Quota {
                rate_per_s: self.scene.quota.rate_per_s * percent / 100,
                burst: self.scene.quota.burst * percent / 100,
            },
            _ => self.scene.quota,
        }
    }

    fn is_down(&self, counter: usize, now_ms: u64) -> bool {
        match self.scene.trouble {
            Trouble::Restart { at_ms, for_ms } => counter == 0 && (at_ms..at_ms + for_ms).contains(&now_ms),
            _ => false,
        }
    }

    /// Whether two nodes reach each other.
    fn are_connected(&self, one: usize, other: usize, now_ms: u64) -> bool {
        let Trouble::Cut {
            at_ms,
            for_ms,
            percent,
            sides,
        } = self.scene.trouble
        else {
            return true;
        };
        if one == other || !(at_ms..at_ms + for_ms).contains(&now_ms) {
            return true;
        }
        // Busy and idle nodes alike are cut off.
        let is_cut = |node: usize| node * 37 % self.scene.nodes * 100 < percent * self.scene.nodes;
        match (is_cut(one), is_cut(other)) {
            (false, false) => true,
            (true, true) => sides == Sides::Together,
            _ => false,
        }
    }

    /// The nodes that count look whom they reach.
    fn look_around(&mut self, now_ms: u64) {
        if !now_ms.is_multiple_of(SAMPLE_PAUSE_MS) {
            return;
        }
        for index in 0..2 {
            let [own, other] = [self.scene.counters[index], self.scene.counters[1 - index]];
            let sample: Vec<_> = (1..=SAMPLE.min(self.scene.nodes - 1))
                .map(|step| {
                    (own + step * self.scene.nodes / (SAMPLE + 1).min(self.scene.nodes)) % self.scene.nodes
                })
                .collect();
            let reached = sample
                .iter()
                .filter(|node| self.are_connected(own, **node, now_ms))
                .count();
            let is_gone = self.is_down(1 - index, now_ms);
            let is_heard = self.are_connected(own, other, now_ms);
            self.reach[index] = Reach {
                percent: ((reached + 1) * 100 / (sample.len() + 1)) as u32,
                other: match (is_gone, is_heard) {
                    (true, _) => OtherCounter::Gone,
                    (false, true) => OtherCounter::Heard,
                    (false, false) => OtherCounter::Silent,
                },
            };
        }
    }

    /// What a node is lent that asks at `now_ms`, and when it knows.
    fn ask(&mut self, node: usize, wanted: u32, now_ms: u64) -> (u64, Loan) {
        let quota = self.quota(now_ms);
        let mut asked_ms = now_ms;
        for counter in 0..2 {
            let is_reached = self.are_connected(node, self.scene.counters[counter], asked_ms);
            if self.is_down(counter, asked_ms) || !is_reached {
                asked_ms += LOAN_LIMIT_MS;
                continue;
            }
            let arrived = Instant::from_millis(asked_ms + ONE_WAY_MS);
            let percent = lent_percent(counter == 0, self.reach[counter]);
            let part = quota.part(f64::from(percent));
            self.nodes[node].uncounted = None;
            let budget = self
                .budgets
                .entry(counter)
                .or_insert_with(|| Budget::new(part, Beginning::FirstLoan, arrived));
            return (asked_ms + 2 * ONE_WAY_MS, budget.lend(part, wanted, arrived));
        }
        let percent = f64::from(UNCOUNTED_PERCENT) / self.scene.nodes as f64;
        let part = quota.part(percent);
        let now = Instant::from_millis(asked_ms);
        let budget = self.nodes[node]
            .uncounted
            .get_or_insert_with(|| Budget::new(part, Beginning::Empty, now));
        (asked_ms, budget.lend(part, wanted, now))
    }

    fn admitted(&mut self, now_ms: u64) {
        let delay = self.random.random_range(0..=self.scene.run_delay_ms);
        self.outcome.ran.push(now_ms + delay);
    }

    /// One caller asks at `node`.
    fn arrive(&mut self, node: usize, now_ms: u64) {
        self.outcome.asked += 1;
        self.nodes[node].allowance.arrived(Instant::from_millis(now_ms));
        self.nodes[node].waiting += 1;
        self.serve(node, now_ms);
    }

    /// Serves those who wait at a node as far as its loans go.
    fn serve(&mut self, node: usize, now_ms: u64) {
        let now = Instant::from_millis(now_ms);
        while self.nodes[node].waiting > 0 {
            match self.nodes[node].allowance.admit(now) {
                Admission::Admitted => self.admitted(now_ms),
                Admission::Refused { .. } => self.outcome.refused += 1,
                Admission::AskFirst => break,
            }
            self.nodes[node].waiting -= 1;
        }
        let waiting = self.nodes[node].waiting;
        let is_needed = waiting > 0 || self.nodes[node].allowance.is_low(now);
        if is_needed && self.nodes[node].pending.is_none() {
            let wanted = self.nodes[node].allowance.wanted(waiting, now);
            let (answered_ms, loan) = self.ask(node, wanted, now_ms);
            self.nodes[node].pending = Some((answered_ms, now_ms, loan));
        }
    }

    fn take_answers(&mut self, now_ms: u64) {
        for node in 0..self.nodes.len() {
            let due = self.nodes[node].pending.filter(|(at_ms, ..)| *at_ms <= now_ms);
            let Some((_, asked_ms, loan)) = due else { continue };
            self.nodes[node].pending = None;
            let (asked, now) = (Instant::from_millis(asked_ms), Instant::from_millis(now_ms));
            self.nodes[node].allowance.lent(loan, asked, now);
            self.serve(node, now_ms);
        }
    }

    fn restart(&mut self, now_ms: u64) {
        match self.scene.trouble {
            Trouble::Restart { at_ms, for_ms } if now_ms == at_ms + for_ms => {
                self.budgets.remove(&0);
            }
            Trouble::RestartAll { at_ms } if now_ms == at_ms => {
                self.budgets.clear();
                self.nodes.iter_mut().for_each(|node| *node = Node::new());
            }
            _ => {}
        }
    }
}

fn play(scene: &Scene, way: Way) -> Outcome {
    let mut world = World {
        scene,
        random: ChaCha8Rng::seed_from_u64(scene.seed),
        nodes: (0..scene.nodes).map(|_| Node::new()).collect(),
        budgets: BTreeMap::new(),
        reach: [Reach {
            percent: 100,
            other: OtherCounter::Heard,
        }; 2],
        outcome: Outcome::default(),
    };
    let mut parts: Vec<Option<Budget>> = (0..scene.nodes).map(|_| None).collect();
    for now_ms in 0..scene.length_ms {
        world.restart(now_ms);
        world.look_around(now_ms);
        world.take_answers(now_ms);
        let mean = scene.asked_per_s as f64 / 1_000.0;
        let mut arrivals = mean as u64;
        arrivals += u64::from(world.random.random_bool(mean.fract()));
        for _ in 0..arrivals {
            let range = match world.random.random_bool(0.8) {
                true => scene.busy_nodes,
                false => scene.nodes,
            };
            let node = world.random.random_range(0..range);
            match way {
                Way::Lent => world.arrive(node, now_ms),
                Way::EvenParts => {
                    let part = world.quota(now_ms).part(100.0 / scene.nodes as f64);
                    let now = Instant::from_millis(now_ms);
                    let budget = parts[node].get_or_insert_with(|| Budget::new(part, Beginning::Empty, now));
                    world.outcome.asked += 1;
                    match budget.lend(part, 1, now).operations {
                        0 => world.outcome.refused += 1,
                        _ => world.admitted(now_ms),
                    }
                }
            }
        }
    }
    world.outcome.ran.sort_unstable();
    world.outcome
}

/// The most operations that ran in any window, and what the users let pass.
fn worst_window(outcome: &Outcome, quota: Quota, from_ms: u64) -> (u64, u64) {
    let ran: Vec<u64> = outcome
        .ran
        .iter()
        .copied()
        .filter(|ran| *ran >= from_ms)
        .collect();
    let mut first = 0;
    let mut most = 0;
    for (index, ran_ms) in ran.iter().enumerate() {
        while ran_ms - ran[first] >= WINDOW_MS {
            first += 1;
        }
        most = most.max((index - first + 1) as u64);
    }
    let limit = quota.rate_per_s * WINDOW_MS / 1_000 + quota.burst;
    (most, limit * (100 + OVERAGE_PERCENT) / 100 + SLACK)
}

fn calm(asked_percent: u64) -> Scene {
    let quota = Quota {
        rate_per_s: 120,
        burst: 120,
    };
    Scene {
        seed: 1,
        nodes: 59,
        counters: [0, 1],
        quota,
        asked_per_s: quota.rate_per_s * asked_percent / 100,
        busy_nodes: 10,
        run_delay_ms: 200,
        trouble: Trouble::None,
        length_ms: 20_000,
    }
}

/// The load pattern: a tenant at its usual rate (the quota is 1.6 times that), most
/// of whose callers sit at few nodes.
#[test]
fn a_tenant_at_its_usual_rate_is_served_in_full_wherever_its_callers_are() {
    let scene = calm(63);
    let lent = play(&scene, Way::Lent);
    let even = play(&scene, Way::EvenParts);
    println!(
        "refused of {}: {} with loans, {} with even parts",
        lent.asked, lent.refused, even.refused
    );
    assert!(
        lent.refused * 100 <= lent.asked,
        "{} of {}",
        lent.refused,
        lent.asked
    );
    // What the loans are for: an even part of the quota refuses most at busy nodes.
    assert!(
        even.refused * 2 > even.asked,
        "{} of {}",
        even.refused,
        even.asked
    );
}

/// The load pattern: ten times the usual rate, for all of the time.
#[test]
fn a_tenant_far_over_its_quota_gets_nearly_all_of_it_and_no_more() {
    let scene = calm(630);
    let outcome = play(&scene, Way::Lent);
    let (most, limit) = worst_window(&outcome, scene.quota, 0);
    assert!(most <= limit, "{most} in a window, {limit} allowed");
    let owed = scene.quota.rate_per_s * scene.length_ms / 1_000;
    let served = outcome.ran.len() as u64;
    println!("{served} of {owed} that the rate allows");
    assert!(served * 100 >= owed * 95, "{served} of {owed}");
}

#[test]
fn those_who_are_refused_come_back_when_the_rate_has_served_them() {
    let quota = Quota {
        rate_per_s: 10,
        burst: 10,
    };
    let now = Instant::from_millis(1_000);
    let mut budget = Budget::new(quota.whole(), Beginning::FirstLoan, now);
    let first = budget.lend(quota.whole(), 12, now);
    assert_eq!(first.operations, 2);
    // Ten were refused: the rate serves them in a second.
    assert_eq!(first.retry_after_ms, 1_100);
    let later = budget.lend(quota.whole(), 1, Instant::from_millis(1_100));
    assert_eq!(later.operations, 1);
}

#[test]
fn a_loan_that_arrives_late_is_worth_nothing() {
    let mut allowance = Allowance::default();
    let loan = Loan {
        operations: 5,
        retry_after_ms: 100,
    };
    allowance.lent(loan, Instant::from_millis(0), Instant::from_millis(1_500));
    let now = Instant::from_millis(1_500);
    assert_eq!(allowance.admit(now), Admission::AskFirst);
}

/// Found by the property below: each of many nodes that are cut off from those that
/// count had an operation of its own to begin with, more together than a small quota.
#[test]
fn many_nodes_that_are_cut_off_add_little_to_a_small_quota() {
    let quota = Quota {
        rate_per_s: 5,
        burst: 5,
    };
    let scene = Scene {
        seed: 7,
        nodes: 300,
        counters: [0, 1],
        quota,
        asked_per_s: 50,
        busy_nodes: 75,
        run_delay_ms: 0,
        trouble: Trouble::Cut {
            at_ms: 3_283,
            for_ms: 4_724,
            percent: 22,
            sides: Sides::Alone,
        },
        length_ms: 18_000,
    };
    let outcome = play(&scene, Way::Lent);
    let (most, limit) = worst_window(&outcome, quota, 0);
    assert!(most <= limit, "{most} in a window, {limit} allowed");
}

fn cuts() -> impl Strategy<Value = Trouble> {
    let sides = prop_oneof![Just(Sides::Alone), Just(Sides::Together)];
    (3_000_u64..12_000, 500_u64..8_000, 5_usize..70, sides).prop_map(|(at_ms, for_ms, percent, sides)| {
        Trouble::Cut {
            at_ms,
            for_ms,
            percent,
            sides,
        }
    })
}

fn troubles() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        Just(Trouble::None),
        (3_000_u64..12_000, 100_u64..4_000).prop_map(|(at_ms, for_ms)| Trouble::Restart { at_ms, for_ms }),
        (3_000_u64..12_000).prop_map(|at_ms| Trouble::RestartAll { at_ms }),
        cuts(),
        (3_000_u64..12_000, 10_u64..80).prop_map(|(at_ms, percent)| Trouble::Lowered { at_ms, percent }),
    ]
}

/// Two different nodes.
fn two_nodes(indices: &[prop::sample::Index; 2], nodes: usize) -> [usize; 2] {
    let first = indices[0].index(nodes);
    let second = (first + 1 + indices[1].index(nodes - 1)) % nodes;
    [first, second]
}

fn scenes(troubles: impl Strategy<Value = Trouble>) -> impl Strategy<Value = Scene> {
    (
        any::<u64>(),
        prop_oneof![Just(7_usize), Just(59), Just(300)],
        5_u64..250,
        50_u64..1_000,
        0_u64..500,
        troubles,
        any::<[prop::sample::Index; 2]>(),
    )
        .prop_map(
            |(seed, nodes, rate_per_s, asked_percent, run_delay_ms, trouble, counters)| Scene {
                seed,
                nodes,
                counters: two_nodes(&counters, nodes),
                quota: Quota {
                    rate_per_s,
                    burst: rate_per_s,
                },
                asked_per_s: rate_per_s * asked_percent / 100,
                busy_nodes: nodes.div_ceil(4),
                run_delay_ms,
                trouble,
                length_ms: 18_000,
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// In every window no more runs than the users let pass, whatever happens to the
    /// nodes that count.
    #[test]
    fn no_window_holds_more_than_is_let_pass(scene in scenes(troubles())) {
        let outcome = play(&scene, Way::Lent);
        let (quota, from_ms) = match scene.trouble {
            // A lower limit binds one window later; loans and queues are over by then.
            Trouble::Lowered { at_ms, percent } => (
                Quota {
                    rate_per_s: scene.quota.rate_per_s * percent / 100,
                    burst: scene.quota.burst * percent / 100,
                },
                at_ms + WINDOW_MS,
            ),
            _ => (scene.quota, 0),
        };
        let (most, limit) = worst_window(&outcome, quota, from_ms);
        prop_assert!(most <= limit, "{most} in a window, {limit} allowed");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// The load pattern: a tenant at nine times its usual, a share of the nodes cut off
    /// from the rest, nodes that count on either side.
    #[test]
    fn nodes_that_are_cut_off_add_nothing_to_what_the_others_are_lent(scene in scenes(cuts())) {
        let scene = Scene { asked_per_s: scene.quota.rate_per_s * 6, ..scene };
        let outcome = play(&scene, Way::Lent);
        let (most, limit) = worst_window(&outcome, scene.quota, 0);
        prop_assert!(most <= limit, "{most} in a window, {limit} allowed");
    }
}

/// The load pattern: a tenant at its usual rate while two fifths of the nodes are cut off.
/// Refused are 122 of 1,480, at nodes that are cut off, with and without the part that is
/// taken off for them: what the others are lent is more than they use.
#[test]
fn a_tenant_at_its_usual_rate_loses_nothing_at_the_nodes_that_are_not_cut_off() {
    let trouble = Trouble::Cut {
        at_ms: 6_000,
        for_ms: 7_000,
        percent: 40,
        sides: Sides::Alone,
    };
    let scene = Scene {
        busy_nodes: 59,
        trouble,
        ..calm(63)
    };
    let outcome = play(&scene, Way::Lent);
    println!("refused of {}: {}", outcome.asked, outcome.refused);
    assert!(
        outcome.refused * 100 <= outcome.asked * 9,
        "{} of {}",
        outcome.refused,
        outcome.asked
    );
}
