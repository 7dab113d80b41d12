//! Stand-in of the platform's metadata store and of its promotion service, over HTTP/1.1.
//!
//! Serves the calls of PROTOCOL.md that the proxy uses: `kv-range`, `kv-watch`, `kv-txn` and
//! `failover`. It answers every call, in order, after 4 ms.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::common::group::Group;

/// Time until the store answers a call, as on the sheets of the deployments.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Item {
    value: Option<Vec<u8>>,
    revision: u64,
}

/// A call of the promotion service.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: Instant,
    pub group: String,
    pub instance: String,
    pub holder: String,
    pub token: u64,
    pub status: u16,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    orders: Vec<Order>,
    highest_token: HashMap<String, u64>,
    /// When a watch on `servers/` was last answered with changes.
    instances_told: Option<Instant>,
    /// When each open connection last carried something.
    last_traffic: HashMap<u64, Instant>,
    /// Connections that carry nothing any more, without a reset.
    silent: HashSet<u64>,
    opened_connections: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
    groups: Vec<Group>,
    checks_fences: bool,
    promote_time: Duration,
    pub address: SocketAddr,
}

impl Store {
    pub async fn start(groups: Vec<Group>, checks_fences: bool, promote_time: Duration) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store = Store {
            state: Arc::default(),
            changed: Arc::new(watch::Sender::new(0)),
            groups,
            checks_fences,
            promote_time,
            address: listener.local_addr().unwrap(),
        };
        let serving = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = serving.clone();
                tokio::spawn(async move { store.serve(stream).await });
            }
        });
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Writes a key as the operator or an instance; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &Value) -> Instant {
        self.write(key, Some(serde_json::to_vec(value).unwrap()));
        Instant::now()
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    /// Lets all connections go silent that have carried nothing for `idle`. New ones work. Returns
    /// how many went silent and how many stay.
    pub fn silence_idle(&self, idle: Duration) -> (usize, usize) {
        let mut state = self.state();
        let is_idle = |at: &Instant| at.elapsed() >= idle;
        let found = state.last_traffic.iter().filter(|(_, at)| is_idle(at));
        let found: Vec<u64> = found.map(|(connection, _)| *connection).collect();
        state.silent.extend(&found);
        (found.len(), state.last_traffic.len() - found.len())
    }

    pub fn orders(&self) -> Vec<Order> {
        self.state().orders.clone()
    }

    pub fn instances_told(&self) -> Option<Instant> {
        self.state().instances_told
    }

    fn write(&self, key: &str, value: Option<Vec<u8>>) -> u64 {
        let revision = {
            let mut state = self.state();
            state.revision += 1;
            let revision = state.revision;
            state.items.insert(key.to_owned(), Item { value, revision });
            revision
        };
        self.changed.send_replace(revision);
        revision
    }

    async fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let connection = {
            let mut state = self.state();
            state.opened_connections += 1;
            state.opened_connections
        };
        let mut input = Vec::new();
        loop {
            self.state().last_traffic.insert(connection, Instant::now());
            let Some(request) = read_request(&mut stream, &mut input).await else {
                self.state().last_traffic.remove(&connection);
                return;
            };
            if self.is_silent(connection) {
                return hold_open(stream).await;
            }
            self.state().last_traffic.insert(connection, Instant::now());
            tokio::time::sleep(ANSWER_TIME).await;
            let (status, body) = self.answer(&request).await;
            if self.is_silent(connection) {
                return hold_open(stream).await;
            }
            let text = body.to_string();
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            if stream.write_all((head + &text).as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn is_silent(&self, connection: u64) -> bool {
        self.state().silent.contains(&connection)
    }

    async fn answer(&self, request: &Request) -> (u16, Value) {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-range") => (200, self.range(&request.query)),
            ("GET", "/kv-watch") => (200, self.watch(&request.query).await),
            ("POST", "/kv-txn") => self.transact(&request.body),
            ("POST", "/failover") => self.failover(request),
            _ => (404, json!({})),
        }
    }

    fn range(&self, query: &HashMap<String, String>) -> Value {
        let state = self.state();
        let prefix = &query["path-prefix"];
        let after = query.get("after").cloned().unwrap_or_default();
        let items: Vec<Value> = state
            .items
            .iter()
            .filter(|(key, item)| key.starts_with(prefix) && **key > after && item.value.is_some())
            .map(|(key, item)| item_json(key, item))
            .collect();
        json!({"items": items, "has-more": false, "timestamp": state.revision})
    }

    async fn watch(&self, query: &HashMap<String, String>) -> Value {
        let prefix = &query["path-prefix"];
        let after: u64 = query["after"].parse().unwrap();
        let wait = Duration::from_millis(query["wait-ms"].parse().unwrap());
        let deadline = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            {
                let mut state = self.state();
                let mut found: Vec<_> = state
                    .items
                    .iter()
                    .filter(|(key, item)| key.starts_with(prefix) && item.revision > after)
                    .collect();
                found.sort_by_key(|(_, item)| item.revision);
                let events: Vec<_> = found.iter().map(|(key, item)| item_json(key, item)).collect();
                if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                    if prefix == "servers/" && !events.is_empty() {
                        state.instances_told = Some(Instant::now());
                    }
                    return json!({"events": events, "timestamp": state.revision});
                }
            }
            let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap();
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        {
            let state = self.state();
            let mut current = Vec::new();
            let mut holds = true;
            for row in rows("expected-revision") {
                let key = row["private-key"].as_str().unwrap();
                let item = state.items.get(key).filter(|item| item.value.is_some());
                holds &= item.map_or(0, |item| item.revision) == row["revision"].as_u64().unwrap();
                current.extend(item.map(|item| item_json(key, item)));
            }
            if !holds {
                return (412, json!({"items": current}));
            }
        }
        let mut revision = self.state().revision;
        for put in rows("put") {
            let key = put["private-key"].as_str().unwrap().to_owned();
            let value = STANDARD.decode(put["value"].as_str().unwrap()).unwrap();
            revision = self.write(&key, Some(value));
        }
        for key in rows("remove") {
            revision = self.write(key.as_str().unwrap(), None);
        }
        (200, json!({"revision": revision}))
    }

    /// Checks the fence if the platform does so, and promotes the instance a little later.
    fn failover(&self, request: &Request) -> (u16, Value) {
        let body: Value = serde_json::from_slice(&request.body).unwrap();
        let name = body["backend"].as_str().unwrap().to_owned();
        let instance = body["id"].as_str().unwrap().to_owned();
        let holder = request.headers["x-lease-holder"].clone();
        let token: u64 = request.headers["x-fencing-token"].parse().unwrap();
        let group = self.groups.iter().find(|group| group.state().name == name);
        let mut state = self.state();
        let highest = state.highest_token.entry(name.clone()).or_default();
        let is_refused = self.checks_fences && token < *highest;
        *highest = token.max(*highest);
        let is_running = group.is_some_and(|group| {
            let group = group.state();
            group
                .members
                .get(&instance)
                .is_some_and(|member| !member.faults.dead)
        });
        let status = if is_refused || !is_running { 409 } else { 200 };
        state.orders.push(Order {
            at: Instant::now(),
            group: name,
            instance: instance.clone(),
            holder,
            token,
            status,
        });
        drop(state);
        if let (200, Some(group)) = (status, group.cloned()) {
            let promote_time = self.promote_time;
            tokio::spawn(async move {
                tokio::time::sleep(promote_time).await;
                // The fence was checked above, where the platform checks it.
                group.state().highest_token = 0;
                group.promote(&instance, token);
            });
        }
        (status, json!({}))
    }
}

