//! Replication log, role and term of a simulated instance.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use millwind_core::position::Position;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::InstanceSettings;

/// Simulated size of a log record's header, in bytes.
const RECORD_OVERHEAD_BYTES: u64 = 32;
/// How long a commit waits for a majority before the primary falls back to
/// asynchronous commits.
pub const SYNCHRONOUS_COMMIT_TIMEOUT: Duration = Duration::from_millis(300);

/// One statement of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// SQL text.
    pub sql: String,
    /// Parameters as text.
    pub parameters: Vec<Option<String>>,
}

/// One committed transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term in which the transaction was committed.
    pub term: u64,
    /// Log position after the transaction.
    pub end: u64,
    /// Statements of the transaction, in order.
    pub statements: Vec<Statement>,
}

/// A term and its start position in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermStart {
    /// The term.
    pub term: u64,
    /// Log position at which the term starts.
    pub start: u64,
}

/// Replication role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Receives the log from a leader and replays it.
    Follower,
    /// Has won an election and waits for a majority to adopt the new term.
    Promoting,
    /// Accepts writes.
    Leader,
}

/// Replication state of an instance.
#[derive(Debug)]
pub struct ReplicationState {
    /// Replication role.
    pub role: Role,
    /// Highest term seen.
    pub term: u64,
    /// Last term in which the instance voted.
    pub voted_term: u64,
    /// Committed transactions, oldest first.
    pub log: Vec<Entry>,
    /// When each entry was received.
    pub received: Vec<Instant>,
    /// Number of entries replayed into the database.
    pub applied: usize,
    /// Terms and their start positions; the last term is the term of the log.
    pub history: Vec<TermStart>,
    /// Number of entries that each peer is known to hold, in the current term.
    pub replicated_lengths: HashMap<String, usize>,
    /// Peers that have adopted the current term.
    pub term_adopters: HashSet<String>,
    /// When a leader was last heard from, or the last vote was cast.
    pub last_leader_contact: Instant,
    /// Whether commits skip the wait for a majority until peers catch up.
    pub asynchronous_commit: bool,
    /// Replay lag of a replica.
    pub lag: Duration,
    /// Whether the instance is partitioned from its peers.
    pub partitioned: bool,
    /// Whether the instance may vote and start elections.
    pub full_member: bool,
    /// When the instance was promoted, in milliseconds since the Unix epoch; 0 if never.
    pub opened_at_ms: u64,
    /// Number of the database, incremented whenever the database is rebuilt.
    pub generation: u64,
}

impl ReplicationState {
    /// End position of the log.
    pub fn end(&self) -> u64 {
        self.log.last().map_or(0, |entry| entry.end)
    }

    /// End position of the replayed part of the log.
    pub fn applied_end(&self) -> u64 {
        match self.applied {
            0 => 0,
            count => self.log[count - 1].end,
        }
    }

    /// Term of the log; 0 if the instance has not joined its group.
    pub fn log_term(&self) -> u64 {
        self.history.last().map_or(0, |start| start.term)
    }

    /// Term of the last entry; 0 if the log is empty.
    pub fn last_entry_term(&self) -> u64 {
        self.log.last().map_or(0, |entry| entry.term)
    }

    /// Replayed position, which is what a read observes.
    pub fn position(&self) -> Position {
        Position::new(self.log_term(), self.applied_end())
    }

    /// Appends a committed transaction; returns the log position after it.
    pub fn append(&mut self, statements: Vec<Statement>) -> u64 {
        let size: u64 = statements
            .iter()
            .map(|statement| statement.sql.len() as u64)
            .sum();
        let end = self.end() + size + RECORD_OVERHEAD_BYTES;
        self.log.push(Entry {
            term: self.term,
            end,
            statements,
        });
        self.received.push(Instant::now());
        self.applied = self.log.len();
        end
    }

    /// Truncates the log; returns true if replayed entries were removed and the
    /// database must be rebuilt.
    pub fn truncate(&mut self, length: usize) -> bool {
        self.log.truncate(length);
        self.received.truncate(length);
        if self.applied > length {
            self.applied = 0;
            self.generation += 1;
            return true;
        }
        false
    }

    /// Becomes a follower; adopts `term` if newer.
    pub fn follow(&mut self, term: u64) {
        if term > self.term {
            self.term = term;
        }
        if self.role == Role::Leader {
            // Like a rewound PostgreSQL server, a demoted primary closes its client
            // connections and rebuilds the database from the log.
            self.applied = 0;
            self.generation += 1;
        }
        self.role = Role::Follower;
    }
}

/// Mutex-protected replication state with change notifications.
#[derive(Debug)]
pub struct LogState {
    state: Mutex<ReplicationState>,
    changed: watch::Sender<u64>,
}

impl LogState {
    /// Returns the initial state of an instance.
    pub fn new(settings: &InstanceSettings) -> Self {
        let history = if settings.rejoin {
            Vec::new()
        } else {
            vec![TermStart { term: 1, start: 0 }]
        };
        let state = ReplicationState {
            role: if settings.initial_primary {
                Role::Leader
            } else {
                Role::Follower
            },
            term: u64::from(!settings.rejoin),
            voted_term: u64::from(!settings.rejoin),
            log: Vec::new(),
            received: Vec::new(),
            applied: 0,
            history,
            replicated_lengths: HashMap::new(),
            term_adopters: HashSet::new(),
            last_leader_contact: Instant::now(),
            asynchronous_commit: false,
            lag: Duration::from_millis(settings.lag_ms),
            partitioned: false,
            full_member: !settings.rejoin,
            opened_at_ms: 0,
            generation: 0,
        };
        LogState {
            state: Mutex::new(state),
            changed: watch::channel(0).0,
        }
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, ReplicationState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notifies subscribers of a change.
    pub fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns a receiver of change notifications.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

/// Size of a majority in a group of `peers` other instances and this one.
pub fn majority(peers: usize) -> usize {
    peers.div_ceil(2) + 1
}

/// Waits until a majority holds the first `length` entries. Returns without a
/// majority if the instance no longer leads, or after a timeout, which switches
/// the primary to asynchronous commits.
pub async fn await_majority(log_state: &LogState, peers: usize, length: usize) {
    let mut changed = log_state.subscribe();
    let deadline = tokio::time::Instant::now() + SYNCHRONOUS_COMMIT_TIMEOUT;
    loop {
        {
            let mut state = log_state.lock();
            let holders = 1 + state
                .replicated_lengths
                .values()
                .filter(|replicated| **replicated >= length)
                .count();
            if holders >= majority(peers) {
                state.asynchronous_commit = false;
                return;
            }
            if state.asynchronous_commit || state.role != Role::Leader {
                return;
            }
        }
        if !matches!(
            tokio::time::timeout_at(deadline, changed.changed()).await,
            Ok(Ok(()))
        ) {
            log_state.lock().asynchronous_commit = true;
            return;
        }
    }
}
