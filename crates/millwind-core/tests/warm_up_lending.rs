//! Tests of the lending of warm-up credits for a cold instance, simulated in virtual time
//! with many nodes, owners that lend, and faults. The tests bound the statements sent within
//! any second.

use millwind_core::Instant;
use millwind_core::lender_lease::{LeaseState, LenderLease, LenderVote, may_vote};
use millwind_core::lending::{Admission, Allowance, Budget, InitialBudget, Loan};
use millwind_core::warm_up::{self, WarmUpLimits, WarmUpTolerance, max_statements_per_s};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The window over which the limit applies, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// One-way latency between two nodes, in milliseconds.
const ONE_WAY_MS: u64 = 20;
/// Timeout of a loan request, in milliseconds.
const LOAN_TIMEOUT_MS: u64 = 150;
const OWNERS: usize = 3;
/// Length of a simulation, in milliseconds.
const SIMULATION_MS: u64 = 12_000;

/// The fault injected into a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// An owner is down for this time and then restarts.
    Restart {
        owner: usize,
        at_ms: u64,
        for_ms: u64,
    },
    /// All nodes restart.
    RestartAll {
        at_ms: u64,
    },
    /// This percentage of the nodes is partitioned from the rest; owners may be on either
    /// side.
    Partition {
        at_ms: u64,
        for_ms: u64,
        percent: usize,
        are_partitioned_nodes_connected: bool,
    },
    /// The first owner reaches no other node, but still uses its own connections.
    LenderPartition {
        at_ms: u64,
        for_ms: u64,
    },
    /// Another node replaces an owner, and each node learns of the change at its own time.
    OwnerChange {
        at_ms: u64,
        lag_ms: u64,
        becomes_first: bool,
    },
    /// Two of the owners do not reach each other.
    OwnerPartition {
        at_ms: u64,
        for_ms: u64,
    },
}

/// Which node lends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LendingMode {
    /// The owner that holds the votes of a majority of the owners.
    Leased,
    /// The first owner that the borrower reaches.
    FirstReachable,
    /// No node lends; each node uses an equal share of the limit.
    EqualShares,
}

#[derive(Debug, Clone)]
struct Scenario {
    seed: u64,
    nodes: usize,
    limits: WarmUpLimits,
    tolerance: WarmUpTolerance,
    /// Statements per second that are meant for the instance.
    requested_per_s: u64,
    /// Longest time between obtaining a credit and sending the statement, in milliseconds.
    send_delay_ms: u64,
    fault: Fault,
}

impl Scenario {
    fn limit(&self) -> u64 {
        max_statements_per_s(self.limits, self.tolerance)
    }
}

struct Node {
    allowance: Allowance,
    waiting: u32,
    /// The pending answer: when it arrives, when it was requested, and the loan.
    pending: Option<(u64, u64, Loan)>,
    vote: LenderVote,
    lease: LenderLease,
    budget: Option<Budget>,
    /// When the node learnt that it is an owner.
    owner_since: Option<u64>,
    share: Option<Budget>,
    /// The owner that lent last, which is asked first.
    lender: Option<usize>,
}

impl Node {
    fn new(owner_since: Option<u64>) -> Self {
        Node {
            allowance: Allowance::new(warm_up::BORROWING_SETTINGS),
            waiting: 0,
            pending: None,
            vote: LenderVote::default(),
            lease: LenderLease::default(),
            budget: None,
            owner_since,
            share: None,
            lender: None,
        }
    }
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    mode: LendingMode,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    /// When each node learns of a change of the owners.
    owner_change_seen_ms: Vec<u64>,
    sent: Vec<u64>,
    requested: u64,
}

