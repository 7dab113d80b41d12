//! Closes the term of the old leader before a promotion, if promotions do not fence it, and
//! waits until no node relies on that leader.

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

use super::FailoverMonitor;
use crate::clock;
use crate::statement::Command;
use crate::term_closing;

/// Timeout for the answer of a node, in milliseconds. The node may wait for its running
/// statements to end, and the exchange may cross regions.
const RESPONSE_TIMEOUT_MS: u64 = DRAIN_MS + 100;
/// Interval between requests to the nodes that have not answered.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time for a successor to catch up with a leader that gets no new statements, in milliseconds;
/// several round trips between regions.
const CATCH_UP_TIMEOUT_MS: u64 = 800;
/// Time for the nodes to make an old leader step down where promotions fence it, in
/// milliseconds; a few round trips between regions.
const STEP_DOWN_LIMIT_MS: u64 = 300;
/// Interval between requests to make an old leader step down.
const STEP_DOWN_INTERVAL: Duration = Duration::from_millis(40);
/// Interval between position queries to the successor.
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A term that this node has closed.
pub(super) struct ClosedTerm {
    pub group: GroupName,
    pub term: Term,
    /// The leader of the term, if known.
    pub leader: Option<InstanceName>,
    /// The replica that will take over.
    pub successor: InstanceName,
    /// Whether the old leader still serves, so that its commits can be preserved.
    pub is_leader_serving: bool,
    /// The fencing token under which the term was closed.
    pub token: u64,
}

