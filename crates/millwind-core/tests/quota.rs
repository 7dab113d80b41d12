//! Tests of tenant quotas, simulated in virtual time with many nodes, two nodes that may lend, and
//! faults.

use std::collections::BTreeMap;

use millwind_core::Instant;
use millwind_core::quota::{
    Admission, Allowance, Budget, InitialBudget, LenderReach, Loan, PeerLender, Quota,
    UNREACHED_LENDER_PERCENT, lendable_percent,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The window over which the limit applies, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// Tolerated excess over the quota: a percentage, and a number of operations.
const OVERAGE_PERCENT: u64 = 10;
const SLACK: u64 = 20;
/// One-way latency between two nodes, in milliseconds.
const ONE_WAY_MS: u64 = 20;
/// How many nodes a lender probes to determine its reach, and how often, in milliseconds.
const PROBED_NODES: usize = 16;
const PROBE_INTERVAL_MS: u64 = 1_000;
/// Timeout of a loan request, in milliseconds.
const LOAN_TIMEOUT_MS: u64 = 200;

/// The fault injected into a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The primary lender is down for this time and then restarts.
    Restart {
        at_ms: u64,
        for_ms: u64,
    },
    /// All nodes restart.
    RestartAll {
        at_ms: u64,
    },
    /// This percentage of the nodes is partitioned from the rest; lenders may be on either
    /// side.
    Partition {
        at_ms: u64,
        for_ms: u64,
        percent: usize,
        links: PartitionLinks,
    },
    /// The quota is lowered to this percentage.
    Lowered {
        at_ms: u64,
        percent: u64,
    },
}

/// Which nodes a partitioned node still reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PartitionLinks {
    /// No other node.
    Isolated,
    /// The other partitioned nodes.
    Connected,
}

/// How a tenant's operations are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AdmissionMode {
    /// One node lends to the others.
    Loans,
    /// Each node has an equal share of the quota.
    EqualShares,
}

#[derive(Debug, Clone)]
struct Scenario {
    seed: u64,
    nodes: usize,
    /// The primary lender and the backup lender.
    lenders: [usize; 2],
    quota: Quota,
    /// Operations requested per second.
    requested_per_s: u64,
    /// Number of nodes at which most operations are requested.
    busy_nodes: usize,
    /// Longest time between admission and execution of an operation, in milliseconds.
    run_delay_ms: u64,
    fault: Fault,
    duration_ms: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    /// When operations ran, in milliseconds.
    ran: Vec<u64>,
    requested: u64,
    refused: u64,
}

struct Node {
    allowance: Allowance,
    fallback_budget: Option<Budget>,
    /// The pending answer: when it arrives, when it was requested, and the loan.
    pending: Option<(u64, u64, Loan)>,
    waiting: u32,
}

impl Node {
    fn new() -> Self {
        Node {
            allowance: Allowance::default(),
            fallback_budget: None,
            pending: None,
            waiting: 0,
        }
    }
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    /// Budgets of the primary and the backup lender, by their index.
    budgets: BTreeMap<usize, Budget>,
    /// What the two lenders know of the other nodes.
    reach: [LenderReach; 2],
    outcome: Outcome,
}

