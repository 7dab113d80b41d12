//! Log shipping and votes between stand-in instances.

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
use super::log_state::{Entry, Role, Start, majority};
use super::{Instance, Peer};

/// A silent leader sends this often; a new entry waits for the answer to a
/// message that is under way, so silence is filled sparingly.
pub const HEARTBEAT: Duration = Duration::from_millis(200);
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
const ENTRIES_PER_MESSAGE: usize = 512;

/// A message between instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// Take these entries.
    Append(Append),
    /// Vote for me.
    Vote(VoteRequest),
    /// Answer to either: own term, whether it was granted, entries held.
    Reply(Reply),
}

/// Entries of a leader's log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Append {
    /// The leader's term.
    pub term: u64,
    /// The leader's term starts.
    pub history: Vec<Start>,
    /// Entries before these.
    pub previous: usize,
    /// Term of the entry before these.
    pub previous_term: u64,
    /// End of the entry before these.
    pub previous_end: u64,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// A candidate's request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The candidate's term.
    pub term: u64,
    /// Term of its last entry.
    pub last_term: u64,
    /// End of its log.
    pub end: u64,
}

/// Answer to a message.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Reply {
    /// Term of the answering instance.
    pub term: u64,
    /// Whether the entries were taken or the vote was given.
    pub granted: bool,
    /// Entries the answering instance holds.
    pub held: usize,
}

type Link = Framed<TcpStream, LengthDelimitedCodec>;

async fn connect(peer: &Peer) -> Option<Link> {
    let stream = timeout(REPLY_TIMEOUT, TcpStream::connect(peer.address))
        .await
        .ok()?
        .ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Framed::new(stream, LengthDelimitedCodec::new()))
}

async fn ask(link: &mut Link, message: &Message) -> Option<Reply> {
    let bytes = serde_json::to_vec(message).ok()?;
    link.send(Bytes::from(bytes)).await.ok()?;
    let frame = timeout(REPLY_TIMEOUT, link.next()).await.ok()??.ok()?;
    match serde_json::from_slice(&frame).ok()? {
        Message::Reply(reply) => Some(reply),
        _ => None,
    }
}

/// Asks one peer for its vote.
pub async fn ask_vote(peer: &Peer, request: VoteRequest) -> Option<Reply> {
    let mut link = connect(peer).await?;
    ask(&mut link, &Message::Vote(request)).await
}

/// Ships the log to one peer while this instance leads.
pub async fn ship(instance: Arc<Instance>, peer: Peer) {
    let mut changed = instance.state.subscribe();
    loop {
        let Some(mut link) = connect(&peer).await else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        let mut next = instance.state.lock().log.len();
        let mut current_term = 0;
        loop {
            let message = {
                let core = instance.state.lock();
                if core.term != current_term {
                    current_term = core.term;
                    next = core.log.len();
                }
                (core.role != Role::Follower && !core.cut).then(|| append_from(&core, next))
            };
            let Some((append, length)) = message else {
                tokio::time::sleep(HEARTBEAT).await;
                continue;
            };
            let sent_term = append.term;
            let count = append.entries.len();
            changed.mark_unchanged();
            let Some(reply) = ask(&mut link, &Message::Append(append)).await else {
                tokio::time::sleep(RECONNECT_PAUSE).await;
                break;
            };
            next = learn(&instance, &peer, sent_term, reply, next, count);
            if next >= length {
                await_news(&instance, &mut changed, next, sent_term).await;
            }
        }
    }
}

/// Waits for an entry beyond `next`, a change of term, or the next heartbeat.
/// Other changes, such as another peer's reply, are no reason to send.
async fn await_news(instance: &Instance, changed: &mut watch::Receiver<u64>, next: usize, term: u64) {
    let heartbeat = tokio::time::Instant::now() + HEARTBEAT;
    loop {
        {
            let core = instance.state.lock();
            if core.log.len() > next || core.term != term {
                return;
            }
        }
        if !matches!(timeout_at(heartbeat, changed.changed()).await, Ok(Ok(()))) {
            return;
        }
    }
}

fn append_from(core: &super::log_state::Core, next: usize) -> (Append, usize) {
    let next = next.min(core.log.len());
    let previous = next.checked_sub(1).map(|index| &core.log[index]);
    let until = core.log.len().min(next + ENTRIES_PER_MESSAGE);
    let append = Append {
        term: core.term,
        history: core.history.clone(),
        previous: next,
        previous_term: previous.map_or(0, |entry| entry.term),
        previous_end: previous.map_or(0, |entry| entry.end),
        entries: core.log[next..until].to_vec(),
    };
    (append, core.log.len())
}