impl<S: Store + 'static> FailoverMonitor<S> {
    /// Returns true once no node relies on the leader of the closed term, or false if another
    /// node has become the failover owner in the meantime.
    pub(super) async fn revoke_permits(self: &Arc<Self>, closed: &ClosedTerm) -> bool {
        let started = clock::now();
        let mut has_stepped_down = false;
        let mut has_all_nodes = self.refresh_nodes().await;
        let mut incarnation = self.incarnation_of(closed.leader.as_ref());
        if closed.is_leader_serving {
            has_stepped_down = self.hand_over(closed).await;
        }
        let mut answered = BTreeSet::new();
        let closed_at = self.closed_since(closed);
        loop {
            let current_incarnation = self.incarnation_of(closed.leader.as_ref());
            if current_incarnation != incarnation {
                // A restarted leader has lost its step-down.
                has_stepped_down = false;
                incarnation = current_incarnation;
            }
            if !has_stepped_down {
                has_stepped_down = self.request_term_closing(closed, true, &mut answered).await;
            }
            if !has_all_nodes {
                has_all_nodes = self.refresh_nodes().await;
            }
            let missing = self.outstanding_nodes(&answered);
            // Until the registered nodes have been read, at least one may be unknown.
            let revocation = Revocation {
                closed: closed_at,
                missing: missing.len() + usize::from(!has_all_nodes),
                has_stepped_down,
            };
            if may_promote(clock::now(), &revocation) {
                self.record_revoked(closed, started, &revocation);
                return self.ownership.held_token(&closed.group) == Some(closed.token);
            }
            if self.ownership.held_token(&closed.group) != Some(closed.token) {
                info!(
                    "event=revocation_left group={} term={}",
                    closed.group, closed.term
                );
                return false;
            }
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
    }

    /// Reads the registered nodes from the store. A node that registers later already knows the
    /// closed term. Returns false if the store did not answer.
    async fn refresh_nodes(&self) -> bool {
        let registry = &self.engine.registry;
        let Ok(listing) = self.ownership.list(registry.prefix()).await else {
            return false;
        };
        registry.apply(listing.entries);
        true
    }

    /// Returns when this node learned that the term is closed.
    fn closed_since(&self, closed: &ClosedTerm) -> Instant {
        let terms = self.engine.directory.closed_terms(&closed.group);
        terms.closed_since(closed.term).unwrap_or_else(clock::now)
    }

    fn record_revoked(&self, closed: &ClosedTerm, started: Instant, revocation: &Revocation) {
        if revocation.missing > 0 && !revocation.has_stepped_down {
            self.engine.metrics.permits_waited_out.inc();
        }
        let holders = self.engine.registry.permit_holders();
        info!(
            "event=permits_revoked group={} term={} leader={} stepped_down={} holders={} departed={} missing={} ms={}",
            closed.group,
            closed.term,
            closed.leader.as_ref().map_or("none", InstanceName::as_str),
            revocation.has_stepped_down,
            holders.addresses.len(),
            holders.departed,
            revocation.missing,
            clock::now().millis_since(started)
        );
    }

    /// Returns the addresses of other nodes that may hold permits and have not returned them.
    fn outstanding_nodes(&self, answered: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
        let own = self.engine.settings.peer_address;
        let mut missing = self.engine.registry.permit_holders().addresses;
        missing.retain(|address| *address != own && !answered.contains(address));
        missing
    }

    /// Returns the watchers of the group that have returned their permits. A watcher tells the
    /// leader to step down after its answer, so it must be asked again for the result. If this
    /// node cannot reach the leader itself, it would otherwise wait until all permits expire.
    /// In one run that left a group without a leader for 3 s after the end of a partition.
    fn answered_watchers(&self, group: &GroupName, answered: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
        let mut watchers = self.engine.watcher_addresses(group);
        watchers.retain(|address| answered.contains(address));
        watchers
    }

    /// Gives up the permits of this node and asks all nodes that have not answered to return
    /// theirs. Returns true if the old leader has confirmed its step-down to one of the nodes.
    async fn request_term_closing(
        &self,
        closed: &ClosedTerm,
        steps_down: bool,
        answered: &mut BTreeSet<SocketAddr>,
    ) -> bool {
        let limit = Duration::from_millis(RESPONSE_TIMEOUT_MS);
        self.request_term_closing_within(limit, closed, steps_down, answered)
            .await
    }

    /// Like [`Self::request_term_closing`], with `limit` as the timeout for each answer.
    async fn request_term_closing_within(
        &self,
        limit: Duration,
        closed: &ClosedTerm,
        steps_down: bool,
        answered: &mut BTreeSet<SocketAddr>,
    ) -> bool {
        let Some(record) = self.ownership.document(&closed.group) else {
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
        let mut targets = self.outstanding_nodes(answered);
        if steps_down {
            targets.extend(self.answered_watchers(&closed.group, answered));
        }
        let requests = targets.iter().map(|address| async {
            let reply = self.engine.peers.ask_uncached(*address, &request, limit).await;
            (*address, reply)
        });
        let own = term_closing::return_permit(&self.engine, &closing);
        let (mut has_stepped_down, replies) = futures::future::join(own, join_all(requests)).await;
        for (address, reply) in replies {
            if let Ok(ExchangeReply::TermClosed {
                has_stepped_down: reported,
            }) = reply
            {
                answered.insert(address);
                has_stepped_down |= reported == 1;
            }
        }
        has_stepped_down
    }

    /// Asks all nodes to make the old leader step down, for at most [`STEP_DOWN_LIMIT_MS`].
    /// Otherwise it could acknowledge further commits through a replica that registers after the
    /// comparison. Returns whether a node confirms that it has stepped down; false if no node
    /// reaches it.
    pub(super) async fn step_down_old_leader(&self, closed: &ClosedTerm) -> bool {
        let started = clock::now();
        let deadline = started.plus_millis(STEP_DOWN_LIMIT_MS);
        let limit = Duration::from_millis(STEP_DOWN_LIMIT_MS / 2);
        let mut has_stepped_down = false;
        while !has_stepped_down && clock::now() < deadline {
            // Nodes tell the result of an earlier request, so all are asked again.
            let mut answered = BTreeSet::new();
            has_stepped_down = self
                .request_term_closing_within(limit, closed, true, &mut answered)
                .await;
            if !has_stepped_down {
                tokio::time::sleep(STEP_DOWN_INTERVAL).await;
            }
        }
        info!(
            "event=old_leader_told group={} term={} leader={} stepped_down={has_stepped_down} ms={}",
            closed.group,
            closed.term,
            closed.leader.as_ref().map_or("none", InstanceName::as_str),
            clock::now().millis_since(started)
        );
        has_stepped_down
    }

    /// Hands the leadership over without losing commits: nodes stop sending statements to the
    /// leader, running statements end, the successor catches up, and the leader steps down.
    /// Returns whether the leader stepped down.
    async fn hand_over(&self, closed: &ClosedTerm) -> bool {
        let directory = &self.engine.directory;
        let leader = closed
            .leader
            .as_ref()
            .and_then(|leader| directory.instance(leader));
        let Some(leader) = leader else { return false };
        let mut answered = BTreeSet::new();
        self.request_term_closing(closed, false, &mut answered).await;
        let deadline = clock::now().plus_millis(CATCH_UP_TIMEOUT_MS);
        let status = term_closing::ask_status(&self.engine, &leader.record, Command::Status).await;
        if let Some(status) = status {
            self.await_position(closed, status.received, deadline).await;
        }
        let status = term_closing::step_down(&self.engine, &leader.record, closed.term).await;
        if let Some(status) = status {
            self.await_position(closed, status.received, deadline).await;
        }
        status.is_some()
    }

    /// Waits until the successor has received `position`.
    async fn await_position(
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
            tokio::time::sleep(CATCH_UP_POLL_INTERVAL).await;
        }
        info!(
            "event=successor_behind group={} instance={} position={position}",
            closed.group, closed.successor
        );
    }
}
