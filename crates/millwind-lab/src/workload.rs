//! Callers: sessions that write, read their own writes, run transactions and
//! roam between nodes, each checking every answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use millwind_core::invariant::Invariant;
use millwind_node::clock::unix_millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use tokio_postgres::types::Type;
use tokio_postgres::{Client, SimpleQueryMessage};

use crate::client::{TokenCell, connect};
use crate::history::{History, ReadRecord, Told, Violation, WriteRecord};

const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// A caller gives up on an answer after this; the answer is then unknown.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);

/// What the callers do.
#[derive(Debug, Clone)]
pub struct WorkloadSettings {
    /// Seed of the callers' choices.
    pub seed: u64,
    /// Callers per tenant.
    pub sessions: usize,
    /// Requests between two writes.
    pub write_every: u32,
    /// Requests between two changes of node; zero for never.
    pub roam_every: u32,
    /// Longest pause between requests, in milliseconds.
    pub think_ms: u64,
    /// Share of writes that carry a request id, in percent.
    pub request_id_percent: u32,
}

impl Default for WorkloadSettings {
    fn default() -> Self {
        WorkloadSettings {
            seed: 1,
            sessions: 8,
            write_every: 5,
            roam_every: 25,
            think_ms: 10,
            request_id_percent: 50,
        }
    }
}

/// One tenant's callers' target.
#[derive(Debug, Clone)]
pub struct Target {
    /// Nodes' client addresses.
    pub nodes: Vec<SocketAddr>,
    /// The tenant.
    pub tenant: String,
    /// Its group.
    pub group: String,
}

/// Counts of a running load, for showing.
#[derive(Debug, Default)]
pub struct LiveCounts {
    /// Writes acknowledged.
    pub acknowledged: AtomicU64,
    /// Reads answered.
    pub reads: AtomicU64,
    /// Requests refused as not run, or undone.
    pub refused: AtomicU64,
    /// Writes of unknown outcome.
    pub unknown: AtomicU64,
}

/// Runs callers until `stop` is set; returns what they saw.
pub async fn run(
    settings: WorkloadSettings,
    targets: Vec<Target>,
    stop: Arc<AtomicBool>,
    live: Arc<LiveCounts>,
) -> History {
    let mut callers = Vec::new();
    for (tenant_index, target) in targets.into_iter().enumerate() {
        for index in 0..settings.sessions {
            let number = tenant_index * settings.sessions + index;
            let caller = Caller {
                name: format!("s{}-{number}", settings.seed),
                random: ChaCha8Rng::seed_from_u64(settings.seed * 10_007 + number as u64),
                settings: settings.clone(),
                target: target.clone(),
                node: number,
                connection: None,
                token: None,
                sequence: 0,
                acknowledged: 0,
                history: History::default(),
                live: live.clone(),
            };
            callers.push(tokio::spawn(caller.run(stop.clone())));
        }
    }
    let mut history = History::default();
    for caller in callers {
        if let Ok(seen) = caller.await {
            history.merge(seen);
        }
    }
    history
}

struct Caller {
    name: String,
    random: ChaCha8Rng,
    settings: WorkloadSettings,
    target: Target,
    node: usize,
    connection: Option<(Client, TokenCell)>,
    token: Option<String>,
    sequence: u64,
    acknowledged: u64,
    history: History,
    live: Arc<LiveCounts>,
}

/// An error as the caller understands it.
struct Understood {
    told: Told,
    kind: String,
    broken: bool,
}

fn understand(error: &tokio_postgres::Error) -> Understood {
    let Some(database) = error.as_db_error() else {
        return Understood {
            told: Told::Unknown,
            kind: format!("connection: {error}"),
            broken: true,
        };
    };
    let hint = database.hint().unwrap_or_default();
    let field = |name: &str| {
        hint.split(' ')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.to_owned())
    };
    let told = match field("effect").as_deref() {
        Some("not_run") => Told::NotRun,
        Some("unknown") => Told::Unknown,
        // An error of the back end itself: the statement was undone.
        _ => Told::RolledBack,
    };
    let kind =
        field("kind").unwrap_or_else(|| format!("sql_{}: {}", database.code().code(), database.message()));
    let broken = database.severity() == "FATAL";
    Understood { told, kind, broken }
}

