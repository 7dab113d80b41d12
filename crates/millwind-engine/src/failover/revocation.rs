//! Before a promotion, where promotions don't fence: closes the old leader's
//! term, and makes sure that nobody counts on it any more.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use log::info;
use millwind_core::Instant;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::lead_permit::{DRAIN_MS, Revocation, may_promote};
use millwind_core::position::Term;
use millwind_store::Store;
use millwind_wire::exchange::{ExchangeReply, ExchangeRequest, TermClosing};

use super::Monitor;
use crate::clock;
use crate::statement::Command;
use crate::term_closing;

/// A node answers within this time, in milliseconds: it may let its statements
/// end first, and its answer crosses regions twice.
const ANSWER_MS: u64 = DRAIN_MS + 100;
/// Between two rounds of questions to the nodes that have not answered.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// A successor catches up with a leader that gets no new statements within this
/// time, in milliseconds: several times what a network between regions takes.
const CATCH_UP_MS: u64 = 800;
/// Between two looks at how far a successor is.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(20);

/// A term that was closed by this node.
pub(super) struct ClosedTerm {
    /// The group.
    pub group: GroupName,
    /// The term.
    pub term: Term,
    /// Its leader, where it is known.
    pub leader: Option<InstanceName>,
    /// The replica that will take over.
    pub successor: InstanceName,
    /// The old leader still serves, so that its commits need not be lost.
    pub is_live: bool,
    /// The token under which it was closed.
    pub token: u64,
}