impl Simulation<'_> {
    fn owners(&self, node: usize, now_ms: u64) -> [usize; OWNERS] {
        match self.scenario.fault {
            Fault::OwnerChange { becomes_first, .. } if now_ms >= self.owner_change_seen_ms[node] => {
                match becomes_first {
                    true => [3, 0, 1],
                    false => [0, 1, 3],
                }
            }
            _ => [0, 1, 2],
        }
    }

    fn is_down(&self, node: usize, now_ms: u64) -> bool {
        matches!(self.scenario.fault, Fault::Restart { owner, at_ms, for_ms }
            if owner == node && (at_ms..at_ms + for_ms).contains(&now_ms))
    }

    fn are_connected(&self, one: usize, other: usize, now_ms: u64) -> bool {
        if one == other {
            return true;
        }
        match self.scenario.fault {
            Fault::Partition {
                at_ms,
                for_ms,
                percent,
                are_partitioned_nodes_connected,
            } if (at_ms..at_ms + for_ms).contains(&now_ms) => {
                let is_partitioned =
                    |node: usize| node * 37 % self.scenario.nodes * 100 < percent * self.scenario.nodes;
                match (is_partitioned(one), is_partitioned(other)) {
                    (false, false) => true,
                    (true, true) => are_partitioned_nodes_connected,
                    _ => false,
                }
            }
            Fault::LenderPartition { at_ms, for_ms } if (at_ms..at_ms + for_ms).contains(&now_ms) => {
                one != 0 && other != 0
            }
            Fault::OwnerPartition { at_ms, for_ms } if (at_ms..at_ms + for_ms).contains(&now_ms) => {
                one.min(other) != 0 || one.max(other) != 1
            }
            _ => true,
        }
    }

    /// Returns whether `owner` votes for `lender`.
    fn grants_vote(&mut self, owner: usize, lender: usize, now_ms: u64) -> bool {
        let now = Instant::from_millis(now_ms);
        let since = self.nodes[owner].owner_since;
        let may_vote = since.is_some_and(|since| may_vote(Instant::from_millis(since), now));
        may_vote && self.nodes[owner].vote.grant(&lender.to_string(), now)
    }

    /// Returns when `lender` lends and the loan, or `None` without a lease.
    fn lend(&mut self, lender: usize, wanted: u32, now_ms: u64) -> Option<(u64, Loan)> {
        let supply = warm_up::credit_supply(self.scenario.limits, self.scenario.tolerance);
        let mut now_ms = now_ms;
        if self.mode == LendingMode::Leased && !self.ensure_lease(lender, &mut now_ms) {
            return None;
        }
        let now = Instant::from_millis(now_ms);
        let budget = self.nodes[lender]
            .budget
            .get_or_insert_with(|| Budget::new(supply, InitialBudget::Empty, now));
        Some((now_ms, budget.lend(supply, wanted, now)))
    }

    fn ensure_lease(&mut self, lender: usize, now_ms: &mut u64) -> bool {
        let state = self.nodes[lender].lease.state(Instant::from_millis(*now_ms));
        if state == LeaseState::Held {
            return true;
        }
        let asked = Instant::from_millis(*now_ms);
        if !self.nodes[lender].lease.may_ask(asked) {
            return state == LeaseState::Renewing;
        }
        let owners = self.owners(lender, *now_ms);
        let mut votes = 0;
        for owner in owners.into_iter().filter(|owner| *owner != lender) {
            let is_reached = self.are_connected(lender, owner, *now_ms) && !self.is_down(owner, *now_ms);
            if is_reached && self.grants_vote(owner, lender, *now_ms + ONE_WAY_MS) {
                votes += 1;
            }
        }
        let answered_ms = *now_ms + 2 * ONE_WAY_MS;
        votes += usize::from(self.grants_vote(lender, lender, answered_ms));
        if state == LeaseState::NotHeld {
            *now_ms = answered_ms;
        }
        let now = Instant::from_millis(answered_ms);
        let rank = owners.iter().position(|owner| *owner == lender).unwrap_or(OWNERS);
        if self.nodes[lender]
            .lease
            .record_votes(votes, OWNERS, rank, asked, now)
        {
            self.nodes[lender].budget = None;
        }
        self.nodes[lender].lease.state(now) != LeaseState::NotHeld
    }

    /// Returns when the answer to a loan request of `node` arrives, when the owner that lent was
    /// asked, and the loan.
    fn request_loan(&mut self, node: usize, wanted: u32, now_ms: u64) -> (u64, u64, Loan) {
        let mut asked_ms = now_ms;
        let mut owners = self.owners(node, now_ms);
        if let Some(lender) = self.nodes[node].lender {
            owners.sort_by_key(|owner| *owner != lender);
        }
        for owner in owners {
            let one_way = if owner == node { 0 } else { ONE_WAY_MS };
            if !self.are_connected(node, owner, asked_ms) || self.is_down(owner, asked_ms) {
                asked_ms += LOAN_TIMEOUT_MS;
                continue;
            }
            if let Some((lent_ms, loan)) = self.lend(owner, wanted, asked_ms + one_way) {
                self.nodes[node].lender = Some(owner);
                return (lent_ms + one_way, asked_ms, loan);
            }
            asked_ms += 2 * one_way;
        }
        let denied = Loan {
            operations: 0,
            retry_after_ms: 1_000,
        };
        (asked_ms, asked_ms, denied)
    }

    fn send(&mut self, asked_ms: u64, now_ms: u64) {
        let sent_ms = now_ms + self.rng.random_range(0..=self.scenario.send_delay_ms);
        // An expired credit is not used.
        if sent_ms < asked_ms + warm_up::CREDIT_LIFETIME_MS {
            self.sent.push(sent_ms);
        }
    }

    fn arrive(&mut self, node: usize, now_ms: u64) {
        self.requested += 1;
        if self.mode == LendingMode::EqualShares {
            return self.use_equal_share(node, now_ms);
        }
        self.nodes[node]
            .allowance
            .count_request(Instant::from_millis(now_ms));
        self.nodes[node].waiting += 1;
        self.serve(node, now_ms, now_ms);
    }

    fn use_equal_share(&mut self, node: usize, now_ms: u64) {
        let whole = warm_up::credit_supply(self.scenario.limits, self.scenario.tolerance);
        let share = millwind_core::lending::Supply {
            rate_per_s: whole.rate_per_s / self.scenario.nodes as f64,
            ..whole
        };
        let now = Instant::from_millis(now_ms);
        let budget = self.nodes[node]
            .share
            .get_or_insert_with(|| Budget::new(share, InitialBudget::Full, now));
        if budget.lend(share, 1, now).operations == 1 {
            self.sent.push(now_ms);
        }
    }

    fn serve(&mut self, node: usize, asked_ms: u64, now_ms: u64) {
        let now = Instant::from_millis(now_ms);
        while self.nodes[node].waiting > 0 {
            match self.nodes[node].allowance.admit(now) {
                Admission::Admitted => self.send(asked_ms, now_ms),
                Admission::Refused { .. } => {}
                Admission::LoanRequired => break,
            }
            self.nodes[node].waiting -= 1;
        }
        let waiting = self.nodes[node].waiting;
        if waiting > 0 && self.nodes[node].pending.is_none() {
            let wanted = self.nodes[node].allowance.operations_to_request(waiting, now);
            let (answered_ms, asked_ms, loan) = self.request_loan(node, wanted, now_ms);
            self.nodes[node].pending = Some((answered_ms, asked_ms, loan));
        }
    }

    fn receive_answers(&mut self, now_ms: u64) {
        for node in 0..self.nodes.len() {
            let due = self.nodes[node].pending.filter(|(at_ms, ..)| *at_ms <= now_ms);
            let Some((_, asked_ms, loan)) = due else { continue };
            self.nodes[node].pending = None;
            let (asked, now) = (Instant::from_millis(asked_ms), Instant::from_millis(now_ms));
            self.nodes[node].allowance.record_loan(loan, asked, now);
            self.serve(node, asked_ms, now_ms);
        }
    }

    fn apply_fault(&mut self, now_ms: u64) {
        match self.scenario.fault {
            Fault::Restart { owner, at_ms, for_ms } if now_ms == at_ms + for_ms => {
                self.nodes[owner] = Node::new(Some(now_ms));
            }
            Fault::RestartAll { at_ms } if now_ms == at_ms => {
                for (index, node) in self.nodes.iter_mut().enumerate() {
                    *node = Node::new((index < OWNERS).then_some(now_ms));
                }
            }
            Fault::OwnerChange { .. } if now_ms == self.owner_change_seen_ms[3] => {
                self.nodes[3].owner_since = Some(now_ms);
            }
            _ => {}
        }
    }
}

