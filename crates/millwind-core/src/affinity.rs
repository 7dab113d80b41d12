//! Which of several places a tenant's statements go to first, so that they find the
//! tenant's connections there.
//!
//! Load pattern: more tenants than an instance accepts connections, each with a
//! statement now and then. A connection serves one tenant; opening one takes as much
//! of an instance's slot as a statement or two. Spread over all places, a tenant's
//! next statement rarely meets its last connection; sent to the same place, it does.

use xxhash_rust::xxh3::xxh3_64;

/// Indexes of `places` in the order in which `tenant` uses them, by rendezvous hashing:
/// a place that is gone moves only its own tenants.
pub fn order<Name: AsRef<str>>(tenant: &str, places: &[Name]) -> Vec<usize> {
    let weight = |index: &usize| {
        let place = places[*index].as_ref();
        xxh3_64(format!("{tenant}/{place}").as_bytes())
    };
    let mut indexes: Vec<usize> = (0..places.len()).collect();
    indexes.sort_by_key(|index| std::cmp::Reverse(weight(index)));
    indexes
}
