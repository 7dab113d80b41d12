//! Where a tenant's statements go first.

use millwind_core::affinity::order;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Tenants of the load, the nodes that hold an instance's connections, the connections
/// that each holds, and statements.
const TENANTS: usize = 72;
const OWNERS: [&str; 3] = ["10.0.0.1:9", "10.0.0.2:9", "10.0.0.3:9"];
const CONNECTIONS: usize = 8;
const STATEMENTS: usize = 10_000;

#[test]
fn every_place_comes_once_and_a_lost_one_moves_only_its_own_tenants() {
    for number in 0..TENANTS {
        let tenant = format!("t{number}");
        let mut places = order(&tenant, &OWNERS);
        let first = places[0];
        let without_last = order(&tenant, &OWNERS[..2]);
        if first < 2 {
            assert_eq!(without_last[0], first, "{tenant} moved");
        }
        places.sort_unstable();
        assert_eq!(places, [0, 1, 2]);
    }
}

/// Connections opened while each owner keeps those that were used last.
fn opened(mut place_of: impl FnMut(usize, &mut ChaCha8Rng) -> usize) -> usize {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut held: Vec<Vec<usize>> = vec![Vec::new(); OWNERS.len()];
    let mut opened = 0;
    for _ in 0..STATEMENTS {
        let tenant = random.random_range(0..TENANTS);
        let place = place_of(tenant, &mut random);
        let connections = &mut held[place];
        match connections.iter().position(|held| *held == tenant) {
            Some(index) => drop(connections.remove(index)),
            None => opened += 1,
        }
        connections.push(tenant);
        if connections.len() > CONNECTIONS {
            connections.remove(0);
        }
    }
    opened
}

#[test]
fn fewer_connections_are_opened_where_each_tenant_has_its_owner() {
    let any = opened(|_, random| random.random_range(0..OWNERS.len()));
    let own = opened(|tenant, _| order(&format!("t{tenant}"), &OWNERS)[0]);
    println!("{any} opened by any owner, {own} by the tenant's own, of {STATEMENTS}");
    assert!(own * 100 < any * 85, "{own} and {any}");
}
