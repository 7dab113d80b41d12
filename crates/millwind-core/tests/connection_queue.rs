//! Who gets a connection that becomes free.

use std::collections::VecDeque;

use millwind_core::connection_queue::{Waiting, next_in_line};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn waiting(rank: u8, is_same_user: bool, passed_over: u8) -> Waiting {
    Waiting {
        rank,
        is_same_user,
        passed_over,
    }
}

#[test]
fn the_next_of_the_same_user_goes_first_within_its_rank() {
    let line = [
        waiting(1, false, 0),
        waiting(1, false, 0),
        waiting(1, true, 0),
        waiting(2, true, 0),
    ];
    assert_eq!(next_in_line(line), Some(2));
    assert_eq!(next_in_line([line[0], line[3]]), Some(0));
    assert_eq!(next_in_line([]), None);
}

#[test]
fn the_first_is_not_passed_over_for_long() {
    let line = [waiting(1, false, 4), waiting(1, true, 0)];
    assert_eq!(next_in_line(line), Some(0));
}

/// Tenants, connections, and statements that wait: those of a node that holds
/// connections to a leader that serves all reads of its group.
const TENANTS: usize = 24;
const WAITING: usize = 20;
const STATEMENTS: usize = 4_000;

/// Connections opened for so many statements, by who goes next.
fn opened(goes_next: impl Fn(&[Waiting]) -> usize) -> (usize, u8) {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut line: VecDeque<(usize, u8)> = VecDeque::new();
    let (mut held, mut opened, mut most_passed_over) = (0, 0, 0);
    for _ in 0..STATEMENTS {
        while line.len() < WAITING {
            line.push_back((random.random_range(0..TENANTS), 0));
        }
        let view: Vec<_> = line
            .iter()
            .map(|(tenant, over)| waiting(1, *tenant == held, *over))
            .collect();
        let index = goes_next(&view);
        line.iter_mut().take(index).for_each(|(_, over)| *over += 1);
        let Some((tenant, over)) = line.remove(index) else {
            continue;
        };
        opened += usize::from(tenant != held);
        most_passed_over = most_passed_over.max(over);
        held = tenant;
    }
    (opened, most_passed_over)
}

#[test]
fn fewer_connections_are_opened_while_statements_wait() {
    let (in_turn, _) = opened(|_| 0);
    let (by_user, most_passed_over) = opened(|line| next_in_line(line.iter().copied()).unwrap_or(0));
    println!("{in_turn} opened in the order of arrival, {by_user} with the same user first");
    assert!(by_user * 100 < in_turn * 70, "{by_user} and {in_turn}");
    // Those ahead of the first add theirs before they are first themselves.
    assert!(usize::from(most_passed_over) <= 4 * WAITING);
}
