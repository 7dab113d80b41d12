//! The log, role and term of a stand-in instance.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use millwind_core::position::Position;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::InstanceSettings;

/// Bytes a log record takes beside its statements.
const RECORD_OVERHEAD_BYTES: u64 = 32;
/// A commit waits this long for a majority before the primary goes on alone.
pub const SYNCHRONOUS_TIMEOUT: Duration = Duration::from_millis(300);

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
    /// Term it was written in.
    pub term: u64,
    /// Log position after it.
    pub end: u64,
    /// Its statements.
    pub statements: Vec<Statement>,
}

/// Where a term began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The term.
    pub term: u64,
    /// Log position at its start.
    pub start: u64,
}

/// Role of the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Replays.
    Follower,
    /// Won an election; a majority has not adopted its term yet.
    Opening,
    /// Accepts writes.
    Leader,
}

/// The log and what belongs to it.
#[derive(Debug)]
pub struct Core {
    /// Role.
    pub role: Role,
    /// Highest term heard of.
    pub term: u64,
    /// Term in which a vote was given.
    pub voted_term: u64,
    /// Committed transactions, oldest first.
    pub log: Vec<Entry>,
    /// When each entry was received.
    pub received: Vec<Instant>,
    /// Entries replayed into the database.
    pub applied: usize,
    /// Where terms began; the last one is the log's term.
    pub history: Vec<Start>,
    /// Entries each peer is known to hold, in this term.
    pub matched: HashMap<String, usize>,
    /// Peers that have adopted this term.
    pub adopted: HashSet<String>,
    /// Last word of a leader.
    pub heard_leader: Instant,
    /// The primary commits alone until peers catch up.
    pub alone: bool,
    /// Replay lag of a replica.
    pub lag: Duration,
    /// Cut off from its peers.
    pub cut: bool,
    /// May vote and stand.
    pub full_member: bool,
    /// When it began to accept writes, for measurements.
    pub opened_at_ms: u64,
    /// Number of the database; raised when it is built anew.
    pub generation: u64,
}

impl Core {
    /// End of the log.
    pub fn end(&self) -> u64 {
        self.log.last().map_or(0, |entry| entry.end)
    }

    /// End of what is replayed.
    pub fn applied_end(&self) -> u64 {
        match self.applied {
            0 => 0,
            count => self.log[count - 1].end,
        }
    }

    /// Term of the log.
    pub fn log_term(&self) -> u64 {
        self.history.last().map_or(0, |start| start.term)
    }

    /// Term of the last entry.
    pub fn last_entry_term(&self) -> u64 {
        self.log.last().map_or(0, |entry| entry.term)
    }

    /// Position visible to readers.
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

    /// Shortens the log; true when replayed entries were dropped, so that the
    /// database must be built anew.
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

    /// Becomes a follower of `term`.
    pub fn follow(&mut self, term: u64) {
        if term > self.term {
            self.term = term;
        }
        if self.role == Role::Leader {
            // A demoted primary starts over, as a rewound server would: open
            // connections end and the database is built anew from the log.
            self.applied = 0;
            self.generation += 1;
        }
        self.role = Role::Follower;
    }
}

/// The log state behind a lock, with a signal for changes.
#[derive(Debug)]
pub struct LogState {
    core: Mutex<Core>,
    changed: watch::Sender<u64>,
}

impl LogState {
    /// The state of an instance that starts.
    pub fn new(settings: &InstanceSettings) -> Self {
        let history = if settings.rejoin {
            Vec::new()
        } else {
            vec![Start { term: 1, start: 0 }]
        };
        let core = Core {
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
            matched: HashMap::new(),
            adopted: HashSet::new(),
            heard_leader: Instant::now(),
            alone: false,
            lag: Duration::from_millis(settings.lag_ms),
            cut: false,
            full_member: !settings.rejoin,
            opened_at_ms: 0,
            generation: 0,
        };
        LogState {
            core: Mutex::new(core),
            changed: watch::channel(0).0,
        }
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells waiters that something changed.
    pub fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// A signal of changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

/// Instances that make a majority, out of the peers and the instance itself.
pub fn majority(peers: usize) -> usize {
    peers.div_ceil(2) + 1
}

/// Waits until a majority holds the first `length` entries, or goes on alone
/// after a time-out, as a primary does that believes it still leads.
pub async fn await_majority(state: &LogState, peers: usize, length: usize) {
    let mut changed = state.subscribe();
    let give_up = tokio::time::Instant::now() + SYNCHRONOUS_TIMEOUT;
    loop {
        {
            let mut core = state.lock();
            let holding = 1 + core
                .matched
                .values()
                .filter(|matched| **matched >= length)
                .count();
            if holding >= majority(peers) {
                core.alone = false;
                return;
            }
            if core.alone || core.role != Role::Leader {
                return;
            }
        }
        if !matches!(
            tokio::time::timeout_at(give_up, changed.changed()).await,
            Ok(Ok(()))
        ) {
            state.lock().alone = true;
            return;
        }
    }
}