impl Caller {
    async fn run(mut self, stop: Arc<AtomicBool>) -> History {
        let mut count = 0;
        while !stop.load(Ordering::Relaxed) {
            if self.connection.is_none() && !self.reconnect().await {
                tokio::time::sleep(RECONNECT_PAUSE).await;
                continue;
            }
            count += 1;
            if self.settings.roam_every > 0 && count % self.settings.roam_every == 0 {
                self.roam();
                continue;
            }
            if count % self.settings.write_every == 0 {
                self.write().await;
            } else {
                self.read().await;
            }
            let pause = self.random.random_range(0..=self.settings.think_ms);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        self.history
    }

    /// Leaves the node; the next request goes through another one.
    fn roam(&mut self) {
        self.keep_token();
        self.connection = None;
        self.node += 1;
    }

    fn keep_token(&mut self) {
        if let Some((_, cell)) = &self.connection {
            self.token = cell.get().or_else(|| self.token.take());
        }
    }

    fn lose_connection(&mut self) {
        self.keep_token();
        self.connection = None;
        self.node += 1;
    }

    async fn reconnect(&mut self) -> bool {
        let address = self.target.nodes[self.node % self.target.nodes.len()];
        // Now and then without a token: the proxy must find a safe floor.
        let presents = self.random.random_range(0..4) > 0;
        let token = self.token.clone().filter(|_| presents);
        match connect(address, &self.target.tenant, token.as_deref()).await {
            Ok(connection) => {
                self.connection = Some(connection);
                true
            }
            Err(_) => {
                self.node += 1;
                false
            }
        }
    }

    async fn write(&mut self) {
        match self.random.random_range(0..4) {
            0 => self.write_transaction().await,
            1 => self.write_extended().await,
            _ => self.write_simple().await,
        }
    }

    fn next_request(&mut self) -> String {
        self.sequence += 1;
        format!("{}-{}", self.name, self.sequence)
    }

    fn id_comment(&mut self, request: &str) -> String {
        if self.random.random_range(0..100) < self.settings.request_id_percent {
            format!(" /*request_id='{request}'*/")
        } else {
            String::new()
        }
    }

    async fn write_simple(&mut self) {
        let request = self.next_request();
        let comment = self.id_comment(&request);
        let sql = format!(
            "INSERT INTO booking (request, session, seq) VALUES ('{request}.0', '{}', {}){comment}",
            self.name, self.sequence
        );
        let started = Instant::now();
        let result = self.limited(sql).await;
        self.note_write(&[format!("{request}.0")], started, result);
    }

    async fn limited(&self, sql: String) -> Option<Result<Vec<SimpleQueryMessage>, tokio_postgres::Error>> {
        let (client, _) = self.connection.as_ref()?;
        tokio::time::timeout(ANSWER_LIMIT, client.simple_query(&sql))
            .await
            .ok()
    }

    async fn write_extended(&mut self) {
        let request = self.next_request();
        let comment = self.id_comment(&request);
        let sql = format!("INSERT INTO booking (request, session, seq) VALUES ($1, $2, $3){comment}");
        let marked = format!("{request}.0");
        let sequence = self.sequence as i64;
        let started = Instant::now();
        let Some((client, _)) = &self.connection else {
            return;
        };
        let run = async {
            let types = [Type::TEXT, Type::TEXT, Type::INT8];
            let statement = client.prepare_typed(&sql, &types).await?;
            client
                .execute(&statement, &[&marked, &self.name, &sequence])
                .await
        };
        let result = tokio::time::timeout(ANSWER_LIMIT, run).await.ok();
        self.note_write(&[marked], started, result);
    }

    async fn write_transaction(&mut self) {
        let request = self.next_request();
        let marks = [format!("{request}.0"), format!("{request}.1")];
        let statements = marks.clone().map(|mark| {
            format!(
                "INSERT INTO booking (request, session, seq) VALUES ('{mark}', '{}', {})",
                self.name, self.sequence
            )
        });
        let started = Instant::now();
        let Some((client, _)) = &self.connection else {
            return;
        };
        let run = async {
            client
                .simple_query("BEGIN")
                .await
                .map_err(|error| (error, false))?;
            for statement in &statements {
                client
                    .simple_query(statement)
                    .await
                    .map_err(|error| (error, false))?;
            }
            client.simple_query("COMMIT").await.map_err(|error| (error, true))
        };
        match tokio::time::timeout(ANSWER_LIMIT, run).await.ok() {
            Some(Err((error, false))) => {
                // No commit was sent, so whatever the error says, it is undone.
                let understood = understand(&error);
                if !understood.broken {
                    let _ = client.simple_query("ROLLBACK").await;
                }
                self.record_write(&marks, started, Told::RolledBack, understood.kind);
                if understood.broken {
                    self.lose_connection();
                }
            }
            Some(Ok(messages)) => {
                let committed = messages
                    .iter()
                    .any(|message| matches!(message, SimpleQueryMessage::CommandComplete(_)));
                debug_assert!(committed);
                self.note_write(&marks, started, Some(Ok(())));
            }
            Some(Err((error, true))) => self.note_write::<()>(&marks, started, Some(Err(error))),
            None => self.note_write::<()>(&marks, started, None),
        }
    }

    fn note_write<T>(
        &mut self,
        requests: &[String],
        started: Instant,
        result: Option<Result<T, tokio_postgres::Error>>,
    ) {
        match result {
            Some(Ok(_)) => {
                self.acknowledged = self.sequence;
                self.record_write(requests, started, Told::Acknowledged, String::new());
            }
            Some(Err(error)) => {
                let understood = understand(&error);
                self.record_write(requests, started, understood.told, understood.kind);
                if understood.broken {
                    self.lose_connection();
                }
            }
            None => {
                self.record_write(requests, started, Told::Unknown, "no answer".to_owned());
                self.lose_connection();
            }
        }
    }

    fn record_write(&mut self, requests: &[String], started: Instant, told: Told, kind: String) {
        let count = match told {
            Told::Acknowledged => &self.live.acknowledged,
            Told::Unknown => &self.live.unknown,
            Told::NotRun | Told::RolledBack => &self.live.refused,
        };
        count.fetch_add(1, Ordering::Relaxed);
        for request in requests {
            self.history.writes.push(WriteRecord {
                request: request.clone(),
                group: self.target.group.clone(),
                told,
                kind: kind.clone(),
                answered_at_ms: unix_millis(),
                micros: started.elapsed().as_micros() as u64,
            });
        }
    }

    async fn read(&mut self) {
        let nonce = format!("{}-{:x}", self.name, self.random.random::<u64>());
        let sql = format!(
            "SELECT '{nonce}' AS nonce, max(seq) AS seq FROM booking WHERE session = '{}'",
            self.name
        );
        let started = Instant::now();
        let result = self.limited(sql).await;
        let micros = started.elapsed().as_micros() as u64;
        let (answered, kind) = match result {
            Some(Ok(messages)) => {
                self.check_read(&nonce, &messages);
                (true, String::new())
            }
            Some(Err(error)) => {
                let understood = understand(&error);
                if understood.broken {
                    self.lose_connection();
                }
                if understood.kind == "session_discarded" {
                    self.start_new_session();
                }
                (false, understood.kind)
            }
            None => {
                self.lose_connection();
                (false, "no answer".to_owned())
            }
        };
        let count = if answered {
            &self.live.reads
        } else {
            &self.live.refused
        };
        count.fetch_add(1, Ordering::Relaxed);
        self.history.reads.push(ReadRecord {
            answered,
            kind,
            answered_at_ms: unix_millis(),
            micros,
        });
    }

    /// The proxy said plainly that the session's past is gone.
    fn start_new_session(&mut self) {
        self.connection = None;
        self.token = None;
    }

    fn check_read(&mut self, nonce: &str, messages: &[SimpleQueryMessage]) {
        let rows: Vec<_> = messages
            .iter()
            .filter_map(|message| match message {
                SimpleQueryMessage::Row(row) => Some(row),
                _ => None,
            })
            .collect();
        let own = rows.len() == 1 && rows[0].get(0) == Some(nonce);
        if !own {
            let detail = format!("{} asked {nonce} and got {} rows", self.name, rows.len());
            self.history
                .violations
                .push(Violation::new(Invariant::WholeOwnAnswer, detail));
            return;
        }
        let seen: u64 = rows[0].get(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        if seen < self.acknowledged {
            let detail = format!("{} wrote {} and read {seen}", self.name, self.acknowledged);
            self.history
                .violations
                .push(Violation::new(Invariant::ReadYourWrites, detail));
        }
    }
}
