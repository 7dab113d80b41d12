//! Executes a batch: selects instances, sends the batch to their owners, and after
//! a failure retries, resolves the outcome or returns an error.

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

use super::request::RequestOptions;
use super::{Gateway, Owner, TenantRuntime, directory, residency};
use crate::clock;
use crate::owner::LOCAL_LINK;
use crate::peer::{CallError, OnSilence};
use crate::pg::STATUS_IDLE;

/// Delay between two rounds of attempts.
const RETRY_DELAY: Duration = Duration::from_millis(15);
/// Time added to the request deadline when waiting for a peer's reply.
const REPLY_TIMEOUT_MARGIN: Duration = Duration::from_millis(250);

/// A back-end connection reserved for an open transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PinnedConnection {
    /// Identifier of the connection at the owner.
    pub id: u64,
    /// Instance that the connection belongs to.
    pub instance: InstanceName,
    /// Peer address of the owner; `None` if this node is the owner.
    pub owner: Option<SocketAddr>,
}

/// The response of an instance to a batch.
#[derive(Debug)]
pub struct BatchResponse {
    /// Encoded backend messages.
    pub messages: Vec<u8>,
    /// Transaction status byte.
    pub transaction_status: u8,
    /// Position that later reads of the session must include.
    pub position: Option<Position>,
    /// Connection of the open transaction, if any.
    pub pin: Option<PinnedConnection>,
    /// Instance that executed the batch.
    pub instance: InstanceName,
    /// Whether the instance was the primary.
    pub primary: bool,
}

/// The error returned to the client for a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestError {
    /// Kind of error reported to the client.
    pub kind: ErrorKind,
    /// Human-readable detail.
    pub detail: String,
}

impl RequestError {
    /// Creates an error of `kind`.
    pub fn new(kind: ErrorKind, detail: impl ToString) -> Self {
        RequestError {
            kind,
            detail: detail.to_string(),
        }
    }
}

struct AttemptError {
    kind: ErrorKind,
    progress: RequestProgress,
    /// The owner could not be reached; the instance itself may be healthy.
    is_owner_unreachable: bool,
    detail: String,
}

/// Executes one batch for a session.
#[derive(Debug)]
pub struct Dispatch<'a> {
    /// The node's gateway.
    pub gateway: &'a Arc<Gateway>,
    /// The tenant's settings.
    pub tenant: &'a TenantSettings,
    /// State shared by the tenant's sessions.
    pub runtime: &'a TenantRuntime,
    /// The tenant's database group.
    pub spec: Arc<GroupSpec>,
    /// Class, time limits and retry properties of the batch.
    pub options: &'a RequestOptions,
    /// Encoded frontend messages.
    pub batch: &'a [u8],
    /// Ranked candidates of the last attempt; filled only if decisions are watched.
    pub candidates: Vec<RankedCandidate>,
}