fn simulate(scenario: &Scenario, mode: LendingMode) -> Simulation<'_> {
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
    let owner_change_seen_ms = (0..scenario.nodes)
        .map(|_| match scenario.fault {
            Fault::OwnerChange { at_ms, lag_ms, .. } => at_ms + rng.random_range(0..=lag_ms),
            _ => 0,
        })
        .collect();
    let mut simulation = Simulation {
        scenario,
        mode,
        rng,
        nodes: (0..scenario.nodes)
            .map(|node| Node::new((node < OWNERS).then_some(0)))
            .collect(),
        owner_change_seen_ms,
        sent: Vec::new(),
        requested: 0,
    };
    for now_ms in 0..SIMULATION_MS {
        simulation.apply_fault(now_ms);
        simulation.receive_answers(now_ms);
        let mean = scenario.requested_per_s as f64 / 1_000.0;
        let arrivals = mean as u64 + u64::from(simulation.rng.random_bool(mean.fract()));
        for _ in 0..arrivals {
            // Most statements arrive at owners.
            let node = match simulation.rng.random_bool(0.7) {
                true => simulation.rng.random_range(0..OWNERS),
                false => simulation.rng.random_range(0..scenario.nodes),
            };
            if !simulation.is_down(node, now_ms) {
                simulation.arrive(node, now_ms);
            }
        }
    }
    simulation.sent.sort_unstable();
    simulation
}

