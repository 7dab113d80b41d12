//! The stand-ins of a small deployment: groups of three instances, their records in the store
//! with heartbeats, and proxies.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::common::group::Group;
use crate::common::instance;
use crate::process::{Bounds, Proxy, ZONES, await_ready};
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What instances state about themselves beyond their role.
#[derive(Default)]
pub struct Stated {
    /// Instances that have announced their end.
    pub draining: BTreeSet<String>,
    sequences: BTreeMap<String, u64>,
    dead_since: BTreeMap<String, Instant>,
    removed: BTreeSet<String>,
}

pub struct Deployment {
    pub groups: Vec<Group>,
    pub store: Store,
    pub proxies: Vec<Proxy>,
    pub stated: Arc<Mutex<Stated>>,
    folder: PathBuf,
}

impl Deployment {
    /// Starts the stand-ins with `config`, and `count` proxies. Returns none if the proxies are
    /// not ready in time.
    pub async fn start(
        record: &Record,
        groups: Vec<Group>,
        checks_fences: bool,
        config: &Value,
        count: u8,
    ) -> Option<Deployment> {
        for group in &groups {
            group.state().is_unfenced = !checks_fences;
            let names: Vec<_> = group.state().members.keys().cloned().collect();
            for name in names {
                instance::start(group.clone(), &name).await;
            }
        }
        let store = Store::start(groups.clone(), checks_fences, Duration::from_millis(300)).await;
        let folder = std::env::temp_dir().join(format!("millwind-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let bounds = Bounds {
            fencing_required: checks_fences,
        };
        let proxies = (0..count).map(|number| Proxy::new(&folder, number, count, store.address, &bounds));
        let mut deployment = Deployment {
            proxies: proxies.collect(),
            groups,
            store,
            stated: Arc::default(),
            folder,
        };
        deployment.store.put("op/config", config);
        deployment.write_records();
        deployment.keep_records();
        for proxy in &mut deployment.proxies {
            proxy.start();
        }
        let is_ready = await_ready(&deployment.proxies).await;
        record.note(&format!("proxies={count} ready={is_ready}"));
        is_ready.then_some(deployment)
    }

    fn write_records(&self) {
        for group in &self.groups {
            write_records(group, &self.store, &self.stated);
        }
    }

    /// Announces the end of an instance; returns when the store has taken it.
    pub fn drain(&self, instance: &str) -> Instant {
        self.stated.lock().unwrap().draining.insert(instance.to_owned());
        self.write_records();
        Instant::now()
    }

    /// Writes heartbeats, and each change of a role at once.
    fn keep_records(&self) {
        for group in &self.groups {
            let (group, store, stated) = (group.clone(), self.store.clone(), self.stated.clone());
            tokio::spawn(async move {
                let mut last_beat = Instant::now();
                let mut leader = group.leader();
                loop {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    let present = group.leader();
                    if present != leader {
                        leader = present;
                        write_records(&group, &store, &stated);
                    } else if last_beat.elapsed() >= HEARTBEAT {
                        last_beat = Instant::now();
                        write_records(&group, &store, &stated);
                    }
                }
            });
        }
    }

    pub fn proxy(&self, name: &str) -> &Proxy {
        self.proxies.iter().find(|proxy| proxy.name == name).unwrap()
    }

    /// Copies the lines of the proxies' logs that contain one of `parts` into the record.
    pub fn note_logs(&self, record: &Record, parts: &[&str]) {
        for proxy in &self.proxies {
            for line in proxy.log_lines(parts) {
                record.note(&format!("log {line}"));
            }
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for proxy in &mut self.proxies {
            proxy.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Writes the records of all running instances of a group, as these would themselves.
fn write_records(group: &Group, store: &Store, stated: &Mutex<Stated>) {
    let (name, members): (String, Vec<_>) = {
        let state = group.state();
        let members = state.members.iter().map(|(name, member)| {
            (
                name.clone(),
                member.address.clone(),
                member.faults.dead,
                state.led_term(name).is_some(),
            )
        });
        (state.name.clone(), members.collect())
    };
    for (index, (instance, address, is_dead, leads)) in members.into_iter().enumerate() {
        if is_dead {
            let since = *stated
                .lock()
                .unwrap()
                .dead_since
                .entry(instance.clone())
                .or_insert_with(Instant::now);
            // The entry goes after three heartbeats of silence.
            if since.elapsed() >= HEARTBEAT * 3 && stated.lock().unwrap().removed.insert(instance.clone()) {
                store.remove(&format!("servers/{instance}"));
            }
            continue;
        }
        stated.lock().unwrap().dead_since.remove(&instance);
        stated.lock().unwrap().removed.remove(&instance);
        let (state, sequence) = {
            let mut stated = stated.lock().unwrap();
            let sequence = stated.sequences.entry(instance.clone()).or_default();
            *sequence += 1;
            let sequence = *sequence;
            let is_draining = stated.draining.contains(&instance);
            (if is_draining { "draining" } else { "ready" }, sequence)
        };
        let record = json!({"backend": name, "address": address, "zone": ZONES[index % ZONES.len()],
            "version": "v1", "capacity": 3, "state": state, "warmup-remaining-ms": 0,
            "db-role": if leads { "primary" } else { "replica" }, "sequence": sequence});
        store.put(&format!("servers/{instance}"), &record);
    }
}

/// A route as in a small deployment.
pub fn route(host: &str, kind: &str, backend: &str, staleness_ms: u64) -> Value {
    json!({"name": format!("r-{host}"), "hostname": host, "path-prefix": "/", "type": kind,
        "timeout-ms": 1_000, "target-latency-ms": 800, "priority": 1, "backend": backend,
        "max-attempts": 2, "max-staleness-ms": staleness_ms})
}

/// A configuration with these routes and services.
pub fn config(version: u64, routes: &[Value], services: &[&str], connections: u64) -> Value {
    let services: Vec<_> = services
        .iter()
        .map(|name| {
            json!({"name": name, "health-check-path": "/healthz", "max-connections": connections,
                "protocol": "h1", "tls": false, "sync-replicas": 0})
        })
        .collect();
    json!({"version": version, "routes": routes, "backends": services,
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000, "tx-idle-ms": 3000}})
}
