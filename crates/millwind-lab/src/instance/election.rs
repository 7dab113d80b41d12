//! Elections among stand-in instances.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;

use super::Instance;
use super::log_state::{Role, Start, majority};
use super::replication::{VoteRequest, ask_vote};

/// A leader that is silent this long is taken for dead.
const LEADER_SILENCE: Duration = Duration::from_millis(600);
/// Each rank waits this much longer, so that two seldom stand at once.
const RANK_DELAY: Duration = Duration::from_millis(150);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Stands for election whenever the leader is silent for too long.
pub async fn run(instance: Arc<Instance>) {
    let patience = LEADER_SILENCE + RANK_DELAY * instance.settings.rank as u32;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let stands = {
            let core = instance.state.lock();
            core.role == Role::Follower
                && core.full_member
                && !core.cut
                && core.heard_leader.elapsed() > patience
        };
        if stands {
            stand(&instance).await;
        }
    }
}

/// Stands for election once.
pub async fn stand(instance: &Arc<Instance>) {
    let request = {
        let mut core = instance.state.lock();
        core.term += 1;
        core.voted_term = core.term;
        core.heard_leader = Instant::now();
        VoteRequest {
            term: core.term,
            last_term: core.last_entry_term(),
            end: core.end(),
        }
    };
    let votes = instance
        .settings
        .peers
        .iter()
        .map(|peer| ask_vote(peer, request.clone()));
    let replies = join_all(votes).await;
    let mut core = instance.state.lock();
    let highest = replies
        .iter()
        .flatten()
        .map(|reply| reply.term)
        .max()
        .unwrap_or(0);
    if highest > core.term {
        core.follow(highest);
        return;
    }
    let granted = 1 + replies.iter().flatten().filter(|reply| reply.granted).count();
    let still_standing = core.term == request.term && core.role == Role::Follower && !core.cut;
    if still_standing && granted >= majority(instance.settings.peers.len()) {
        core.role = Role::Opening;
        core.matched.clear();
        core.adopted.clear();
        let start = core.end();
        core.history.push(Start {
            term: request.term,
            start,
        });
        log::info!(
            "event=election_won instance={} term={}",
            instance.settings.name,
            request.term
        );
    }
    drop(core);
    instance.state.notify();
}
