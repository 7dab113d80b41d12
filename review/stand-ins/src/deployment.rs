//! A small deployment on loopback addresses: three proxies, a store, one service of three
//! instances, and clients that write.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::client::{Client, new_id};
use crate::group::{Group, SiteRules};
use crate::http;
use crate::proxy::{Proxy, Site};
use crate::record::Record;
use crate::store::Store;

/// Pause of a writing client after each statement.
const PAUSE: Duration = Duration::from_millis(25);

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub store_address: SocketAddr,
    /// Address of the stand-ins.
    pub ip: String,
    pub group: Arc<Group>,
    pub proxies: Vec<Proxy>,
    writers: Vec<JoinHandle<()>>,
    is_over: Arc<AtomicBool>,
    pub acknowledged: Arc<Mutex<Vec<Acknowledged>>>,
}

/// A write that its client was told to have succeeded.
#[derive(Clone)]
pub struct Acknowledged {
    pub id: String,
    pub sent_ms: u64,
    pub at_ms: u64,
}

/// Returns a configuration; later versions lack the route of `lookup`.
pub fn configuration(version: u64, sync_replicas: u64) -> String {
    let route = |host: &str, kind: &str, timeout: u64, more: &str| {
        format!(
            "{{\"name\":\"r-{host}\",\"hostname\":\"{host}\",\"path-prefix\":\"/\",\"type\":\"{kind}\",\"timeout-ms\":{timeout},\"target-latency-ms\":600,\"priority\":1,\"backend\":\"ledger\",\"max-attempts\":2{more}}}"
        )
    };
    let routes = [
        route("booking", "primary", 1_000, ""),
        route("lookup", "bounded_staleness", 3_000, ",\"max-staleness-ms\":1500"),
        route("scan", "read_your_writes", 1_000, ",\"max-staleness-ms\":2500"),
    ];
    let routes = match version {
        7 => routes.join(","),
        _ => [routes[0].clone(), routes[2].clone()].join(","),
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"backends\":[{{\"name\":\"ledger\",\"health-check-path\":\"/healthz\",\"max-connections\":50,\"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":{sync_replicas}}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,\"tx-idle-ms\":3000}}}}",
        routes
    )
}

impl Deployment {
    /// Starts everything and waits until the proxies are ready.
    pub fn start(folder: &Path, rules: &SiteRules) -> Result<Deployment, String> {
        let record = Record::create(&folder.join("record.txt")).map_err(|error| error.to_string())?;
        let record = Arc::new(record);
        let temporary = std::env::var("CASE_TMP").map_err(|_| "CASE_TMP is not set".to_owned())?;
        let [.., high, low] = std::process::id().to_be_bytes();
        let network = format!("127.{}.{low}", 1 + high % 250);
        let ip = format!("{network}.1");
        let store = Arc::new(Store::default());
        store.put("op/config", &configuration(7, rules.sync_replicas));
        let group = Group::new(rules, store.clone(), record.clone());
        group.start(&ip, rules.members);
        thread::sleep(Duration::from_millis(100));
        let answering = store.clone();
        let store_address = http::serve(&ip, Arc::new(move |request| answering.answer(request)));
        let promoting = group.clone();
        let cloud_api = http::serve(&ip, Arc::new(move |request| promoting.failover(request)));
        let site = Site {
            folder: temporary.into(),
            network,
            store: store_address,
            cloud_api,
            is_fenced: rules.is_fenced,
            bounds: rules.bounds,
        };
        let deployment = Deployment {
            proxies: Proxy::start_all(&site, 3),
            record,
            store,
            store_address,
            ip,
            group,
            writers: Vec::new(),
            is_over: Arc::default(),
            acknowledged: Arc::default(),
        };
        deployment.note_proxies();
        for proxy in &deployment.proxies {
            if !proxy.await_ready(Duration::from_secs(15)) {
                return Err(format!("{} is not ready", proxy.name));
            }
        }
        Ok(deployment)
    }

    /// Tells the instances which processes the proxies are.
    pub fn note_proxies(&self) {
        self.group.state().proxies = self.proxies.iter().map(Proxy::id).collect();
    }

    /// Starts clients that write to the `primary` route, `count` on each proxy.
    pub fn start_writers(&mut self, count: usize) {
        let fronts: Vec<SocketAddr> = self.proxies.iter().map(|proxy| proxy.front).collect();
        for front in fronts {
            self.start_writers_on(front, count, PAUSE);
        }
    }

    /// Starts `count` clients that write to the `primary` route of one proxy, with `pause` after
    /// each statement.
    pub fn start_writers_on(&mut self, front: SocketAddr, count: usize, pause: Duration) {
        for _ in 0..count {
            let record = self.record.clone();
            let (is_over, acknowledged) = (self.is_over.clone(), self.acknowledged.clone());
            self.writers.push(thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    write_until_closed(front, pause, &record, &is_over, &acknowledged);
                    thread::sleep(PAUSE);
                }
            }));
        }
    }

    /// Waits for `time`.
    pub fn pass(&self, time: Duration) {
        thread::sleep(time);
    }

    /// Ends the writers, and the proxies after them.
    pub fn stop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for writer in self.writers.drain(..) {
            let _ = writer.join();
        }
        self.proxies.clear();
        self.record.flush();
    }
}

fn write_until_closed(
    front: SocketAddr,
    pause: Duration,
    record: &Arc<Record>,
    is_over: &AtomicBool,
    acknowledged: &Mutex<Vec<Acknowledged>>,
) {
    let Some(mut client) = Client::open(front, "booking", Some(record.clone())) else {
        return;
    };
    while !is_over.load(Ordering::Relaxed) {
        let id = new_id();
        let sent_ms = record.now_ms();
        let Some(answer) = client.query(&id, &format!("WRITE t{id} d{id}")) else {
            return;
        };
        if answer.result.is_ok() {
            acknowledged.lock().unwrap().push(Acknowledged {
                id,
                sent_ms,
                at_ms: record.now_ms(),
            });
        }
        if answer.state != "I" {
            return;
        }
        thread::sleep(pause);
    }
}
