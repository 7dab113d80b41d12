//! Load generator: client sessions that write, read back their writes, run
//! transactions, switch nodes and check every answer.

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

use crate::client::{SessionTokenTracker, connect};
use crate::history::{History, ReadRecord, Violation, WriteOutcome, WriteRecord};

const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Timeout of a request; a write that exceeds this timeout has an unknown outcome.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings of the load generator.
#[derive(Debug, Clone)]
pub struct WorkloadSettings {
    /// Seed of the random choices of all sessions.
    pub seed: u64,
    /// Number of sessions per tenant.
    pub sessions: usize,
    /// Every `write_every`-th request is a write.
    pub write_every: u32,
    /// Every `roam_every`-th request switches nodes instead; zero disables this.
    pub roam_every: u32,
    /// Maximum think time between requests, in milliseconds.
    pub think_ms: u64,
    /// Percentage of single-statement writes that carry a request id.
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

/// Tenant and nodes that a set of sessions connects to.
#[derive(Debug, Clone)]
pub struct Target {
    /// Client addresses of the nodes.
    pub nodes: Vec<SocketAddr>,
    /// Tenant name.
    pub tenant: String,
    /// Database group of the tenant.
    pub group: String,
}

/// Request counters of a running load.
#[derive(Debug, Default)]
pub struct LiveCounters {
    /// Acknowledged writes.
    pub acknowledged: AtomicU64,
    /// Answered reads.
    pub reads: AtomicU64,
    /// Failed reads, and writes that were refused or rolled back.
    pub refused: AtomicU64,
    /// Writes with an unknown outcome.
    pub unknown: AtomicU64,
}

/// Runs all sessions until `stop` is set and returns their merged history.
///
/// The history of a session whose task panics is not included.
pub async fn run(
    settings: WorkloadSettings,
    targets: Vec<Target>,
    stop: Arc<AtomicBool>,
    counters: Arc<LiveCounters>,
) -> History {
    let mut tasks = Vec::new();
    for (tenant_index, target) in targets.into_iter().enumerate() {
        for index in 0..settings.sessions {
            let session_index = tenant_index * settings.sessions + index;
            let session = Session {
                name: format!("s{}-{session_index}", settings.seed),
                random: ChaCha8Rng::seed_from_u64(settings.seed * 10_007 + session_index as u64),
                settings: settings.clone(),
                target: target.clone(),
                node: session_index,
                connection: None,
                token: None,
                sequence: 0,
                acknowledged: 0,
                history: History::default(),
                counters: counters.clone(),
            };
            tasks.push(tokio::spawn(session.run(stop.clone())));
        }
    }
    let mut history = History::default();
    for task in tasks {
        if let Ok(session_history) = task.await {
            history.merge(session_history);
        }
    }
    history
}

struct Session {
    name: String,
    random: ChaCha8Rng,
    settings: WorkloadSettings,
    target: Target,
    node: usize,
    connection: Option<(Client, SessionTokenTracker)>,
    token: Option<String>,
    sequence: u64,
    /// Sequence number of the last acknowledged write.
    acknowledged: u64,
    history: History,
    counters: Arc<LiveCounters>,
}

/// Classification of a client error.
struct ClassifiedError {
    outcome: WriteOutcome,
    error_kind: String,
    connection_lost: bool,
}

fn classify_error(error: &tokio_postgres::Error) -> ClassifiedError {
    let Some(database) = error.as_db_error() else {
        return ClassifiedError {
            outcome: WriteOutcome::Unknown,
            error_kind: format!("connection: {error}"),
            connection_lost: true,
        };
    };
    let hint = database.hint().unwrap_or_default();
    let field = |name: &str| {
        hint.split(' ')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.to_owned())
    };
    let outcome = match field("effect").as_deref() {
        Some("not_run") => WriteOutcome::NotRun,
        Some("unknown") => WriteOutcome::Unknown,
        // The proxy states an effect for its own refusals; on any other error the
        // database has rolled the statement back.
        _ => WriteOutcome::RolledBack,
    };
    let error_kind =
        field("kind").unwrap_or_else(|| format!("sql_{}: {}", database.code().code(), database.message()));
    let connection_lost = database.severity() == "FATAL";
    ClassifiedError {
        outcome,
        error_kind,
        connection_lost,
    }
}

