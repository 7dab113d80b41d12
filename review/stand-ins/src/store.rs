//! The platform's metadata store: items with revisions, ranges, watches and transactions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response};
use crate::json::{Json, from_base64, to_base64};

/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Most events in one answer of a watch.
const MAX_EVENTS: usize = 500;

#[derive(Clone)]
struct Change {
    revision: u64,
    key: String,
    /// None for a removal.
    value: Option<Vec<u8>>,
}

/// Value, revision of the last change and revision of the creation, by key.
type Items = BTreeMap<String, (Vec<u8>, u64, u64)>;

#[derive(Default)]
struct State {
    era: u32,
    is_away: bool,
    /// Watches on the operator's keys that began before this moment say nothing more.
    silent_before: Option<Instant>,
    /// Items and revision of the copy.
    copy: Option<(Items, u64)>,
    items: Items,
    changes: Vec<Change>,
    revision: u64,
}

impl State {
    fn write(&mut self, key: &str, value: Option<Vec<u8>>) {
        match &value {
            Some(bytes) => {
                let created = self.items.get(key).map_or(self.revision, |item| item.2);
                self.items
                    .insert(key.to_owned(), (bytes.clone(), self.revision, created));
            }
            None => {
                self.items.remove(key);
            }
        }
        self.changes.push(Change {
            revision: self.revision,
            key: key.to_owned(),
            value,
        });
    }
}

impl State {
    /// Does a transaction whole and returns its revision, or returns the present items if its
    /// conditions do not hold.
    fn apply(&mut self, call: &Json) -> Result<u64, Vec<String>> {
        let expected = call.list("expected-revision");
        let present = |row: &Json| self.items.get(row.text("private-key"));
        let holds = |row: &Json| present(row).map_or(0, |item| item.1) == row.number("revision");
        if !expected.iter().all(holds) {
            let items = expected.iter().filter_map(|row| {
                let (value, revision, created) = present(row)?;
                Some(item(row.text("private-key"), Some(value), *revision, *created))
            });
            return Err(items.collect());
        }
        self.revision += 1;
        for put in call.list("put") {
            self.write(put.text("private-key"), Some(from_base64(put.text("value"))));
        }
        for removed in call.list("remove") {
            if let Json::Text(key) = removed {
                self.write(key, None);
            }
        }
        Ok(self.revision)
    }
}

/// Called with key and value of each write of a transaction, after it was done and before its
/// answer is sent.
type WriteHook = Box<dyn Fn(&str, &str) + Send + Sync>;
/// Tells of a write whether its answer is lost and it is done late.
type LateFilter = Box<dyn Fn(&str, &str) -> bool + Send + Sync>;
/// Called with the caller's address when a watch on a prefix begins.
type WatchHook = Box<dyn Fn(&str, SocketAddr) + Send + Sync>;

/// A transaction that is done later than its call.
struct LateCall {
    call: Json,
    arrived: Instant,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    hook: Mutex<Option<Arc<WriteHook>>>,
    late_filter: Mutex<Option<Arc<LateFilter>>>,
    late_calls: Mutex<Vec<LateCall>>,
    watch_hook: Mutex<Option<Arc<WatchHook>>>,
}