impl Dispatch<'_> {
    fn request(&self, instance: &InstanceName, intent: Intent) -> ExecuteRequest {
        let remaining = clock::time_until(self.options.deadline).as_millis();
        ExecuteRequest {
            request_id: self.gateway.links.next_request_id(),
            intent,
            tenant: self.tenant.name.0.clone(),
            group: self.spec.name.0.clone(),
            instance: instance.0.clone(),
            pin: 0,
            window_ms: u32::try_from(remaining).unwrap_or(u32::MAX),
            weight: self.tenant.weight,
            value: self.options.value,
            token: WirePosition::default(),
            staleness_ms: self.options.staleness_ms,
            wait_ms: 0,
            request_key: String::new(),
            batch: self.batch.to_vec(),
        }
    }

    fn owner_of(&self, instance: &InstanceName) -> Result<Owner, AttemptError> {
        let member = self.spec.instances.iter().find(|member| member.name == *instance);
        member
            .and_then(|member| self.gateway.owner_of(member))
            .ok_or_else(|| AttemptError {
                kind: ErrorKind::BackEndUnreachable,
                progress: RequestProgress::NotSent,
                is_owner_unreachable: false,
                detail: "no node owns the instance".to_owned(),
            })
    }

    /// Fails if the request contains statement text and `node` is outside the allowed
    /// regions. Requests without statement text may go to any node.
    fn check_forwarding_region(&self, node: &NodeName, request: &ExecuteRequest) -> Result<(), AttemptError> {
        if request.batch.is_empty() || residency::may_forward_to(self.gateway, self.tenant, node) {
            return Ok(());
        }
        let regions = &self.tenant.allowed_regions;
        Err(AttemptError {
            kind: ErrorKind::RegionNotAllowed,
            progress: RequestProgress::NotSent,
            is_owner_unreachable: false,
            detail: format!("owner node {node} is outside the allowed regions: {regions}"),
        })
    }

    /// Fails if the primary is outside the allowed regions.
    fn check_primary_region(&self, instance: &InstanceName) -> Result<(), RequestError> {
        if residency::is_allowed(self.tenant, &self.spec, instance) {
            return Ok(());
        }
        let detail = format!(
            "primary {instance} is outside the allowed regions: {}",
            self.tenant.allowed_regions
        );
        Err(RequestError::new(ErrorKind::RegionNotAllowed, detail))
    }

    /// Sends a request to the current owner of the instance.
    async fn send(
        &self,
        instance: &InstanceName,
        request: ExecuteRequest,
    ) -> Result<BatchResponse, AttemptError> {
        match self.owner_of(instance)? {
            Owner::Local => self.send_to(instance, None, request).await,
            Owner::Peer { node, address } => {
                self.check_forwarding_region(&node, &request)?;
                let sent = self.send_to(instance, Some(address), request).await;
                if sent.as_ref().is_err_and(|error| error.is_owner_unreachable) {
                    self.gateway.unreachable_nodes.mark(&node);
                }
                sent
            }
        }
    }

    /// Sends a request to `owner`, or to this node if `None`, and waits for the reply.
    async fn send_to(
        &self,
        instance: &InstanceName,
        owner: Option<SocketAddr>,
        request: ExecuteRequest,
    ) -> Result<BatchResponse, AttemptError> {
        let limit = clock::time_until(self.options.deadline) + REPLY_TIMEOUT_MARGIN;
        let reply = match owner {
            None => self.send_local(request).await,
            Some(address) => {
                let id = request.request_id;
                let patience = match request.intent {
                    Intent::Read | Intent::Describe | Intent::Floor => OnSilence::FailCall,
                    _ => OnSilence::KeepWaiting,
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
        let reply = reply.map_err(|error| AttemptError {
            kind: ErrorKind::BackEndUnreachable,
            progress: match error {
                CallError::NotSent => RequestProgress::NotSent,
                CallError::Lost => RequestProgress::Sent,
            },
            is_owner_unreachable: error == CallError::NotSent,
            detail: format!("owner of {instance}: {error}"),
        })?;
        self.gateway.directory.record_reply(&self.spec, instance, &reply);
        response_from_reply(instance, owner, reply)
    }

    /// Executes on a separate task, so that a client disconnect does not abort it.
    async fn send_local(&self, request: ExecuteRequest) -> Result<ExecuteReply, CallError> {
        let owner = self.gateway.owner.clone();
        tokio::spawn(async move { owner.execute(LOCAL_LINK, request).await })
            .await
            .map_err(|_| CallError::Lost)
    }

    /// Runs a read on the best-ranked instance that has reached `token`.
    pub async fn read(&mut self, token: Option<Position>) -> Result<BatchResponse, RequestError> {
        self.deposit_retry();
        let mut attempts = 0;
        loop {
            let candidates = self.rank_candidates(token);
            if is_position_discarded(&candidates) {
                return Err(RequestError::new(
                    ErrorKind::SessionDiscarded,
                    "a later term discarded the session's position",
                ));
            }
            if all_regions_disallowed(&candidates) {
                let detail = format!("allowed regions: {}", self.tenant.allowed_regions);
                return Err(RequestError::new(ErrorKind::RegionNotAllowed, detail));
            }
            let error = match self.read_in_order(&candidates, token, &mut attempts).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let over_budget = attempts > 0 && !self.withdraw_retry();
            let is_final = matches!(
                error.kind,
                ErrorKind::SessionDiscarded | ErrorKind::RegionNotAllowed
            );
            if over_budget || is_final || clock::now() >= self.options.deadline {
                return Err(RequestError::new(error.kind, error.detail));
            }
            // The withdrawal above covers the first attempt of the next round.
            attempts = 0;
            self.ensure_primary_known().await?;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Tries the candidates in order while the retry budget and the deadline allow;
    /// returns the last error.
    async fn read_in_order(
        &self,
        candidates: &[RankedCandidate],
        token: Option<Position>,
        attempts: &mut u32,
    ) -> Result<BatchResponse, AttemptError> {
        let mut last = AttemptError {
            kind: ErrorKind::ReplicaBehind,
            progress: RequestProgress::NotSent,
            is_owner_unreachable: false,
            detail: "no instance is eligible for the read".to_owned(),
        };
        for choice in candidates.iter().filter(|choice| choice.reason.is_eligible()) {
            if *attempts > 0 && !self.withdraw_retry() {
                return Err(last);
            }
            *attempts += 1;
            last = match self.read_from(choice, token).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            if last.kind == ErrorKind::SessionDiscarded || clock::now() >= self.options.deadline {
                return Err(last);
            }
            self.record_attempt_failure(&choice.instance, &last);
            if last.kind == ErrorKind::NotPrimary {
                // A former primary serves no reads: it neither leads nor replays the log.
                self.gateway.directory.ban(&self.spec, &choice.instance);
            }
        }
        Err(last)
    }

    /// Waits until a primary is known; fails if none is found before the deadline.
    async fn ensure_primary_known(&self) -> Result<(), RequestError> {
        let found = directory::wait_for_primary(self.gateway, &self.spec, self.options.deadline).await;
        match found {
            Some(_) => Ok(()),
            None => Err(RequestError::new(
                ErrorKind::NoPrimary,
                "no primary was found and no replica could serve the read",
            )),
        }
    }

    fn rank_candidates(&mut self, token: Option<Position>) -> Vec<RankedCandidate> {
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
        let candidates = order_for_read(clock::now(), &self.gateway.locality, &hints, &request);
        if self.gateway.decisions.is_watched() {
            self.candidates = candidates.clone();
        }
        candidates
    }

    /// Returns how long a replica may wait to catch up: at most half of the remaining
    /// time.
    fn replica_wait_ms(&self) -> u64 {
        let remaining = clock::time_until(self.options.deadline).as_millis() as u64;
        self.tenant.replica_wait_ms.min(remaining / 2)
    }

    async fn read_from(
        &self,
        choice: &RankedCandidate,
        token: Option<Position>,
    ) -> Result<BatchResponse, AttemptError> {
        let mut request = self.request(&choice.instance, Intent::Read);
        request.token = to_wire_position(token);
        request.wait_ms = self.replica_wait_ms() as u32;
        self.send(&choice.instance, request).await
    }

    fn record_attempt_failure(&self, instance: &InstanceName, error: &AttemptError) {
        match error.kind {
            // The instance may be healthy: the retry goes to the next owner.
            ErrorKind::BackEndUnreachable if error.is_owner_unreachable => {}
            ErrorKind::BackEndUnreachable => self.gateway.directory.record_failure(&self.spec, instance),
            ErrorKind::NotPrimary | ErrorKind::NoPrimary => {
                self.gateway.directory.clear_primary(&self.spec, instance);
            }
            _ => {}
        }
    }

    fn deposit_retry(&self) {
        self.runtime
            .retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .deposit();
    }

    fn withdraw_retry(&self) -> bool {
        self.runtime
            .retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .withdraw()
    }

    /// Returns the primary's confirmed position, the minimum for a session without a
    /// token.
    pub async fn primary_position(&self) -> Result<Option<Position>, RequestError> {
        let probe = Dispatch {
            gateway: self.gateway,
            tenant: self.tenant,
            runtime: self.runtime,
            spec: self.spec.clone(),
            options: self.options,
            batch: &[],
            candidates: Vec::new(),
        };
        let response = probe.execute_on_primary(Intent::Floor, None).await?;
        Ok(response.position)
    }

    /// Runs `intent` on the primary: a write, the start of a transaction, or a position
    /// query.
    pub async fn execute_on_primary(
        &self,
        intent: Intent,
        token: Option<Position>,
    ) -> Result<BatchResponse, RequestError> {
        self.deposit_retry();
        loop {
            let primary_wait_deadline = self.options.primary_wait_deadline;
            let Some(primary) =
                directory::wait_for_primary(self.gateway, &self.spec, primary_wait_deadline).await
            else {
                return Err(RequestError::new(
                    ErrorKind::NoPrimary,
                    "no primary was found in time",
                ));
            };
            if intent != Intent::Floor {
                self.check_primary_region(&primary.instance)?;
            }
            let mut request = self.request(&primary.instance, intent);
            request.token = to_wire_position(token);
            if intent == Intent::Write {
                request.request_key = self.options.request_key.clone();
            }
            let error = match self.send(&primary.instance, request).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            self.record_attempt_failure(&primary.instance, &error);
            if error.kind == ErrorKind::OutcomeUnknown {
                self.gateway
                    .directory
                    .clear_primary(&self.spec, &primary.instance);
            }
            match self.next_step(intent, &error) {
                NextStep::Report(kind) => return Err(RequestError::new(kind, error.detail)),
                NextStep::ResolveOutcome => return self.resolve_outcome(&error.detail).await,
                NextStep::Retry if clock::now() >= primary_wait_deadline => {
                    return Err(RequestError::new(error.kind, error.detail));
                }
                NextStep::Retry => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    fn next_step(&self, intent: Intent, error: &AttemptError) -> NextStep {
        // These errors are permanent, or the owner returned them after waiting.
        let is_final = matches!(
            error.kind,
            ErrorKind::DeadlineTooShort
                | ErrorKind::QueueFull
                | ErrorKind::InvalidSetting
                | ErrorKind::AnswerTooLarge
                | ErrorKind::RequestFenced
                | ErrorKind::SessionDiscarded
                | ErrorKind::RegionNotAllowed
        );
        if is_final {
            return NextStep::Report(error.kind);
        }
        match (intent, error.progress) {
            // The write was not executed, so it is safe to retry on the new primary.
            (_, RequestProgress::ConfirmedNotApplied) if error.kind == ErrorKind::NotPrimary => {
                NextStep::Retry
            }
            // A transaction that was only begun is rolled back when its connection closes.
            (Intent::Begin, RequestProgress::Sent) => NextStep::Retry,
            (Intent::Floor, _) => NextStep::Retry,
            _ => next_step_after_failure(error.progress, self.options.traits, error.kind),
        }
    }

    /// Continues or commits an open transaction.
    pub async fn execute_in_transaction(
        &self,
        pin: &PinnedConnection,
        intent: Intent,
    ) -> Result<BatchResponse, RequestError> {
        let mut request = self.request(&pin.instance, intent);
        request.pin = pin.id;
        if intent == Intent::Commit {
            request.request_key = self.options.request_key.clone();
        }
        let error = match self.send_to(&pin.instance, pin.owner, request).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        let may_have_committed = intent == Intent::Commit && error.progress == RequestProgress::Sent;
        if !may_have_committed {
            return Err(RequestError::new(ErrorKind::TransactionLost, error.detail));
        }
        if self.options.traits.has_request_id {
            return self.resolve_outcome(&error.detail).await;
        }
        Err(RequestError::new(ErrorKind::OutcomeUnknown, error.detail))
    }

    /// Tells the owner to release a pinned connection.
    pub fn release_pinned(gateway: &Gateway, pin: &PinnedConnection) {
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

    /// Looks up the request id on the current primary to find out whether the request
    /// was committed.
    async fn resolve_outcome(&self, detail: &str) -> Result<BatchResponse, RequestError> {
        self.gateway.metrics.resolved.inc();
        while clock::now() < self.options.deadline {
            let found = directory::wait_for_primary(self.gateway, &self.spec, self.options.deadline).await;
            let Some(primary) = found else {
                break;
            };
            match self.resolve_on(&primary.instance).await {
                Some(ResolveResult::Committed { position, batch }) => {
                    return Ok(BatchResponse {
                        messages: batch,
                        transaction_status: STATUS_IDLE,
                        position: Some(Position::new(position.term, position.log_position)),
                        pin: None,
                        instance: primary.instance,
                        primary: true,
                    });
                }
                Some(ResolveResult::Fenced) => {
                    return Err(RequestError::new(ErrorKind::RequestFenced, detail));
                }
                Some(ResolveResult::Unsettled) | None => {
                    self.gateway
                        .directory
                        .clear_primary(&self.spec, &primary.instance);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        warn!(
            "event=outcome_unknown tenant={} request_key={}",
            self.tenant.name, self.options.request_key
        );
        Err(RequestError::new(ErrorKind::OutcomeUnknown, detail))
    }

    async fn resolve_on(&self, instance: &InstanceName) -> Option<ResolveResult> {
        let remaining = clock::time_until(self.options.deadline);
        let request = ResolveRequest {
            request_id: self.gateway.links.next_request_id(),
            group: self.spec.name.0.clone(),
            instance: instance.0.clone(),
            request_key: self.options.request_key.clone(),
            window_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
        };
        match self.owner_of(instance).ok()? {
            Owner::Local => Some(self.gateway.owner.resolve(request).await.result),
            Owner::Peer { address, .. } => {
                let id = request.request_id;
                let message = PeerMessage::Resolve(request);
                match self
                    .gateway
                    .links
                    .call(
                        address,
                        id,
                        message,
                        remaining + REPLY_TIMEOUT_MARGIN,
                        OnSilence::FailCall,
                    )
                    .await
                {
                    Ok(PeerMessage::ResolveReply(reply)) => Some(reply.result),
                    _ => None,
                }
            }
        }
    }
}

/// Returns whether all candidates are outside the tenant's allowed regions; false if
/// there are none.
fn all_regions_disallowed(candidates: &[RankedCandidate]) -> bool {
    let mut reasons = candidates.iter().map(|choice| choice.reason);
    !candidates.is_empty() && reasons.all(|reason| reason == Reason::RegionNotAllowed)
}

/// Returns whether some candidate discarded the session's position and no candidate
/// is eligible.
fn is_position_discarded(candidates: &[RankedCandidate]) -> bool {
    let discarded = candidates.iter().any(|choice| choice.reason == Reason::Discarded);
    discarded && candidates.iter().all(|choice| !choice.reason.is_eligible())
}

fn to_wire_position(position: Option<Position>) -> WirePosition {
    position.map_or(WirePosition::default(), |position| WirePosition {
        term: position.term.0,
        log_position: position.log_position.0,
    })
}

fn response_from_reply(
    instance: &InstanceName,
    owner: Option<SocketAddr>,
    reply: ExecuteReply,
) -> Result<BatchResponse, AttemptError> {
    match reply.result {
        ExecuteResult::Answered {
            position,
            transaction_status,
            pin,
            batch,
        } => Ok(BatchResponse {
            messages: batch,
            transaction_status,
            position: (position.term > 0).then(|| Position::new(position.term, position.log_position)),
            pin: (pin > 0).then(|| PinnedConnection {
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
        } => Err(AttemptError {
            kind: ErrorKind::from_code(kind).unwrap_or(ErrorKind::OutcomeUnknown),
            progress: match progress {
                0 => RequestProgress::NotSent,
                2 => RequestProgress::ConfirmedNotApplied,
                _ => RequestProgress::Sent,
            },
            is_owner_unreachable: false,
            detail,
        }),
    }
}