/// Returns the largest number of statements sent within any one second.
fn max_per_second(sent: &[u64]) -> u64 {
    let mut first = 0;
    let mut highest = 0;
    for (index, sent_ms) in sent.iter().enumerate() {
        while sent_ms - sent[first] > WINDOW_MS {
            first += 1;
        }
        highest = highest.max((index - first + 1) as u64);
    }
    highest
}

fn overloaded_scenario(fault: Fault) -> Scenario {
    Scenario {
        seed: 1,
        nodes: 76,
        limits: WarmUpLimits {
            duration_ms: 8_000,
            statements_per_s: 12.0,
        },
        tolerance: WarmUpTolerance {
            overage_percent: 150,
            slack: 5,
        },
        requested_per_s: 400,
        send_delay_ms: 20,
        fault,
    }
}

/// An instance that has just started, under much more load than its limit.
#[test]
fn an_overloaded_instance_gets_most_of_its_limit_and_no_more() {
    let scenario = overloaded_scenario(Fault::None);
    let outcome = simulate(&scenario, LendingMode::Leased);
    let worst = max_per_second(&outcome.sent);
    assert!(worst <= scenario.limit(), "{worst} of {}", scenario.limit());
    // The owners do not vote during the first second.
    let allowed = scenario.limit() * (SIMULATION_MS - 1_000) / 1_000;
    let sent = outcome.sent.len() as u64;
    println!(
        "{sent} statements sent of {allowed} allowed, at most {worst} in a second with a limit of {}",
        scenario.limit()
    );
    assert!(sent * 100 >= allowed * 65, "{sent} of {allowed}");
}

#[test]
fn equal_shares_per_node_exceed_the_limit() {
    let scenario = overloaded_scenario(Fault::None);
    let worst = max_per_second(&simulate(&scenario, LendingMode::EqualShares).sent);
    assert!(worst > scenario.limit(), "{worst}");
}

/// Without a majority vote, a partitioned owner lends to itself while another owner lends to
/// all other nodes.
#[test]
fn without_a_majority_two_owners_lend_at_once() {
    let scenario = overloaded_scenario(Fault::LenderPartition {
        at_ms: 4_000,
        for_ms: 4_000,
    });
    let worst = max_per_second(&simulate(&scenario, LendingMode::FirstReachable).sent);
    assert!(worst > scenario.limit(), "{worst}");
    let worst = max_per_second(&simulate(&scenario, LendingMode::Leased).sent);
    assert!(worst <= scenario.limit(), "{worst}");
}