impl Store {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state();
        state.revision += 1;
        state.write(key, Some(value.as_bytes().to_vec()));
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state();
        if state.items.contains_key(key) {
            state.revision += 1;
            state.write(key, None);
            self.changed.notify_all();
        }
    }

    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.state();
        let (value, ..) = state.items.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    pub fn set_hook(&self, hook: Option<WriteHook>) {
        *self.hook.lock().unwrap() = hook.map(Arc::new);
    }

    pub fn set_late_filter(&self, filter: Option<LateFilter>) {
        *self.late_filter.lock().unwrap() = filter.map(Arc::new);
    }

    pub fn set_watch_hook(&self, hook: Option<WatchHook>) {
        *self.watch_hook.lock().unwrap() = hook.map(Arc::new);
    }

    /// Does the late calls, if their conditions still hold. Returns for each how late it is and
    /// whether it was done.
    pub fn do_late_calls(&self) -> Vec<(Duration, bool)> {
        let calls = std::mem::take(&mut *self.late_calls.lock().unwrap());
        let mut state = self.state();
        let mut done = Vec::new();
        for late in calls {
            let is_done = state.apply(&late.call).is_ok();
            done.push((late.arrived.elapsed(), is_done));
        }
        self.changed.notify_all();
        done
    }

    pub fn answer(&self, request: &Request) -> Response {
        thread::sleep(ANSWER_TIME);
        let is_away = self.state().is_away;
        let mut response = match is_away {
            true => Response {
                era: 0,
                status: 503,
                body: "{}".to_owned(),
            },
            false => self.answer_call(request),
        };
        response.era = self.state().era;
        response
    }

    pub fn take_copy(&self) {
        let mut state = self.state();
        state.copy = Some((state.items.clone(), state.revision));
    }

    /// Silences the open watches on the operator's keys; new calls work.
    pub fn silence_configuration_watches(&self) {
        self.state().silent_before = Some(Instant::now());
        self.changed.notify_all();
    }

    /// Takes the store away, or lets it come back from the copy.
    pub fn set_away(&self, is_away: bool) {
        let mut state = self.state();
        state.is_away = is_away;
        if !is_away && let Some((items, revision)) = state.copy.take() {
            state.items = items;
            state.revision = revision;
            state.changes.retain(|change| change.revision <= revision);
            state.era += 1;
        }
        self.changed.notify_all();
    }

    fn answer_call(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transact(&request.body),
            _ => Response {
                era: 0,
                status: 404,
                body: "{}".to_owned(),
            },
        }
    }

    fn range(&self, request: &Request) -> Response {
        let prefix = request.query.get("path-prefix").cloned().unwrap_or_default();
        let after = request.query.get("after").cloned().unwrap_or_default();
        let state = self.state();
        let found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> = found
            .map(|(key, (value, revision, created))| item(key, Some(value), *revision, *created))
            .collect();
        Response {
            era: 0,
            status: 200,
            body: format!(
                "{{\"items\":[{}],\"has-more\":false,\"timestamp\":{}}}",
                items.join(","),
                state.revision
            ),
        }
    }

    fn watch(&self, request: &Request) -> Response {
        let prefix = request.query.get("path-prefix").cloned().unwrap_or_default();
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let (after, wait_ms) = (number("after").unwrap_or(0), number("wait-ms").unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let hook = self.watch_hook.lock().unwrap().clone();
        if let Some(hook) = hook {
            hook(&prefix, request.peer);
        }
        let mut state = self.state();
        let era = state.era;
        let began = Instant::now();
        loop {
            if prefix == "op/" && state.silent_before.is_some_and(|silent| began < silent) {
                return Response::lost();
            }
            if state.era != era || after > state.revision {
                return Response {
                    era: 0,
                    status: 410,
                    body: "{}".to_owned(),
                };
            }
            if state.is_away {
                return Response {
                    era: 0,
                    status: 503,
                    body: "{}".to_owned(),
                };
            }
            let events: Vec<&Change> = state
                .changes
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                .take(MAX_EVENTS)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let last = events.last().filter(|_| events.len() == MAX_EVENTS);
                let timestamp = last.map_or(state.revision, |change| change.revision);
                let events: Vec<String> = events
                    .iter()
                    .map(|change| {
                        item(
                            &change.key,
                            change.value.as_ref(),
                            change.revision,
                            change.revision,
                        )
                    })
                    .collect();
                let body = format!("{{\"events\":[{}],\"timestamp\":{timestamp}}}", events.join(","));
                return Response {
                    era: 0,
                    status: 200,
                    body,
                };
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
    }

    fn transact(&self, body: &str) -> Response {
        let Some(call) = Json::parse(body) else {
            return Response {
                era: 0,
                status: 400,
                body: "{}".to_owned(),
            };
        };
        let filter = self.late_filter.lock().unwrap().clone();
        let is_late = |filter: &LateFilter| {
            call.list("put")
                .iter()
                .any(|put| filter(put.text("private-key"), &decoded(put)))
        };
        if filter.is_some_and(|filter| is_late(&filter)) {
            self.late_calls.lock().unwrap().push(LateCall {
                call,
                arrived: Instant::now(),
            });
            return Response::lost();
        }
        let applied = self.state().apply(&call);
        self.changed.notify_all();
        let revision = match applied {
            Ok(revision) => revision,
            Err(items) => {
                return Response {
                    era: 0,
                    status: 412,
                    body: format!("{{\"items\":[{}]}}", items.join(",")),
                };
            }
        };
        let hook = self.hook.lock().unwrap().clone();
        if let Some(hook) = hook {
            for put in call.list("put") {
                hook(put.text("private-key"), &decoded(put));
            }
        }
        Response {
            era: 0,
            status: 200,
            body: format!("{{\"revision\":{revision}}}"),
        }
    }
}

fn decoded(put: &Json) -> String {
    String::from_utf8_lossy(&from_base64(put.text("value"))).into_owned()
}

fn item(key: &str, value: Option<&Vec<u8>>, revision: u64, created: u64) -> String {
    match value {
        Some(value) => format!(
            "{{\"private-key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created-at\":{created},\"lease-id\":0}}",
            to_base64(value)
        ),
        None => format!("{{\"private-key\":\"{key}\",\"revision\":{revision},\"compacted\":true}}"),
    }
}