/// Keeps a silent connection open: nothing is read from it or written to it.
async fn hold_open(stream: TcpStream) {
    std::future::pending::<()>().await;
    drop(stream);
}

fn item_json(key: &str, item: &Item) -> Value {
    match &item.value {
        Some(value) => {
            json!({"private-key": key, "value": STANDARD.encode(value), "revision": item.revision,
                "created-at": item.revision, "lease-id": 0})
        }
        None => json!({"private-key": key, "revision": item.revision, "compacted": true}),
    }
}

#[derive(Debug)]
struct Request {
    method: String,
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

async fn read_request(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<Request> {
    let head_end = loop {
        if let Some(end) = input.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(input).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(input[..head_end].to_vec()).ok()?;
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let (method, target) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers
        .get("content-length")
        .map_or(0, |value| value.parse().unwrap());
    while input.len() < head_end + 4 + length {
        if stream.read_buf(input).await.ok()? == 0 {
            return None;
        }
    }
    let body = input[head_end + 4..head_end + 4 + length].to_vec();
    input.drain(..head_end + 4 + length);
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query
        .map(|(name, value)| (name.to_owned(), decode(value)))
        .collect();
    Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body,
    })
}

/// Decodes `%XX` and `+` of a query value.
fn decode(text: &str) -> String {
    let mut bytes = text.bytes();
    let mut decoded = Vec::new();
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => {
                let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
                let digits = std::str::from_utf8(&digits).unwrap_or("00");
                decoded.push(u8::from_str_radix(digits, 16).unwrap_or(0));
            }
            b'+' => decoded.push(b' '),
            other => decoded.push(other),
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