impl Simulation<'_> {
    fn quota(&self, now_ms: u64) -> Quota {
        match self.scenario.fault {
            Fault::Lowered { at_ms, percent } if now_ms >= at_ms => Quota {
                rate_per_s: self.scenario.quota.rate_per_s * percent / 100,
                burst: self.scenario.quota.burst * percent / 100,
            },
            _ => self.scenario.quota,
        }
    }

    fn is_down(&self, lender: usize, now_ms: u64) -> bool {
        match self.scenario.fault {
            Fault::Restart { at_ms, for_ms } => lender == 0 && (at_ms..at_ms + for_ms).contains(&now_ms),
            _ => false,
        }
    }

    /// Returns whether two nodes reach each other.
    fn are_connected(&self, one: usize, other: usize, now_ms: u64) -> bool {
        let Fault::Partition {
            at_ms,
            for_ms,
            percent,
            links,
        } = self.scenario.fault
        else {
            return true;
        };
        if one == other || !(at_ms..at_ms + for_ms).contains(&now_ms) {
            return true;
        }
        // The multiplier distributes partitioned nodes over busy and idle nodes.
        let is_partitioned =
            |node: usize| node * 37 % self.scenario.nodes * 100 < percent * self.scenario.nodes;
        match (is_partitioned(one), is_partitioned(other)) {
            (false, false) => true,
            (true, true) => links == PartitionLinks::Connected,
            _ => false,
        }
    }

    /// Updates which nodes the two lenders reach.
    fn update_reach(&mut self, now_ms: u64) {
        if !now_ms.is_multiple_of(PROBE_INTERVAL_MS) {
            return;
        }
        for index in 0..2 {
            let [own, other] = [self.scenario.lenders[index], self.scenario.lenders[1 - index]];
            let probed: Vec<_> = (1..=PROBED_NODES.min(self.scenario.nodes - 1))
                .map(|step| {
                    (own + step * self.scenario.nodes / (PROBED_NODES + 1).min(self.scenario.nodes))
                        % self.scenario.nodes
                })
                .collect();
            let reached = probed
                .iter()
                .filter(|node| self.are_connected(own, **node, now_ms))
                .count();
            let is_terminated = self.is_down(1 - index, now_ms);
            let is_reachable = self.are_connected(own, other, now_ms);
            self.reach[index] = LenderReach {
                percent: ((reached + 1) * 100 / (probed.len() + 1)) as u32,
                other: match (is_terminated, is_reachable) {
                    (true, _) => PeerLender::Terminated,
                    (false, true) => PeerLender::Reachable,
                    (false, false) => PeerLender::Unresponsive,
                },
            };
        }
    }

    /// Returns when the answer to a loan request of `node` arrives, and the loan.
    fn request_loan(&mut self, node: usize, wanted: u32, now_ms: u64) -> (u64, Loan) {
        let quota = self.quota(now_ms);
        let mut asked_ms = now_ms;
        for lender in 0..2 {
            let is_reached = self.are_connected(node, self.scenario.lenders[lender], asked_ms);
            if self.is_down(lender, asked_ms) || !is_reached {
                asked_ms += LOAN_TIMEOUT_MS;
                continue;
            }
            let arrived = Instant::from_millis(asked_ms + ONE_WAY_MS);
            let percent = lendable_percent(lender == 0, self.reach[lender]);
            let share = quota.share(f64::from(percent));
            self.nodes[node].fallback_budget = None;
            let budget = self
                .budgets
                .entry(lender)
                .or_insert_with(|| Budget::new(share, InitialBudget::Reduced, arrived));
            return (asked_ms + 2 * ONE_WAY_MS, budget.lend(share, wanted, arrived));
        }
        let percent = f64::from(UNREACHED_LENDER_PERCENT) / self.scenario.nodes as f64;
        let share = quota.share(percent);
        let now = Instant::from_millis(asked_ms);
        let budget = self.nodes[node]
            .fallback_budget
            .get_or_insert_with(|| Budget::new(share, InitialBudget::Empty, now));
        (asked_ms, budget.lend(share, wanted, now))
    }

    fn record_run(&mut self, now_ms: u64) {
        let delay = self.rng.random_range(0..=self.scenario.run_delay_ms);
        self.outcome.ran.push(now_ms + delay);
    }

    /// A caller requests one operation at `node`.
    fn arrive(&mut self, node: usize, now_ms: u64) {
        self.outcome.requested += 1;
        self.nodes[node]
            .allowance
            .count_request(Instant::from_millis(now_ms));
        self.nodes[node].waiting += 1;
        self.serve(node, now_ms);
    }

    /// Serves the callers that wait at a node, as far as its loans allow, and borrows if needed.
    fn serve(&mut self, node: usize, now_ms: u64) {
        let now = Instant::from_millis(now_ms);
        while self.nodes[node].waiting > 0 {
            match self.nodes[node].allowance.admit(now) {
                Admission::Admitted => self.record_run(now_ms),
                Admission::Refused { .. } => self.outcome.refused += 1,
                Admission::LoanRequired => break,
            }
            self.nodes[node].waiting -= 1;
        }
        let waiting = self.nodes[node].waiting;
        let is_needed = waiting > 0 || self.nodes[node].allowance.should_borrow_ahead(now);
        if is_needed && self.nodes[node].pending.is_none() {
            let wanted = self.nodes[node].allowance.operations_to_request(waiting, now);
            let (answered_ms, loan) = self.request_loan(node, wanted, now_ms);
            self.nodes[node].pending = Some((answered_ms, now_ms, loan));
        }
    }

    fn receive_answers(&mut self, now_ms: u64) {
        for node in 0..self.nodes.len() {
            let due = self.nodes[node].pending.filter(|(at_ms, ..)| *at_ms <= now_ms);
            let Some((_, asked_ms, loan)) = due else { continue };
            self.nodes[node].pending = None;
            let (asked, now) = (Instant::from_millis(asked_ms), Instant::from_millis(now_ms));
            self.nodes[node].allowance.record_loan(loan, asked, now);
            self.serve(node, now_ms);
        }
    }

    fn apply_fault(&mut self, now_ms: u64) {
        match self.scenario.fault {
            Fault::Restart { at_ms, for_ms } if now_ms == at_ms + for_ms => {
                self.budgets.remove(&0);
            }
            Fault::RestartAll { at_ms } if now_ms == at_ms => {
                self.budgets.clear();
                self.nodes.iter_mut().for_each(|node| *node = Node::new());
            }
            _ => {}
        }
    }
}