/// The owner that lends fails permanently.
#[test]
fn another_owner_lends_when_the_lender_fails() {
    let scenario = overloaded_scenario(Fault::Restart {
        owner: 0,
        at_ms: 3_000,
        for_ms: SIMULATION_MS,
    });
    let outcome = simulate(&scenario, LendingMode::Leased);
    assert!(max_per_second(&outcome.sent) <= scenario.limit());
    let later = outcome.sent.iter().filter(|sent| **sent >= 6_000).count();
    println!("{later} sent in the last 6 s, after the lender failed");
    assert!(later >= 60, "{later} in the last 6 s");
}

/// Two owners that hold each other's votes ask again one after the other, once these votes
/// have expired.
#[test]
fn owners_that_hold_each_others_votes_do_not_block_forever() {
    let start = Instant::from_millis(5_000);
    let mut leases = [LenderLease::default(), LenderLease::default()];
    let mut votes = [LenderVote::default(), LenderVote::default()];
    assert!(votes[0].grant("second", start) && votes[1].grant("first", start));
    for (rank, lease) in leases.iter_mut().enumerate() {
        assert!(!lease.record_votes(1, OWNERS, rank, start, start));
        assert!(!lease.may_ask(start.plus_millis(500)));
    }
    let later = start.plus_millis(1_050);
    assert!(leases[0].may_ask(later) && !leases[1].may_ask(later));
    assert!(votes[1].grant("first", later) && votes[0].grant("first", later));
    assert!(leases[0].record_votes(2, OWNERS, 0, later, later));
}

fn faults() -> impl Strategy<Value = Fault> {
    let at = 2_000_u64..8_000;
    prop_oneof![
        Just(Fault::None),
        (0..OWNERS, at.clone(), 10_u64..4_000).prop_map(|(owner, at_ms, for_ms)| Fault::Restart {
            owner,
            at_ms,
            for_ms
        }),
        at.clone().prop_map(|at_ms| Fault::RestartAll { at_ms }),
        (at.clone(), 100_u64..5_000, 2_usize..70, any::<bool>()).prop_map(
            |(at_ms, for_ms, percent, are_partitioned_nodes_connected)| Fault::Partition {
                at_ms,
                for_ms,
                percent,
                are_partitioned_nodes_connected
            }
        ),
        (at.clone(), 100_u64..5_000).prop_map(|(at_ms, for_ms)| Fault::LenderPartition { at_ms, for_ms }),
        (at.clone(), 0_u64..5_000, any::<bool>()).prop_map(|(at_ms, lag_ms, becomes_first)| {
            Fault::OwnerChange {
                at_ms,
                lag_ms,
                becomes_first,
            }
        }),
        (at, 100_u64..5_000).prop_map(|(at_ms, for_ms)| Fault::OwnerPartition { at_ms, for_ms }),
    ]
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    (
        any::<u64>(),
        prop_oneof![Just(5_usize), Just(76), Just(300)],
        1_u64..60,
        prop_oneof![Just((150_u64, 5_u64)), Just((100, 0)), Just((120, 2))],
        10_u64..800,
        0_u64..400,
        faults(),
    )
        .prop_map(
            |(seed, nodes, per_s, (overage_percent, slack), requested_per_s, send_delay_ms, fault)| {
                Scenario {
                    seed,
                    nodes,
                    limits: WarmUpLimits {
                        duration_ms: 20_000,
                        statements_per_s: per_s as f64,
                    },
                    tolerance: WarmUpTolerance {
                        overage_percent,
                        slack,
                    },
                    requested_per_s,
                    send_delay_ms,
                    fault,
                }
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// No second contains more statements than the limit, whatever happens to the owners.
    #[test]
    fn no_second_exceeds_the_limit(scenario in scenarios()) {
        let worst = max_per_second(&simulate(&scenario, LendingMode::Leased).sent);
        prop_assert!(worst <= scenario.limit(), "{worst} in a second, {} allowed", scenario.limit());
    }
}
