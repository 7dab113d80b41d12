//! Tenant affinity: directs the statements of a tenant to the same target, so that they
//! can reuse the tenant's connections.
//!
//! A connection serves one tenant, and opening one costs an instance about as much as a
//! statement. If there are more tenants than connections and statements are spread evenly,
//! a tenant rarely finds an open connection.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the indexes of `targets` in the order of preference of `tenant`.
///
/// Uses rendezvous hashing: removing a target reassigns only the tenants that preferred it.
pub fn rendezvous_order<Name: AsRef<str>>(tenant: &str, targets: &[Name]) -> Vec<usize> {
    let weight = |index: &usize| {
        let target = targets[*index].as_ref();
        xxh3_64(format!("{tenant}/{target}").as_bytes())
    };
    let mut indexes: Vec<usize> = (0..targets.len()).collect();
    indexes.sort_by_key(|index| std::cmp::Reverse(weight(index)));
    indexes
}