/// Takes in a peer's reply; returns the next entry to send.
fn learn(instance: &Instance, peer: &Peer, sent_term: u64, reply: Reply, next: usize, count: usize) -> usize {
    let mut core = instance.state.lock();
    if core.cut || core.term != sent_term {
        return next;
    }
    if reply.term > core.term {
        core.follow(reply.term);
        return next;
    }
    if !reply.granted {
        return reply.held.min(next.saturating_sub(1));
    }
    core.matched.insert(peer.name.clone(), next + count);
    core.adopted.insert(peer.name.clone());
    let opens =
        core.role == Role::Opening && 1 + core.adopted.len() >= majority(instance.settings.peers.len());
    drop(core);
    if opens {
        open(instance, sent_term);
    }
    instance.state.notify();
    next + count
}

/// Begins to accept writes, with everything received replayed.
fn open(instance: &Instance, term: u64) {
    database::replay_all(instance);
    let mut core = instance.state.lock();
    if core.role == Role::Opening && core.term == term && core.applied == core.log.len() {
        core.role = Role::Leader;
        core.alone = false;
        core.opened_at_ms = millwind_node::clock::unix_millis();
        log::info!(
            "event=primary_opened instance={} term={term}",
            instance.settings.name
        );
    }
}

/// Answers other instances.
pub async fn serve(listener: TcpListener, instance: Arc<Instance>) {
    while let Ok((stream, _)) = listener.accept().await {
        let instance = instance.clone();
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let mut link = Framed::new(stream, LengthDelimitedCodec::new());
            while let Some(Ok(frame)) = link.next().await {
                let Ok(message) = serde_json::from_slice::<Message>(&frame) else {
                    return;
                };
                let Some(reply) = answer(&instance, message) else {
                    return;
                };
                let Ok(bytes) = serde_json::to_vec(&Message::Reply(reply)) else {
                    return;
                };
                if link.send(Bytes::from(bytes)).await.is_err() {
                    return;
                }
            }
        });
    }
}

fn answer(instance: &Instance, message: Message) -> Option<Reply> {
    if instance.state.lock().cut {
        return None;
    }
    let reply = match message {
        Message::Append(append) => take(instance, append),
        Message::Vote(request) => vote(instance, &request),
        Message::Reply(_) => return None,
    };
    instance.state.notify();
    Some(reply)
}

fn take(instance: &Instance, append: Append) -> Reply {
    let mut core = instance.state.lock();
    let refused = |core: &super::log_state::Core| Reply {
        term: core.term,
        granted: false,
        held: core.log.len(),
    };
    if append.term < core.term {
        return refused(&core);
    }
    core.follow(append.term);
    core.heard_leader = Instant::now();
    let fits = match append.previous {
        0 => true,
        count => core
            .log
            .get(count - 1)
            .is_some_and(|entry| entry.term == append.previous_term && entry.end == append.previous_end),
    };
    if !fits {
        return refused(&core);
    }
    // With the first word of a new term, whatever the leader lacks is dropped:
    // from then on this log is the leader's, and its term may be shown.
    if core.log_term() < append.term {
        let kept = append.previous + common(&core.log[append.previous..], &append.entries);
        core.truncate(kept);
    }
    for (offset, entry) in append.entries.iter().enumerate() {
        let index = append.previous + offset;
        if core
            .log
            .get(index)
            .is_some_and(|held| held.term == entry.term && held.end == entry.end)
        {
            continue;
        }
        core.truncate(index);
        core.log.push(entry.clone());
        core.received.push(Instant::now());
    }
    core.history = append.history;
    core.full_member = true;
    Reply {
        term: core.term,
        granted: true,
        held: core.log.len(),
    }
}

fn common(held: &[Entry], sent: &[Entry]) -> usize {
    held.iter()
        .zip(sent)
        .take_while(|(left, right)| left.term == right.term && left.end == right.end)
        .count()
}

fn vote(instance: &Instance, request: &VoteRequest) -> Reply {
    let mut core = instance.state.lock();
    let newer_log = (request.last_term, request.end) >= (core.last_entry_term(), core.end());
    let granted = core.full_member && request.term > core.term && request.term > core.voted_term && newer_log;
    if request.term > core.term {
        core.follow(request.term);
    }
    if granted {
        core.voted_term = request.term;
        core.heard_leader = Instant::now();
    }
    Reply {
        term: core.term,
        granted,
        held: core.log.len(),
    }
}