fn simulate(scenario: &Scenario, mode: AdmissionMode) -> Outcome {
    let mut simulation = Simulation {
        scenario,
        rng: ChaCha8Rng::seed_from_u64(scenario.seed),
        nodes: (0..scenario.nodes).map(|_| Node::new()).collect(),
        budgets: BTreeMap::new(),
        reach: [LenderReach {
            percent: 100,
            other: PeerLender::Reachable,
        }; 2],
        outcome: Outcome::default(),
    };
    let mut share_budgets: Vec<Option<Budget>> = (0..scenario.nodes).map(|_| None).collect();
    for now_ms in 0..scenario.duration_ms {
        simulation.apply_fault(now_ms);
        simulation.update_reach(now_ms);
        simulation.receive_answers(now_ms);
        let mean = scenario.requested_per_s as f64 / 1_000.0;
        let mut arrivals = mean as u64;
        arrivals += u64::from(simulation.rng.random_bool(mean.fract()));
        for _ in 0..arrivals {
            let range = match simulation.rng.random_bool(0.8) {
                true => scenario.busy_nodes,
                false => scenario.nodes,
            };
            let node = simulation.rng.random_range(0..range);
            match mode {
                AdmissionMode::Loans => simulation.arrive(node, now_ms),
                AdmissionMode::EqualShares => {
                    let share = simulation.quota(now_ms).share(100.0 / scenario.nodes as f64);
                    let now = Instant::from_millis(now_ms);
                    let budget = share_budgets[node]
                        .get_or_insert_with(|| Budget::new(share, InitialBudget::Empty, now));
                    simulation.outcome.requested += 1;
                    match budget.lend(share, 1, now).operations {
                        0 => simulation.outcome.refused += 1,
                        _ => simulation.record_run(now_ms),
                    }
                }
            }
        }
    }
    simulation.outcome.ran.sort_unstable();
    simulation.outcome
}

/// Returns the most operations that ran in any window from `from_ms` on, and the limit.
fn max_per_window(outcome: &Outcome, quota: Quota, from_ms: u64) -> (u64, u64) {
    let ran: Vec<u64> = outcome
        .ran
        .iter()
        .copied()
        .filter(|ran| *ran >= from_ms)
        .collect();
    let mut first = 0;
    let mut highest = 0;
    for (index, ran_ms) in ran.iter().enumerate() {
        while ran_ms - ran[first] >= WINDOW_MS {
            first += 1;
        }
        highest = highest.max((index - first + 1) as u64);
    }
    let limit = quota.rate_per_s * WINDOW_MS / 1_000 + quota.burst;
    (highest, limit * (100 + OVERAGE_PERCENT) / 100 + SLACK)
}

