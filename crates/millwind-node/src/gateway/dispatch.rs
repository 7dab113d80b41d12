//! Runs a batch: chooses instances, sends it to their owners, and follows each
//! failure with what may truthfully be done about it.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use log::warn;
use millwind_core::error_kind::ErrorKind;
use millwind_core::ids::{InstanceName, NodeName};
use millwind_core::outcome::{NextStep, RequestProgress, next_step_after_failure};
use millwind_core::position::Position;
use millwind_core::routing::{RankedCandidate, ReadRequest, Reason, order_for_read};
use millwind_core::tenant::{GroupSpec, TenantSettings};
use millwind_wire::{
    CancelRequest, ExecuteReply, ExecuteRequest, ExecuteResult, Intent, PeerMessage, ResolveRequest,
    ResolveResult, WirePosition,
};

use super::request::Terms;
use super::{Gateway, Owner, TenantRuntime, directory, residency};
use crate::clock;
use crate::owner::LOCAL_LINK;
use crate::peer::{CallError, Patience};
use crate::pg::STATUS_IDLE;

/// Between two tries while an instance cannot serve.
const RETRY_PAUSE: Duration = Duration::from_millis(15);
/// Added to a request's window when waiting for a peer's reply.
const REPLY_SLACK: Duration = Duration::from_millis(250);

/// A transaction's connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pin {
    /// Number at the owner.
    pub id: u64,
    /// Instance it leads to.
    pub instance: InstanceName,
    /// Owner that holds it, by peer address; none when it is this node.
    pub owner: Option<SocketAddr>,
}

/// A batch that was answered.
#[derive(Debug)]
pub struct Outcome {
    /// Encoded backend messages.
    pub messages: Vec<u8>,
    /// Transaction status byte.
    pub transaction_status: u8,
    /// Position the session must see from now on.
    pub position: Option<Position>,
    /// Open transaction, if one is open.
    pub pin: Option<Pin>,
    /// Instance that answered.
    pub instance: InstanceName,
    /// Whether it was the primary.
    pub primary: bool,
}

/// A batch that was given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// What the caller is told.
    pub kind: ErrorKind,
    /// Detail for people.
    pub detail: String,
}

impl Refusal {
    /// A refusal of `kind`.
    pub fn new(kind: ErrorKind, detail: impl ToString) -> Self {
        Refusal {
            kind,
            detail: detail.to_string(),
        }
    }
}

struct Failed {
    kind: ErrorKind,
    progress: RequestProgress,
    /// The owner itself could not be reached; the instance may be well.
    is_unreached: bool,
    detail: String,
}

/// One batch on its way.
#[derive(Debug)]
pub struct Dispatch<'a> {
    /// The node's gateway.
    pub gateway: &'a Arc<Gateway>,
    /// The tenant's settings.
    pub tenant: &'a TenantSettings,
    /// What sessions of the tenant share.
    pub runtime: &'a TenantRuntime,
    /// The group.
    pub spec: Arc<GroupSpec>,
    /// Terms of service.
    pub terms: &'a Terms,
    /// Encoded frontend messages.
    pub batch: &'a [u8],
    /// Candidates as they were weighed, for watchers.
    pub weighed: Vec<RankedCandidate>,
}