impl<S: Store + 'static> Monitor<S> {
    /// Returns once nobody counts on the leader of a closed term; false if
    /// another node has taken over the duty meanwhile.
    pub(super) async fn revoke(self: &Arc<Self>, closed: &ClosedTerm) -> bool {
        let started = clock::now();
        let mut has_stepped_down = false;
        let mut is_complete = self.read_nodes().await;
        let mut life = self.life_of(closed.leader.as_ref());
        if closed.is_live {
            has_stepped_down = self.hand_over(closed).await;
        }
        let mut answered = BTreeSet::new();
        let since = self.closed_since(closed);
        loop {
            let life_now = self.life_of(closed.leader.as_ref());
            if life_now != life {
                // A process that begins anew has forgotten that it stepped down.
                has_stepped_down = false;
                life = life_now;
            }
            if !has_stepped_down {
                has_stepped_down = self.ask_round(closed, true, &mut answered).await;
            }
            if !is_complete {
                is_complete = self.read_nodes().await;
            }
            let missing = self.missing(&answered);
            // Before the nodes are read, at least one may be unknown.
            let revocation = Revocation {
                closed: since,
                missing: missing.len() + usize::from(!is_complete),
                has_stepped_down,
            };
            if may_promote(clock::now(), &revocation) {
                self.note_end(closed, started, &revocation);
                return self.duties.held_token(&closed.group) == Some(closed.token);
            }
            if self.duties.held_token(&closed.group) != Some(closed.token) {
                info!(
                    "event=revocation_left group={} term={}",
                    closed.group, closed.term
                );
                return false;
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    /// Reads from the store which nodes are registered: one that registers later
    /// has heard of the closed term; false if the store gave no answer.
    async fn read_nodes(&self) -> bool {
        let registry = &self.engine.registry;
        let Ok(listing) = self.duties.list(registry.prefix()).await else {
            return false;
        };
        registry.apply(listing.entries);
        true
    }

    /// When this node knew that the term is closed.
    fn closed_since(&self, closed: &ClosedTerm) -> Instant {
        let terms = self.engine.directory.closed_terms(&closed.group);
        terms.closed_since(closed.term).unwrap_or_else(clock::now)
    }

    fn note_end(&self, closed: &ClosedTerm, started: Instant, revocation: &Revocation) {
        if revocation.missing > 0 && !revocation.has_stepped_down {
            self.engine.metrics.permits_waited_out.inc();
        }
        info!(
            "event=permits_revoked group={} term={} leader={} stepped_down={} missing={} ms={}",
            closed.group,
            closed.term,
            closed.leader.as_ref().map_or("none", InstanceName::as_str),
            revocation.has_stepped_down,
            revocation.missing,
            clock::now().millis_since(started)
        );
    }

    /// The other nodes that may hold permits and have not handed them back.
    fn missing(&self, answered: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
        let own = self.engine.settings.peer_address;
        let mut missing = self.engine.registry.possible_permit_holders();
        missing.retain(|address| *address != own && !answered.contains(address));
        missing
    }

    /// Nodes that have handed their permits back and may have told the leader to step
    /// down since: they do that after they have answered. Where this node does not
    /// reach the leader itself it hears of it from them alone; else it waits until
    /// all permits have run out (3 s of a group without a leader after the end of a
    /// partition, from the log of a day on 71 machines).
    fn witnesses(&self, group: &GroupName, answered: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
        let mut watchers = self.engine.watcher_addresses(group);
        watchers.retain(|address| answered.contains(address));
        watchers
    }

    /// Asks this node and all others that have not answered for their permits;
    /// true if the old leader has told one of them that it leads no longer.
    async fn ask_round(
        &self,
        closed: &ClosedTerm,
        steps_down: bool,
        answered: &mut BTreeSet<SocketAddr>,
    ) -> bool {
        let Some(record) = self.duties.document(&closed.group) else {
            return false;
        };
        let closing = TermClosing {
            group: closed.group.0.clone(),
            term: closed.term.0,
            leader: closed
                .leader
                .as_ref()
                .map_or_else(String::new, |leader| leader.0.clone()),
            steps_down: u8::from(steps_down),
            record,
        };
        let request = ExchangeRequest::CloseTerm(closing.clone());
        let mut asked = self.missing(answered);
        if steps_down {
            asked.extend(self.witnesses(&closed.group, answered));
        }
        let limit = Duration::from_millis(ANSWER_MS);
        let questions = asked.iter().map(|address| async {
            let reply = self.engine.peers.ask_apart(*address, &request, limit).await;
            (*address, reply)
        });
        let own = term_closing::return_permit(&self.engine, &closing);
        let (mut has_stepped_down, replies) = futures::future::join(own, join_all(questions)).await;
        for (address, reply) in replies {
            if let Ok(ExchangeReply::TermClosed {
                has_stepped_down: told,
            }) = reply
            {
                answered.insert(address);
                has_stepped_down |= told == 1;
            }
        }
        has_stepped_down
    }

    /// Hands the lead over without a loss: no node sends the leader anything new,
    /// what runs ends, the successor catches up, the leader steps down.
    async fn hand_over(&self, closed: &ClosedTerm) -> bool {
        let directory = &self.engine.directory;
        let leader = closed
            .leader
            .as_ref()
            .and_then(|leader| directory.instance(leader));
        let Some(leader) = leader else { return false };
        let mut answered = BTreeSet::new();
        self.ask_round(closed, false, &mut answered).await;
        let deadline = clock::now().plus_millis(CATCH_UP_MS);
        let status = term_closing::ask_status(&self.engine, &leader.record, Command::Status).await;
        if let Some(status) = status {
            self.await_received(closed, status.received, deadline).await;
        }
        let status = term_closing::step_down(&self.engine, &leader.record, closed.term).await;
        if let Some(status) = status {
            self.await_received(closed, status.received, deadline).await;
        }
        status.is_some()
    }

    /// Waits until the successor has received `position`.
    async fn await_received(
        &self,
        closed: &ClosedTerm,
        position: millwind_core::position::Position,
        deadline: Instant,
    ) {
        let Some(successor) = self.engine.directory.instance(&closed.successor) else {
            return;
        };
        while clock::now() < deadline {
            let status = term_closing::ask_status(&self.engine, &successor.record, Command::Status).await;
            if status.is_some_and(|status| status.received >= position) {
                return;
            }
            tokio::time::sleep(CATCH_UP_PAUSE).await;
        }
        info!(
            "event=successor_behind group={} instance={} position={position}",
            closed.group, closed.successor
        );
    }
}