fn scenario_at_rate(requested_percent: u64) -> Scenario {
    let quota = Quota {
        rate_per_s: 120,
        burst: 120,
    };
    Scenario {
        seed: 1,
        nodes: 59,
        lenders: [0, 1],
        quota,
        requested_per_s: quota.rate_per_s * requested_percent / 100,
        busy_nodes: 10,
        run_delay_ms: 200,
        fault: Fault::None,
        duration_ms: 20_000,
    }
}

/// A tenant at its usual rate, 1/1.6 of the quota, with most of its callers at a few nodes.
#[test]
fn a_tenant_at_its_usual_rate_is_served_in_full_wherever_its_callers_are() {
    let scenario = scenario_at_rate(63);
    let lent = simulate(&scenario, AdmissionMode::Loans);
    let equal = simulate(&scenario, AdmissionMode::EqualShares);
    println!(
        "refused of {}: {} with loans, {} with equal shares",
        lent.requested, lent.refused, equal.refused
    );
    assert!(
        lent.refused * 100 <= lent.requested,
        "{} of {}",
        lent.refused,
        lent.requested
    );
    // Equal shares of the quota refuse most operations at busy nodes.
    assert!(
        equal.refused * 2 > equal.requested,
        "{} of {}",
        equal.refused,
        equal.requested
    );
}

/// A tenant at ten times its usual rate throughout.
#[test]
fn a_tenant_far_over_its_quota_gets_nearly_all_of_it_and_no_more() {
    let scenario = scenario_at_rate(630);
    let outcome = simulate(&scenario, AdmissionMode::Loans);
    let (highest, limit) = max_per_window(&outcome, scenario.quota, 0);
    assert!(highest <= limit, "{highest} in a window, {limit} allowed");
    let allowed = scenario.quota.rate_per_s * scenario.duration_ms / 1_000;
    let served = outcome.ran.len() as u64;
    println!("{served} of {allowed} that the rate allows");
    assert!(served * 100 >= allowed * 95, "{served} of {allowed}");
}

#[test]
fn the_retry_delay_covers_all_refused_operations() {
    let quota = Quota {
        rate_per_s: 10,
        burst: 10,
    };
    let now = Instant::from_millis(1_000);
    let mut budget = Budget::new(quota.full(), InitialBudget::Reduced, now);
    let first = budget.lend(quota.full(), 12, now);
    assert_eq!(first.operations, 2);
    // The refill rate serves the ten refused operations in a second.
    assert_eq!(first.retry_after_ms, 1_100);
    let later = budget.lend(quota.full(), 1, Instant::from_millis(1_100));
    assert_eq!(later.operations, 1);
}

#[test]
fn a_loan_that_arrives_after_it_expired_admits_nothing() {
    let mut allowance = Allowance::default();
    let loan = Loan {
        operations: 5,
        retry_after_ms: 100,
    };
    allowance.record_loan(loan, Instant::from_millis(0), Instant::from_millis(1_500));
    let now = Instant::from_millis(1_500);
    assert_eq!(allowance.admit(now), Admission::LoanRequired);
}

/// Nodes that reach no lender must start with an empty budget: one operation on each of many
/// nodes exceeds a small quota.
#[test]
fn many_partitioned_nodes_do_not_exceed_a_small_quota() {
    let quota = Quota {
        rate_per_s: 5,
        burst: 5,
    };
    let scenario = Scenario {
        seed: 7,
        nodes: 300,
        lenders: [0, 1],
        quota,
        requested_per_s: 50,
        busy_nodes: 75,
        run_delay_ms: 0,
        fault: Fault::Partition {
            at_ms: 3_283,
            for_ms: 4_724,
            percent: 22,
            links: PartitionLinks::Isolated,
        },
        duration_ms: 18_000,
    };
    let outcome = simulate(&scenario, AdmissionMode::Loans);
    let (highest, limit) = max_per_window(&outcome, quota, 0);
    assert!(highest <= limit, "{highest} in a window, {limit} allowed");
}