impl Session {
    async fn run(mut self, stop: Arc<AtomicBool>) -> History {
        let mut count = 0;
        while !stop.load(Ordering::Relaxed) {
            if self.connection.is_none() && !self.reconnect().await {
                tokio::time::sleep(RECONNECT_DELAY).await;
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

    /// Disconnects, so that the next request goes through another node.
    fn roam(&mut self) {
        self.save_token();
        self.connection = None;
        self.node += 1;
    }

    fn save_token(&mut self) {
        if let Some((_, cell)) = &self.connection {
            self.token = cell.get().or_else(|| self.token.take());
        }
    }

    fn drop_connection(&mut self) {
        self.save_token();
        self.connection = None;
        self.node += 1;
    }

    async fn reconnect(&mut self) -> bool {
        let address = self.target.nodes[self.node % self.target.nodes.len()];
        // One connection in four presents no token, so the proxy has to choose
        // a safe minimum log position by itself.
        let present_token = self.random.random_range(0..4) > 0;
        let token = self.token.clone().filter(|_| present_token);
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

    fn request_id_comment(&mut self, request: &str) -> String {
        if self.random.random_range(0..100) < self.settings.request_id_percent {
            format!(" /*request_id='{request}'*/")
        } else {
            String::new()
        }
    }

    async fn write_simple(&mut self) {
        let request = self.next_request();
        let comment = self.request_id_comment(&request);
        let sql = format!(
            "INSERT INTO booking (request, session, seq) VALUES ('{request}.0', '{}', {}){comment}",
            self.name, self.sequence
        );
        let started = Instant::now();
        let result = self.query_with_timeout(sql).await;
        self.handle_write_result(&[format!("{request}.0")], started, result);
    }

    async fn query_with_timeout(
        &self,
        sql: String,
    ) -> Option<Result<Vec<SimpleQueryMessage>, tokio_postgres::Error>> {
        let (client, _) = self.connection.as_ref()?;
        tokio::time::timeout(ANSWER_TIMEOUT, client.simple_query(&sql))
            .await
            .ok()
    }

    async fn write_extended(&mut self) {
        let request = self.next_request();
        let comment = self.request_id_comment(&request);
        let sql = format!("INSERT INTO booking (request, session, seq) VALUES ($1, $2, $3){comment}");
        let row_key = format!("{request}.0");
        let sequence = self.sequence as i64;
        let started = Instant::now();
        let Some((client, _)) = &self.connection else {
            return;
        };
        let run = async {
            let types = [Type::TEXT, Type::TEXT, Type::INT8];
            let statement = client.prepare_typed(&sql, &types).await?;
            client
                .execute(&statement, &[&row_key, &self.name, &sequence])
                .await
        };
        let result = tokio::time::timeout(ANSWER_TIMEOUT, run).await.ok();
        self.handle_write_result(&[row_key], started, result);
    }

    async fn write_transaction(&mut self) {
        let request = self.next_request();
        let row_keys = [format!("{request}.0"), format!("{request}.1")];
        let statements = row_keys.clone().map(|row_key| {
            format!(
                "INSERT INTO booking (request, session, seq) VALUES ('{row_key}', '{}', {})",
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
        match tokio::time::timeout(ANSWER_TIMEOUT, run).await.ok() {
            Some(Err((error, false))) => {
                // COMMIT was not sent, so the transaction is rolled back whatever the error says.
                let classified = classify_error(&error);
                if !classified.connection_lost {
                    let _ = client.simple_query("ROLLBACK").await;
                }
                self.record_write(
                    &row_keys,
                    started,
                    WriteOutcome::RolledBack,
                    classified.error_kind,
                );
                if classified.connection_lost {
                    self.drop_connection();
                }
            }
            Some(Ok(messages)) => {
                let committed = messages
                    .iter()
                    .any(|message| matches!(message, SimpleQueryMessage::CommandComplete(_)));
                debug_assert!(committed);
                self.handle_write_result(&row_keys, started, Some(Ok(())));
            }
            Some(Err((error, true))) => self.handle_write_result::<()>(&row_keys, started, Some(Err(error))),
            None => self.handle_write_result::<()>(&row_keys, started, None),
        }
    }

    fn handle_write_result<T>(
        &mut self,
        row_keys: &[String],
        started: Instant,
        result: Option<Result<T, tokio_postgres::Error>>,
    ) {
        match result {
            Some(Ok(_)) => {
                self.acknowledged = self.sequence;
                self.record_write(row_keys, started, WriteOutcome::Acknowledged, String::new());
            }
            Some(Err(error)) => {
                let classified = classify_error(&error);
                self.record_write(row_keys, started, classified.outcome, classified.error_kind);
                if classified.connection_lost {
                    self.drop_connection();
                }
            }
            None => {
                self.record_write(row_keys, started, WriteOutcome::Unknown, "no answer".to_owned());
                self.drop_connection();
            }
        }
    }

    fn record_write(
        &mut self,
        row_keys: &[String],
        started: Instant,
        outcome: WriteOutcome,
        error_kind: String,
    ) {
        let count = match outcome {
            WriteOutcome::Acknowledged => &self.counters.acknowledged,
            WriteOutcome::Unknown => &self.counters.unknown,
            WriteOutcome::NotRun | WriteOutcome::RolledBack => &self.counters.refused,
        };
        count.fetch_add(1, Ordering::Relaxed);
        for row_key in row_keys {
            self.history.writes.push(WriteRecord {
                row_key: row_key.clone(),
                group: self.target.group.clone(),
                outcome,
                error_kind: error_kind.clone(),
                answered_at_ms: unix_millis(),
                latency_us: started.elapsed().as_micros() as u64,
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
        let result = self.query_with_timeout(sql).await;
        let latency_us = started.elapsed().as_micros() as u64;
        let (answered, error_kind) = match result {
            Some(Ok(messages)) => {
                self.check_read(&nonce, &messages);
                (true, String::new())
            }
            Some(Err(error)) => {
                let classified = classify_error(&error);
                if classified.connection_lost {
                    self.drop_connection();
                }
                if classified.error_kind == "session_discarded" {
                    self.start_new_session();
                }
                (false, classified.error_kind)
            }
            None => {
                self.drop_connection();
                (false, "no answer".to_owned())
            }
        };
        let count = if answered {
            &self.counters.reads
        } else {
            &self.counters.refused
        };
        count.fetch_add(1, Ordering::Relaxed);
        self.history.reads.push(ReadRecord {
            answered,
            error_kind,
            answered_at_ms: unix_millis(),
            latency_us,
        });
    }

    /// Starts a session without a token after the proxy discarded the previous one.
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
        let is_own_answer = rows.len() == 1 && rows[0].get(0) == Some(nonce);
        if !is_own_answer {
            let detail = format!(
                "{} expected one row with nonce {nonce} and got {} rows",
                self.name,
                rows.len()
            );
            self.history
                .violations
                .push(Violation::new(Invariant::WholeOwnAnswer, detail));
            return;
        }
        let read_sequence: u64 = rows[0].get(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        if read_sequence < self.acknowledged {
            let detail = format!(
                "{} wrote sequence {} and read {read_sequence}",
                self.name, self.acknowledged
            );
            self.history
                .violations
                .push(Violation::new(Invariant::ReadYourWrites, detail));
        }
    }
}