impl Dispatch<'_> {
    fn request(&self, instance: &InstanceName, intent: Intent) -> ExecuteRequest {
        let left = clock::until(self.terms.deadline).as_millis();
        ExecuteRequest {
            request_id: self.gateway.links.next_request_id(),
            intent,
            tenant: self.tenant.name.0.clone(),
            group: self.spec.name.0.clone(),
            instance: instance.0.clone(),
            pin: 0,
            window_ms: u32::try_from(left).unwrap_or(u32::MAX),
            weight: self.tenant.weight,
            value: self.terms.value,
            token: WirePosition::default(),
            staleness_ms: self.terms.staleness_ms,
            wait_ms: 0,
            request_key: String::new(),
            batch: self.batch.to_vec(),
        }
    }

    fn owner_of(&self, instance: &InstanceName) -> Result<Owner, Failed> {
        let entry = self.spec.instances.iter().find(|entry| entry.name == *instance);
        entry
            .and_then(|entry| self.gateway.owner_of(entry))
            .ok_or_else(|| Failed {
                kind: ErrorKind::BackEndUnreachable,
                progress: RequestProgress::NotSent,
                is_unreached: false,
                detail: "no node owns the instance".to_owned(),
            })
    }

    /// Refuses to pass a statement's text to a node outside of the allowed regions; what
    /// carries no text may go anywhere.
    fn check_carrier(&self, node: &NodeName, request: &ExecuteRequest) -> Result<(), Failed> {
        if request.batch.is_empty() || residency::may_carry(self.gateway, self.tenant, node) {
            return Ok(());
        }
        let regions = &self.tenant.allowed_regions;
        Err(Failed {
            kind: ErrorKind::RegionNotAllowed,
            progress: RequestProgress::NotSent,
            is_unreached: false,
            detail: format!("owner {node} stands outside of allowed regions {regions}"),
        })
    }

    /// Refuses what needs a primary that stands outside of the allowed regions.
    fn check_primary(&self, instance: &InstanceName) -> Result<(), Refusal> {
        if residency::is_allowed(self.tenant, &self.spec, instance) {
            return Ok(());
        }
        let detail = format!(
            "primary {instance}, allowed regions: {}",
            self.tenant.allowed_regions
        );
        Err(Refusal::new(ErrorKind::RegionNotAllowed, detail))
    }

    /// Gives a request to the present owner of its instance.
    async fn send(&self, instance: &InstanceName, request: ExecuteRequest) -> Result<Outcome, Failed> {
        match self.owner_of(instance)? {
            Owner::This => self.send_to(instance, None, request).await,
            Owner::Peer { node, address } => {
                self.check_carrier(&node, &request)?;
                let sent = self.send_to(instance, Some(address), request).await;
                if sent.as_ref().is_err_and(|failed| failed.is_unreached) {
                    self.gateway.avoidance.avoid(&node);
                }
                sent
            }
        }
    }

    /// Gives a request to this owner, and waits for the reply.
    async fn send_to(
        &self,
        instance: &InstanceName,
        owner: Option<SocketAddr>,
        request: ExecuteRequest,
    ) -> Result<Outcome, Failed> {
        let limit = clock::until(self.terms.deadline) + REPLY_SLACK;
        let reply = match owner {
            None => self.send_local(request).await,
            Some(address) => {
                let id = request.request_id;
                let patience = match request.intent {
                    Intent::Read | Intent::Describe | Intent::Floor => Patience::WhileHeard,
                    _ => Patience::UntilLimit,
                };
                let message = PeerMessage::Execute(request);
                match self
                    .gateway
                    .links
                    .call(address, id, message, limit, patience)
                    .await
                {
                    Ok(PeerMessage::ExecuteReply(reply)) => Ok(reply),
                    Ok(_) => Err(CallError::Lost),
                    Err(error) => Err(error),
                }
            }
        };
        let reply = reply.map_err(|error| Failed {
            kind: ErrorKind::BackEndUnreachable,
            progress: match error {
                CallError::NotSent => RequestProgress::NotSent,
                CallError::Lost => RequestProgress::Sent,
            },
            is_unreached: error == CallError::NotSent,
            detail: format!("owner of {instance}: {error}"),
        })?;
        self.gateway.directory.learn(&self.spec, instance, &reply);
        outcome(instance, owner, reply)
    }

    /// Runs on its own task, so that a caller who leaves cuts nothing short.
    async fn send_local(&self, request: ExecuteRequest) -> Result<ExecuteReply, CallError> {
        let owner = self.gateway.owner.clone();
        tokio::spawn(async move { owner.execute(LOCAL_LINK, request).await })
            .await
            .map_err(|_| CallError::Lost)
    }

    /// Runs a read on the best instance that covers `token`.
    pub async fn read(&mut self, token: Option<Position>) -> Result<Outcome, Refusal> {
        self.deposit();
        let mut attempts = 0;
        loop {
            let order = self.read_order(token);
            if is_discarded_everywhere(&order) {
                return Err(Refusal::new(
                    ErrorKind::SessionDiscarded,
                    "a later term discarded it",
                ));
            }
            if is_excluded_everywhere(&order) {
                let detail = format!("allowed regions: {}", self.tenant.allowed_regions);
                return Err(Refusal::new(ErrorKind::RegionNotAllowed, detail));
            }
            let failed = match self.read_in_order(&order, token, &mut attempts).await {
                Ok(outcome) => return Ok(outcome),
                Err(failed) => failed,
            };
            let over_budget = attempts > 0 && !self.withdraw();
            let settled = matches!(
                failed.kind,
                ErrorKind::SessionDiscarded | ErrorKind::RegionNotAllowed
            );
            if over_budget || settled || clock::now() >= self.terms.deadline {
                return Err(Refusal::new(failed.kind, failed.detail));
            }
            // The next round's first try is paid for: paid twice, it hid what had failed.
            attempts = 0;
            self.await_some_primary().await?;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Tries the candidates one after another while the retry budget and the
    /// window allow; returns the last failure.
    async fn read_in_order(
        &self,
        order: &[RankedCandidate],
        token: Option<Position>,
        attempts: &mut u32,
    ) -> Result<Outcome, Failed> {
        let mut last = Failed {
            kind: ErrorKind::ReplicaBehind,
            progress: RequestProgress::NotSent,
            is_unreached: false,
            detail: "no instance may serve the read".to_owned(),
        };
        for choice in order.iter().filter(|choice| choice.reason.is_eligible()) {
            if *attempts > 0 && !self.withdraw() {
                return Err(last);
            }
            *attempts += 1;
            last = match self.read_on(choice, token).await {
                Ok(outcome) => return Ok(outcome),
                Err(failed) => failed,
            };
            if last.kind == ErrorKind::SessionDiscarded || clock::now() >= self.terms.deadline {
                return Err(last);
            }
            self.note_failure(&choice.instance, &last);
            if last.kind == ErrorKind::NotPrimary {
                // An old primary: neither leads nor replays.
                self.gateway.directory.ban(&self.spec, &choice.instance);
            }
        }
        Err(last)
    }

    /// Waits for a primary if none is known; the fallback of every read.
    async fn await_some_primary(&self) -> Result<(), Refusal> {
        let found = directory::await_primary(self.gateway, &self.spec, self.terms.deadline).await;
        match found {
            Some(_) => Ok(()),
            None => Err(Refusal::new(ErrorKind::NoPrimary, "and no replica could serve")),
        }
    }

    fn read_order(&mut self, token: Option<Position>) -> Vec<RankedCandidate> {
        let mut hints = self.gateway.directory.hints(&self.spec);
        let config = self.gateway.control.config();
        for hint in &mut hints {
            hint.leaving = config.is_leaving(&self.spec.name, &hint.instance);
        }
        let request = ReadRequest {
            token,
            max_wait_ms: self.replica_wait_ms(),
            policy: self.tenant.read_policy,
            regions: self.tenant.allowed_regions.clone(),
        };
        let order = order_for_read(clock::now(), &self.gateway.locality, &hints, &request);
        if self.gateway.decisions.is_watched() {
            self.weighed = order.clone();
        }
        order
    }

    /// A read may wait for a replica for half its window at most.
    fn replica_wait_ms(&self) -> u64 {
        let left = clock::until(self.terms.deadline).as_millis() as u64;
        self.tenant.replica_wait_ms.min(left / 2)
    }

    async fn read_on(&self, choice: &RankedCandidate, token: Option<Position>) -> Result<Outcome, Failed> {
        let mut request = self.request(&choice.instance, Intent::Read);
        request.token = wire(token);
        request.wait_ms = self.replica_wait_ms() as u32;
        self.send(&choice.instance, request).await
    }

    fn note_failure(&self, instance: &InstanceName, failed: &Failed) {
        match failed.kind {
            // The next owner in order is asked at once.
            ErrorKind::BackEndUnreachable if failed.is_unreached => {}
            ErrorKind::BackEndUnreachable => self.gateway.directory.failed(&self.spec, instance),
            ErrorKind::NotPrimary | ErrorKind::NoPrimary => {
                self.gateway.directory.not_primary(&self.spec, instance);
            }
            _ => {}
        }
    }

    fn deposit(&self) {
        self.runtime
            .budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .deposit();
    }

    fn withdraw(&self) -> bool {
        self.runtime
            .budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .withdraw()
    }

    /// The primary's position now: the floor of a session without a token.
    pub async fn floor(&self) -> Result<Option<Position>, Refusal> {
        let empty = Dispatch {
            gateway: self.gateway,
            tenant: self.tenant,
            runtime: self.runtime,
            spec: self.spec.clone(),
            terms: self.terms,
            batch: &[],
            weighed: Vec::new(),
        };
        let outcome = empty.on_primary(Intent::Floor, None).await?;
        Ok(outcome.position)
    }

    /// Runs a write, or begins a transaction, on the primary.
    pub async fn on_primary(&self, intent: Intent, token: Option<Position>) -> Result<Outcome, Refusal> {
        self.deposit();
        loop {
            let hold_until = self.terms.hold_until;
            let Some(primary) = directory::await_primary(self.gateway, &self.spec, hold_until).await else {
                return Err(Refusal::new(ErrorKind::NoPrimary, "none was found in the window"));
            };
            if intent != Intent::Floor {
                self.check_primary(&primary.instance)?;
            }
            let mut request = self.request(&primary.instance, intent);
            request.token = wire(token);
            if intent == Intent::Write {
                request.request_key = self.terms.request_key.clone();
            }
            let failed = match self.send(&primary.instance, request).await {
                Ok(outcome) => return Ok(outcome),
                Err(failed) => failed,
            };
            self.note_failure(&primary.instance, &failed);
            if failed.kind == ErrorKind::OutcomeUnknown {
                self.gateway.directory.not_primary(&self.spec, &primary.instance);
            }
            match self.next_step(intent, &failed) {
                NextStep::Report(kind) => return Err(Refusal::new(kind, failed.detail)),
                NextStep::ResolveOutcome => return self.resolve(&failed.detail).await,
                NextStep::Retry if clock::now() >= hold_until => {
                    return Err(Refusal::new(failed.kind, failed.detail));
                }
                NextStep::Retry => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    fn next_step(&self, intent: Intent, failed: &Failed) -> NextStep {
        // The owner has already waited for these; waiting again helps nobody.
        let settled = matches!(
            failed.kind,
            ErrorKind::DeadlineTooShort
                | ErrorKind::QueueFull
                | ErrorKind::InvalidSetting
                | ErrorKind::AnswerTooLarge
                | ErrorKind::RequestFenced
                | ErrorKind::SessionDiscarded
                | ErrorKind::RegionNotAllowed
        );
        if settled {
            return NextStep::Report(failed.kind);
        }
        match (intent, failed.progress) {
            // An undone autocommit write has run nowhere: it is only held.
            (_, RequestProgress::ConfirmedNotApplied) if failed.kind == ErrorKind::NotPrimary => {
                NextStep::Retry
            }
            // Without a commit, a begun transaction is undone with its link.
            (Intent::Begin, RequestProgress::Sent) => NextStep::Retry,
            (Intent::Floor, _) => NextStep::Retry,
            _ => next_step_after_failure(failed.progress, self.terms.traits, failed.kind),
        }
    }

    /// Goes on in an open transaction, or commits it.
    pub async fn in_transaction(&self, pin: &Pin, intent: Intent) -> Result<Outcome, Refusal> {
        let mut request = self.request(&pin.instance, intent);
        request.pin = pin.id;
        if intent == Intent::Commit {
            request.request_key = self.terms.request_key.clone();
        }
        let failed = match self.send_to(&pin.instance, pin.owner, request).await {
            Ok(outcome) => return Ok(outcome),
            Err(failed) => failed,
        };
        let may_have_committed = intent == Intent::Commit && failed.progress == RequestProgress::Sent;
        if !may_have_committed {
            return Err(Refusal::new(ErrorKind::TransactionLost, failed.detail));
        }
        if self.terms.traits.has_request_id {
            return self.resolve(&failed.detail).await;
        }
        Err(Refusal::new(ErrorKind::OutcomeUnknown, failed.detail))
    }

    /// Frees a pinned connection whose caller has gone.
    pub fn free(gateway: &Gateway, pin: &Pin) {
        let request = CancelRequest {
            request_id: 0,
            instance: pin.instance.0.clone(),
            pin: pin.id,
        };
        match pin.owner {
            None => gateway.owner.cancel(LOCAL_LINK, &request),
            Some(address) => gateway.links.clone().send(address, PeerMessage::Cancel(request)),
        }
    }

    /// Looks the request id up on the current primary before anything is said.
    async fn resolve(&self, detail: &str) -> Result<Outcome, Refusal> {
        self.gateway.metrics.resolved.inc();
        while clock::now() < self.terms.deadline {
            let found = directory::await_primary(self.gateway, &self.spec, self.terms.deadline).await;
            let Some(primary) = found else {
                break;
            };
            match self.resolve_on(&primary.instance).await {
                Some(ResolveResult::Committed { position, batch }) => {
                    return Ok(Outcome {
                        messages: batch,
                        transaction_status: STATUS_IDLE,
                        position: Some(Position::new(position.term, position.log_position)),
                        pin: None,
                        instance: primary.instance,
                        primary: true,
                    });
                }
                Some(ResolveResult::Fenced) => {
                    return Err(Refusal::new(ErrorKind::RequestFenced, detail));
                }
                Some(ResolveResult::Unsettled) | None => {
                    self.gateway.directory.not_primary(&self.spec, &primary.instance);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
        warn!(
            "event=outcome_unknown tenant={} request_key={}",
            self.tenant.name, self.terms.request_key
        );
        Err(Refusal::new(ErrorKind::OutcomeUnknown, detail))
    }

    async fn resolve_on(&self, instance: &InstanceName) -> Option<ResolveResult> {
        let left = clock::until(self.terms.deadline);
        let request = ResolveRequest {
            request_id: self.gateway.links.next_request_id(),
            group: self.spec.name.0.clone(),
            instance: instance.0.clone(),
            request_key: self.terms.request_key.clone(),
            window_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        };
        match self.owner_of(instance).ok()? {
            Owner::This => Some(self.gateway.owner.resolve(request).await.result),
            Owner::Peer { address, .. } => {
                let id = request.request_id;
                let message = PeerMessage::Resolve(request);
                match self
                    .gateway
                    .links
                    .call(address, id, message, left + REPLY_SLACK, Patience::WhileHeard)
                    .await
                {
                    Ok(PeerMessage::ResolveReply(reply)) => Some(reply.result),
                    _ => None,
                }
            }
        }
    }
}

/// Whether the tenant's terms exclude all candidates that there are.
fn is_excluded_everywhere(order: &[RankedCandidate]) -> bool {
    let mut reasons = order.iter().map(|choice| choice.reason);
    !order.is_empty() && reasons.all(|reason| reason == Reason::RegionNotAllowed)
}

/// Whether a candidate has discarded the session's position and none is left
/// that may still have it.
fn is_discarded_everywhere(order: &[RankedCandidate]) -> bool {
    let discarded = order.iter().any(|choice| choice.reason == Reason::Discarded);
    discarded && order.iter().all(|choice| !choice.reason.is_eligible())
}

fn wire(position: Option<Position>) -> WirePosition {
    position.map_or(WirePosition::default(), |position| WirePosition {
        term: position.term.0,
        log_position: position.log_position.0,
    })
}

fn outcome(
    instance: &InstanceName,
    owner: Option<SocketAddr>,
    reply: ExecuteReply,
) -> Result<Outcome, Failed> {
    match reply.result {
        ExecuteResult::Answered {
            position,
            transaction_status,
            pin,
            batch,
        } => Ok(Outcome {
            messages: batch,
            transaction_status,
            position: (position.term > 0).then(|| Position::new(position.term, position.log_position)),
            pin: (pin > 0).then(|| Pin {
                id: pin,
                instance: instance.clone(),
                owner,
            }),
            instance: instance.clone(),
            primary: reply.primary == 1,
        }),
        ExecuteResult::Failed {
            kind,
            progress,
            detail,
        } => Err(Failed {
            kind: ErrorKind::from_code(kind).unwrap_or(ErrorKind::OutcomeUnknown),
            progress: match progress {
                0 => RequestProgress::NotSent,
                2 => RequestProgress::ConfirmedNotApplied,
                _ => RequestProgress::Sent,
            },
            is_unreached: false,
            detail,
        }),
    }
}