fn partitions() -> impl Strategy<Value = Fault> {
    let links = prop_oneof![Just(PartitionLinks::Isolated), Just(PartitionLinks::Connected)];
    (3_000_u64..12_000, 500_u64..8_000, 5_usize..70, links).prop_map(|(at_ms, for_ms, percent, links)| {
        Fault::Partition {
            at_ms,
            for_ms,
            percent,
            links,
        }
    })
}

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::None),
        (3_000_u64..12_000, 100_u64..4_000).prop_map(|(at_ms, for_ms)| Fault::Restart { at_ms, for_ms }),
        (3_000_u64..12_000).prop_map(|at_ms| Fault::RestartAll { at_ms }),
        partitions(),
        (3_000_u64..12_000, 10_u64..80).prop_map(|(at_ms, percent)| Fault::Lowered { at_ms, percent }),
    ]
}

/// Returns two different nodes.
fn two_nodes(indices: &[prop::sample::Index; 2], nodes: usize) -> [usize; 2] {
    let first = indices[0].index(nodes);
    let second = (first + 1 + indices[1].index(nodes - 1)) % nodes;
    [first, second]
}

fn scenarios(faults: impl Strategy<Value = Fault>) -> impl Strategy<Value = Scenario> {
    (
        any::<u64>(),
        prop_oneof![Just(7_usize), Just(59), Just(300)],
        5_u64..250,
        50_u64..1_000,
        0_u64..500,
        faults,
        any::<[prop::sample::Index; 2]>(),
    )
        .prop_map(
            |(seed, nodes, rate_per_s, requested_percent, run_delay_ms, fault, lenders)| Scenario {
                seed,
                nodes,
                lenders: two_nodes(&lenders, nodes),
                quota: Quota {
                    rate_per_s,
                    burst: rate_per_s,
                },
                requested_per_s: rate_per_s * requested_percent / 100,
                busy_nodes: nodes.div_ceil(4),
                run_delay_ms,
                fault,
                duration_ms: 18_000,
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// No window contains more operations than the limit, whatever happens to the lenders.
    #[test]
    fn no_window_exceeds_the_limit(scenario in scenarios(faults())) {
        let outcome = simulate(&scenario, AdmissionMode::Loans);
        let (quota, from_ms) = match scenario.fault {
            // A lower quota applies one window later, when earlier loans and queues have ended.
            Fault::Lowered { at_ms, percent } => (
                Quota {
                    rate_per_s: scenario.quota.rate_per_s * percent / 100,
                    burst: scenario.quota.burst * percent / 100,
                },
                at_ms + WINDOW_MS,
            ),
            _ => (scenario.quota, 0),
        };
        let (highest, limit) = max_per_window(&outcome, quota, from_ms);
        prop_assert!(highest <= limit, "{highest} in a window, {limit} allowed");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// A tenant far above its quota while part of the nodes is partitioned, with lenders on
    /// either side.
    #[test]
    fn partitioned_nodes_do_not_push_a_window_over_the_limit(scenario in scenarios(partitions())) {
        let scenario = Scenario { requested_per_s: scenario.quota.rate_per_s * 6, ..scenario };
        let outcome = simulate(&scenario, AdmissionMode::Loans);
        let (highest, limit) = max_per_window(&outcome, scenario.quota, 0);
        prop_assert!(highest <= limit, "{highest} in a window, {limit} allowed");
    }
}

/// A tenant at its usual rate while 40 % of the nodes are partitioned: at most 9 % of the
/// operations are refused.
#[test]
fn a_partition_refuses_few_operations_of_a_tenant_at_its_usual_rate() {
    let fault = Fault::Partition {
        at_ms: 6_000,
        for_ms: 7_000,
        percent: 40,
        links: PartitionLinks::Isolated,
    };
    let scenario = Scenario {
        busy_nodes: 59,
        fault,
        ..scenario_at_rate(63)
    };
    let outcome = simulate(&scenario, AdmissionMode::Loans);
    println!("refused of {}: {}", outcome.requested, outcome.refused);
    assert!(
        outcome.refused * 100 <= outcome.requested * 9,
        "{} of {}",
        outcome.refused,
        outcome.requested
    );
}
