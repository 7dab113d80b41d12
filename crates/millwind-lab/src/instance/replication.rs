//! Log shipping and vote requests between simulated instances.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{timeout, timeout_at};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::database;
use super::log_state::{Entry, Role, TermStart, majority};
use super::{Instance, Peer};

/// Interval of an idle leader's heartbeats. A new entry waits for the reply to
/// an outstanding heartbeat, so a shorter interval would delay commits.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
const MAX_ENTRIES_PER_APPEND: usize = 512;

/// Replication protocol message.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// Log entries from the leader; a heartbeat if empty.
    Append(AppendRequest),
    /// Vote request from a candidate.
    Vote(VoteRequest),
    /// Reply to an append or a vote request.
    Reply(Reply),
}

/// Request to append entries of the leader's log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The leader's term.
    pub term: u64,
    /// The leader's terms and their start positions.
    pub history: Vec<TermStart>,
    /// Number of entries that precede `entries` in the log.
    pub previous: usize,
    /// Term of the preceding entry; 0 if there is none.
    pub previous_term: u64,
    /// End position of the preceding entry; 0 if there is none.
    pub previous_end: u64,
    /// Entries to append.
    pub entries: Vec<Entry>,
}

/// A candidate's request for a vote.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The candidate's term.
    pub term: u64,
    /// Term of the last entry in the candidate's log.
    pub last_term: u64,
    /// End position of the candidate's log.
    pub end: u64,
}

/// Reply to an append or a vote request.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Reply {
    /// Term of the replying instance.
    pub term: u64,
    /// Whether the entries were accepted or the vote was granted.
    pub granted: bool,
    /// Number of entries in the replying instance's log.
    pub held: usize,
}

type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Connects to a peer; returns none if the connection fails or times out.
async fn connect(peer: &Peer) -> Option<FramedStream> {
    let stream = timeout(REPLY_TIMEOUT, TcpStream::connect(peer.address))
        .await
        .ok()?
        .ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Framed::new(stream, LengthDelimitedCodec::new()))
}

/// Sends a request; returns none if no reply arrives in time.
async fn send_request(stream: &mut FramedStream, message: &Message) -> Option<Reply> {
    let bytes = serde_json::to_vec(message).ok()?;
    stream.send(Bytes::from(bytes)).await.ok()?;
    let frame = timeout(REPLY_TIMEOUT, stream.next()).await.ok()??.ok()?;
    match serde_json::from_slice(&frame).ok()? {
        Message::Reply(reply) => Some(reply),
        _ => None,
    }
}

/// Requests a peer's vote; returns none if the peer does not reply in time.
pub async fn request_vote(peer: &Peer, request: VoteRequest) -> Option<Reply> {
    let mut stream = connect(peer).await?;
    send_request(&mut stream, &Message::Vote(request)).await
}

