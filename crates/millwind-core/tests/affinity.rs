//! Tests of tenant affinity.

use millwind_core::affinity::rendezvous_order;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Simulated load: tenants, owner nodes, connections per owner, and statements.
const TENANTS: usize = 72;
const OWNERS: [&str; 3] = ["10.0.0.1:9", "10.0.0.2:9", "10.0.0.3:9"];
const CONNECTIONS: usize = 8;
const STATEMENTS: usize = 10_000;

#[test]
fn removed_owner_moves_only_its_own_tenants() {
    for number in 0..TENANTS {
        let tenant = format!("t{number}");
        let mut owners = rendezvous_order(&tenant, &OWNERS);
        let first = owners[0];
        let without_last = rendezvous_order(&tenant, &OWNERS[..2]);
        if first < 2 {
            assert_eq!(without_last[0], first, "{tenant} moved");
        }
        owners.sort_unstable();
        assert_eq!(owners, [0, 1, 2]);
    }
}

/// Returns the number of connections opened if each owner keeps its [`CONNECTIONS`] most
/// recently used connections.
fn count_opened(mut select_owner: impl FnMut(usize, &mut ChaCha8Rng) -> usize) -> usize {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut open_connections: Vec<Vec<usize>> = vec![Vec::new(); OWNERS.len()];
    let mut opened = 0;
    for _ in 0..STATEMENTS {
        let tenant = random.random_range(0..TENANTS);
        let owner = select_owner(tenant, &mut random);
        let connections = &mut open_connections[owner];
        match connections.iter().position(|connected| *connected == tenant) {
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
fn affinity_opens_fewer_connections() {
    let at_random = count_opened(|_, random| random.random_range(0..OWNERS.len()));
    let with_affinity = count_opened(|tenant, _| rendezvous_order(&format!("t{tenant}"), &OWNERS)[0]);
    println!(
        "connections opened for {STATEMENTS} statements: {at_random} at random owners, {with_affinity} with affinity"
    );
    assert!(
        with_affinity * 100 < at_random * 85,
        "{with_affinity} and {at_random}"
    );
}
