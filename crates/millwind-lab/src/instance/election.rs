//! Leader election among simulated instances.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;

use super::Instance;
use super::log_state::{Role, TermStart, majority};
use super::replication::{VoteRequest, request_vote};

/// Election timeout of an instance of rank 0.
const BASE_ELECTION_TIMEOUT: Duration = Duration::from_millis(600);
/// Added to the election timeout per rank, to make split votes unlikely.
const ELECTION_TIMEOUT_PER_RANK: Duration = Duration::from_millis(150);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Starts an election whenever the election timeout passes without contact
/// from a leader.
pub async fn monitor_leader(instance: Arc<Instance>) {
    let election_timeout = BASE_ELECTION_TIMEOUT + ELECTION_TIMEOUT_PER_RANK * instance.settings.rank as u32;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let leader_timed_out = {
            let state = instance.state.lock();
            state.role == Role::Follower
                && state.full_member
                && !state.partitioned
                && state.last_leader_contact.elapsed() > election_timeout
        };
        if leader_timed_out {
            start_election(&instance).await;
        }
    }
}

/// Runs one election: requests votes for a new term and, with a majority,
/// begins the promotion of this instance.
pub async fn start_election(instance: &Arc<Instance>) {
    let request = {
        let mut state = instance.state.lock();
        state.term += 1;
        state.voted_term = state.term;
        state.last_leader_contact = Instant::now();
        VoteRequest {
            term: state.term,
            last_term: state.last_entry_term(),
            end: state.end(),
        }
    };
    let vote_requests = instance
        .settings
        .peers
        .iter()
        .map(|peer| request_vote(peer, request.clone()));
    let replies = join_all(vote_requests).await;
    let mut state = instance.state.lock();
    let highest_term = replies
        .iter()
        .flatten()
        .map(|reply| reply.term)
        .max()
        .unwrap_or(0);
    if highest_term > state.term {
        state.follow(highest_term);
        return;
    }
    let votes = 1 + replies.iter().flatten().filter(|reply| reply.granted).count();
    let still_candidate = state.term == request.term && state.role == Role::Follower && !state.partitioned;
    if still_candidate && votes >= majority(instance.settings.peers.len()) {
        state.role = Role::Promoting;
        state.replicated_lengths.clear();
        state.term_adopters.clear();
        let start = state.end();
        state.history.push(TermStart {
            term: request.term,
            start,
        });
        log::info!(
            "event=election_won instance={} term={}",
            instance.settings.name,
            request.term
        );
    }
    drop(state);
    instance.state.notify();
}
