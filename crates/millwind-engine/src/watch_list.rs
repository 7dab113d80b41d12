//! Cached set of the groups that this node watches.
//!
//! The set is queried several times a second. Evaluating every group each time would cost
//! time proportional to the number of groups, so only changed groups are evaluated again
//! unless the configuration or the set of nodes changes.

use std::collections::HashSet;
use std::sync::Arc;

use millwind_core::Instant;
use millwind_core::ids::GroupName;

use crate::clock;
use crate::node::Engine;

/// Maximum age of the set before all groups are evaluated again, in milliseconds. It
/// bounds the time for which a missed change could leave a group without a watcher.
const MAX_AGE_MS: u64 = 5_000;

/// Versions of the inputs that affect all groups.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Inputs {
    config_version: u64,
    nodes_version: u64,
}

/// Groups that this node watches, whether it uses them or not.
#[derive(Debug, Default)]
pub struct WatchList {
    groups: Arc<HashSet<GroupName>>,
    computed: Option<(Inputs, Instant)>,
}

impl WatchList {
    /// Returns the current set of watched groups.
    pub fn current(&mut self, engine: &Engine) -> Arc<HashSet<GroupName>> {
        let inputs = Inputs {
            config_version: engine.config_version(),
            nodes_version: engine.registry.version(),
        };
        let now = clock::now();
        let changed = engine.directory.take_changed_groups();
        let is_current = |(computed_from, at): (Inputs, Instant)| {
            computed_from == inputs && now.millis_since(at) < MAX_AGE_MS
        };
        if !self.computed.is_some_and(is_current) {
            self.groups = Arc::new(watched_groups(engine));
            self.computed = Some((inputs, now));
        } else if !changed.is_empty() {
            self.update(engine, changed);
        }
        self.groups.clone()
    }

    fn update(&mut self, engine: &Engine, changed: HashSet<GroupName>) {
        engine.metrics.groups_evaluated.inc_by(changed.len() as u64);
        let groups = Arc::make_mut(&mut self.groups);
        for group in changed {
            let is_configured = engine.directory.group_limits(&group).is_some();
            match is_configured && engine.watches(&group) {
                true => groups.insert(group),
                false => groups.remove(&group),
            };
        }
    }
}

fn watched_groups(engine: &Engine) -> HashSet<GroupName> {
    let Some(config) = engine.directory.config() else {
        return HashSet::new();
    };
    engine.metrics.groups_evaluated.inc_by(config.groups.len() as u64);
    let groups = config.groups.keys();
    groups.filter(|group| engine.watches(group)).cloned().collect()
}