/// Ships the log to a peer while this instance leads or is being majority_adopted.
pub async fn ship_log(instance: Arc<Instance>, peer: Peer) {
    let mut changed = instance.state.subscribe();
    loop {
        let Some(mut stream) = connect(&peer).await else {
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        let mut next = instance.state.lock().log.len();
        let mut current_term = 0;
        loop {
            let message = {
                let state = instance.state.lock();
                if state.term != current_term {
                    current_term = state.term;
                    next = state.log.len();
                }
                (state.role != Role::Follower && !state.partitioned).then(|| append_request(&state, next))
            };
            let Some((append, length)) = message else {
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
                continue;
            };
            let sent_term = append.term;
            let count = append.entries.len();
            changed.mark_unchanged();
            let Some(reply) = send_request(&mut stream, &Message::Append(append)).await else {
                tokio::time::sleep(RECONNECT_DELAY).await;
                break;
            };
            next = handle_append_reply(&instance, &peer, sent_term, reply, next, count);
            if next >= length {
                wait_until_send_due(&instance, &mut changed, next, sent_term).await;
            }
        }
    }
}

/// Waits for an entry beyond `next`, a change of term, or the next heartbeat;
/// ignores other changes, such as another peer's reply.
async fn wait_until_send_due(
    instance: &Instance,
    changed: &mut watch::Receiver<u64>,
    next: usize,
    term: u64,
) {
    let heartbeat = tokio::time::Instant::now() + HEARTBEAT_INTERVAL;
    loop {
        {
            let state = instance.state.lock();
            if state.log.len() > next || state.term != term {
                return;
            }
        }
        if !matches!(timeout_at(heartbeat, changed.changed()).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Returns a request with the entries from `next` on, and the length of the log.
fn append_request(state: &super::log_state::ReplicationState, next: usize) -> (AppendRequest, usize) {
    let next = next.min(state.log.len());
    let previous = next.checked_sub(1).map(|index| &state.log[index]);
    let end = state.log.len().min(next + MAX_ENTRIES_PER_APPEND);
    let append = AppendRequest {
        term: state.term,
        history: state.history.clone(),
        previous: next,
        previous_term: previous.map_or(0, |entry| entry.term),
        previous_end: previous.map_or(0, |entry| entry.end),
        entries: state.log[next..end].to_vec(),
    };
    (append, state.log.len())
}

/// Processes a peer's reply to an append; returns the index of the next entry
/// to send.
fn handle_append_reply(
    instance: &Instance,
    peer: &Peer,
    sent_term: u64,
    reply: Reply,
    next: usize,
    count: usize,
) -> usize {
    let mut state = instance.state.lock();
    if state.partitioned || state.term != sent_term {
        return next;
    }
    if reply.term > state.term {
        state.follow(reply.term);
        return next;
    }
    if !reply.granted {
        return reply.held.min(next.saturating_sub(1));
    }
    state.replicated_lengths.insert(peer.name.clone(), next + count);
    state.term_adopters.insert(peer.name.clone());
    let majority_adopted = state.role == Role::Promoting
        && 1 + state.term_adopters.len() >= majority(instance.settings.peers.len());
    drop(state);
    if majority_adopted {
        complete_promotion(instance, sent_term);
    }
    instance.state.notify();
    next + count
}

/// Replays all received entries and begins to accept writes.
fn complete_promotion(instance: &Instance, term: u64) {
    database::replay_all(instance);
    let mut state = instance.state.lock();
    if state.role == Role::Promoting && state.term == term && state.applied == state.log.len() {
        state.role = Role::Leader;
        state.asynchronous_commit = false;
        state.opened_at_ms = millwind_node::clock::unix_millis();
        log::info!(
            "event=primary_opened instance={} term={term}",
            instance.settings.name
        );
    }
}

/// Serves the requests of other instances.
pub async fn serve(listener: TcpListener, instance: Arc<Instance>) {
    while let Ok((stream, _)) = listener.accept().await {
        let instance = instance.clone();
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let mut stream = Framed::new(stream, LengthDelimitedCodec::new());
            while let Some(Ok(frame)) = stream.next().await {
                let Ok(message) = serde_json::from_slice::<Message>(&frame) else {
                    return;
                };
                let Some(reply) = handle_request(&instance, message) else {
                    return;
                };
                let Ok(bytes) = serde_json::to_vec(&Message::Reply(reply)) else {
                    return;
                };
                if stream.send(Bytes::from(bytes)).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Handles a request; returns no reply while partitioned.
fn handle_request(instance: &Instance, message: Message) -> Option<Reply> {
    if instance.state.lock().partitioned {
        return None;
    }
    let reply = match message {
        Message::Append(append) => handle_append(instance, append),
        Message::Vote(request) => handle_vote_request(instance, &request),
        Message::Reply(_) => return None,
    };
    instance.state.notify();
    Some(reply)
}

/// Appends a leader's entries to the log. Rejects a request of an older term, and
/// entries whose predecessor does not match the log.
fn handle_append(instance: &Instance, append: AppendRequest) -> Reply {
    let mut state = instance.state.lock();
    let rejected = |state: &super::log_state::ReplicationState| Reply {
        term: state.term,
        granted: false,
        held: state.log.len(),
    };
    if append.term < state.term {
        return rejected(&state);
    }
    state.follow(append.term);
    state.last_leader_contact = Instant::now();
    let log_matches = match append.previous {
        0 => true,
        count => state
            .log
            .get(count - 1)
            .is_some_and(|entry| entry.term == append.previous_term && entry.end == append.previous_end),
    };
    if !log_matches {
        return rejected(&state);
    }
    // The first append of a new term removes entries that the leader lacks, so
    // that reporting the new term never covers a diverged log.
    if state.log_term() < append.term {
        let kept = append.previous + common_prefix_length(&state.log[append.previous..], &append.entries);
        state.truncate(kept);
    }
    for (offset, entry) in append.entries.iter().enumerate() {
        let index = append.previous + offset;
        if state
            .log
            .get(index)
            .is_some_and(|held| held.term == entry.term && held.end == entry.end)
        {
            continue;
        }
        state.truncate(index);
        state.log.push(entry.clone());
        state.received.push(Instant::now());
    }
    state.history = append.history;
    state.full_member = true;
    Reply {
        term: state.term,
        granted: true,
        held: state.log.len(),
    }
}

/// Returns the number of leading entries that are the same in both slices.
fn common_prefix_length(held: &[Entry], sent: &[Entry]) -> usize {
    held.iter()
        .zip(sent)
        .take_while(|(left, right)| left.term == right.term && left.end == right.end)
        .count()
}

/// Grants at most one vote per term, and only to a candidate whose log is at least
/// as up to date as this log.
fn handle_vote_request(instance: &Instance, request: &VoteRequest) -> Reply {
    let mut state = instance.state.lock();
    let log_up_to_date = (request.last_term, request.end) >= (state.last_entry_term(), state.end());
    let granted =
        state.full_member && request.term > state.term && request.term > state.voted_term && log_up_to_date;
    if request.term > state.term {
        state.follow(request.term);
    }
    if granted {
        state.voted_term = request.term;
        state.last_leader_contact = Instant::now();
    }
    Reply {
        term: state.term,
        granted,
        held: state.log.len(),
    }
}
