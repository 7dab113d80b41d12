//! Tests of the selection of the request that receives a free connection.

use std::collections::VecDeque;

use millwind_core::connection_queue::{WaitingRequest, select_next};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn waiting(rank: u8, is_same_user: bool, overtaken_count: u8) -> WaitingRequest {
    WaitingRequest {
        rank,
        is_same_user,
        overtaken_count,
    }
}

#[test]
fn same_user_is_preferred_within_rank() {
    let queue = [
        waiting(1, false, 0),
        waiting(1, false, 0),
        waiting(1, true, 0),
        waiting(2, true, 0),
    ];
    assert_eq!(select_next(queue), Some(2));
    assert_eq!(select_next([queue[0], queue[3]]), Some(0));
    assert_eq!(select_next([]), None);
}

#[test]
fn head_of_queue_is_overtaken_a_limited_number_of_times() {
    let queue = [waiting(1, false, 4), waiting(1, true, 0)];
    assert_eq!(select_next(queue), Some(0));
}

/// Load of a node with connections to a leader that serves all reads of its group.
const TENANTS: usize = 24;
const WAITING: usize = 20;
const STATEMENTS: usize = 4_000;

/// Returns the number of connections opened with the given selection function and the
/// highest number of times that a request was overtaken.
fn simulate_connections(select: impl Fn(&[WaitingRequest]) -> usize) -> (usize, u8) {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut queue: VecDeque<(usize, u8)> = VecDeque::new();
    let (mut connected_tenant, mut opened, mut max_overtaken) = (0, 0, 0);
    for _ in 0..STATEMENTS {
        while queue.len() < WAITING {
            queue.push_back((random.random_range(0..TENANTS), 0));
        }
        let view: Vec<_> = queue
            .iter()
            .map(|(tenant, overtaken)| waiting(1, *tenant == connected_tenant, *overtaken))
            .collect();
        let index = select(&view);
        queue
            .iter_mut()
            .take(index)
            .for_each(|(_, overtaken)| *overtaken += 1);
        let Some((tenant, overtaken)) = queue.remove(index) else {
            continue;
        };
        opened += usize::from(tenant != connected_tenant);
        max_overtaken = max_overtaken.max(overtaken);
        connected_tenant = tenant;
    }
    (opened, max_overtaken)
}

#[test]
fn preferring_the_same_user_opens_fewer_connections() {
    let (by_arrival, _) = simulate_connections(|_| 0);
    let (by_user, max_overtaken) =
        simulate_connections(|queue| select_next(queue.iter().copied()).unwrap_or(0));
    println!("connections opened: {by_arrival} in order of arrival, {by_user} with the same user first");
    assert!(by_user * 100 < by_arrival * 70, "{by_user} and {by_arrival}");
    // Requests behind the head can be overtaken more often than the head.
    assert!(usize::from(max_overtaken) <= 4 * WAITING);
}
