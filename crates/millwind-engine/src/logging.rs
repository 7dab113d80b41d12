//! Log output on standard output: one line of key=value pairs for each event.
//!
//! A bounded queue and a writer thread keep a slow reader from blocking requests. Lines
//! that do not fit into the queue are dropped and counted, and the count is logged with
//! the next line written.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use log::LevelFilter;
use millwind_core::Instant;

use crate::clock;

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 4_096;
/// Maximum number of lines about single requests per second.
const REQUEST_LINES_PER_SECOND: u64 = 100;

static DROPPED: AtomicU64 = AtomicU64::new(0);
static QUEUED: AtomicU64 = AtomicU64::new(0);
static WRITTEN: AtomicU64 = AtomicU64::new(0);

/// Interval between two checks for unwritten lines.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Returns the number of lines dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Waits until all queued lines are written, for at most `limit`. Called before the
/// process exits so that the reason for the exit is not lost.
pub fn finish(limit: Duration) {
    let deadline = std::time::Instant::now() + limit;
    while WRITTEN.load(Ordering::Acquire) < QUEUED.load(Ordering::Acquire)
        && std::time::Instant::now() < deadline
    {
        std::thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

/// Installs the logger, with `level` for the crates of this workspace and warnings for
/// all others. Fails if a logger is already installed.
pub fn start(level: LevelFilter, node: &str) -> Result<(), log::SetLoggerError> {
    let (sender, receiver) = sync_channel::<String>(QUEUE_LINES);
    std::thread::spawn(move || write_lines(&receiver));
    let node = node.to_owned();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let time = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            let level = record.level().as_str().to_lowercase();
            out.finish(format_args!("time={time} level={level} node={node} {message}"));
        })
        .level(LevelFilter::Warn)
        .level_for("millwind_engine", level)
        .level_for("millwind_platform", level)
        .level_for("millwind_proxy", level)
        .chain(fern::Output::call(move |record| {
            enqueue(&sender, escape_line(record.args().to_string()));
        }))
        .apply()
}

/// Escapes control characters, so that texts of callers and instances cannot add lines to the
/// log.
pub fn escape_line(line: String) -> String {
    if !line.contains(char::is_control) {
        return line;
    }
    let mut escaped = String::with_capacity(line.len());
    for character in line.chars() {
        match character.is_control() {
            true => escaped.extend(character.escape_default()),
            false => escaped.push(character),
        }
    }
    escaped
}

fn enqueue(sender: &SyncSender<String>, line: String) {
    match sender.try_send(line) {
        Ok(()) => {
            QUEUED.fetch_add(1, Ordering::AcqRel);
        }
        Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(receiver: &Receiver<String>) {
    let mut reported = 0;
    while let Ok(line) = receiver.recv() {
        let mut batch = line;
        let mut lines = 1;
        batch.push('\n');
        while let Ok(next) = receiver.try_recv() {
            batch.push_str(&next);
            batch.push('\n');
            lines += 1;
        }
        let dropped = dropped_lines();
        if dropped > reported {
            batch.push_str(&format!(
                "level=warn event=log_lines_dropped count={} total={dropped}\n",
                dropped - reported
            ));
            reported = dropped;
        }
        if std::io::stdout().write_all(batch.as_bytes()).is_err() {
            return;
        }
        WRITTEN.fetch_add(lines, Ordering::AcqRel);
    }
}

/// Rate limit for one kind of log line. Suppressed lines are counted, and the count is
/// logged with the first line of a later second.
#[derive(Debug)]
pub struct LineLimit {
    subject: &'static str,
    lines_per_second: u64,
    state: Mutex<LineLimitState>,
}

#[derive(Debug, Default)]
struct LineLimitState {
    second: Instant,
    lines: u64,
    suppressed: u64,
}

impl LineLimit {
    /// Creates a limit of `lines_per_second` lines about `subject`.
    pub const fn new(subject: &'static str, lines_per_second: u64) -> Self {
        let state = LineLimitState {
            second: Instant(0),
            lines: 0,
            suppressed: 0,
        };
        LineLimit {
            subject,
            lines_per_second,
            state: Mutex::new(state),
        }
    }

    /// Returns whether one more line may be written now.
    pub fn admit(&self) -> bool {
        let now = clock::now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if now.millis_since(state.second) >= 1_000 {
            if state.suppressed > 0 {
                log::info!(
                    "event=lines_suppressed subject={} count={}",
                    self.subject,
                    state.suppressed
                );
            }
            state.second = now;
            state.lines = 0;
            state.suppressed = 0;
        }
        if state.lines >= self.lines_per_second {
            state.suppressed += 1;
            return false;
        }
        state.lines += 1;
        true
    }
}

/// Sampling and rate limit for log lines about single requests.
#[derive(Debug)]
pub struct RequestLog {
    limit: LineLimit,
    seen: AtomicU64,
}

impl Default for RequestLog {
    fn default() -> Self {
        RequestLog {
            limit: LineLimit::new("requests", REQUEST_LINES_PER_SECOND),
            seen: AtomicU64::new(0),
        }
    }
}

impl RequestLog {
    /// Returns true for one of every `sample` calls.
    pub fn is_sampled(&self, sample: u64) -> bool {
        sample <= 1 || (self.seen.fetch_add(1, Ordering::Relaxed) + 1).is_multiple_of(sample)
    }

    /// Returns whether one more line may be written now.
    pub fn admit(&self) -> bool {
        self.limit.admit()
    }
}
