//! Explains how a tenant's statement would be routed, without running it.

use millwind_core::classify::{StatementKind, classify};
use millwind_core::ids::TenantName;
use millwind_core::routing::{ReadRequest, Reason, order_for_read};
use serde::{Deserialize, Serialize};

use super::Gateway;
use super::request::{self, Action};
use super::residency::is_allowed;
use crate::clock;
use crate::decisions::CandidateReason;

/// How a statement would be handled.
#[derive(Debug, Serialize, Deserialize)]
pub struct Explanation {
    /// `serving`, or why the node would reject the statement.
    pub node: String,
    /// Kinds of the statements.
    pub kinds: Vec<String>,
    /// `read`, `write`, `begin`, `local`, or why the statement is not supported.
    pub action: String,
    /// Request class; empty for none.
    pub class: String,
    /// Time limit from arrival to response, in milliseconds.
    pub window_ms: u64,
    /// Whether the proxy may run the statement again after sending it.
    pub may_repeat: bool,
    /// Instances in the order in which they would be tried for a session without a
    /// token, with reasons.
    pub candidates: Vec<CandidateReason>,
}

impl Gateway {
    /// Explains a statement; returns `None` if the tenant does not exist.
    pub fn explain(&self, tenant: &str, statement: &str) -> Option<Explanation> {
        let config = self.control.config();
        let settings = config.tenants.get(&TenantName::from(tenant))?;
        let classified = classify(statement);
        let action = request::choose_action(&classified, true);
        let is_read = action == Action::Read;
        let class = settings.class(classified.tag("class"), is_read, &classified.tables);
        let node = match self.control.view().may_serve(clock::now()) {
            Ok(()) => "serving".to_owned(),
            Err(reason) => reason.to_string(),
        };
        Some(Explanation {
            node,
            kinds: classified.kinds.iter().map(kind_name).collect(),
            action: action_name(&action),
            class: class.map(|class| class.name.clone()).unwrap_or_default(),
            window_ms: class.map_or(settings.default_window_ms, |class| class.window_ms),
            may_repeat: is_read || class.is_some_and(|class| class.may_repeat),
            candidates: self.candidates(settings, is_read),
        })
    }

    fn candidates(
        &self,
        settings: &millwind_core::tenant::TenantSettings,
        is_read: bool,
    ) -> Vec<CandidateReason> {
        let config = self.control.config();
        let Some(spec) = config.groups.get(&settings.group) else {
            return Vec::new();
        };
        if !is_read {
            let primary = self.directory.primary(spec);
            return primary
                .map(|known| CandidateReason {
                    reason: match is_allowed(settings, spec, &known.instance) {
                        true => format!("primary of term {}", known.term),
                        false => Reason::RegionNotAllowed.to_string(),
                    },
                    instance: known.instance.0,
                })
                .into_iter()
                .collect();
        }
        let request = ReadRequest {
            token: None,
            max_wait_ms: settings.replica_wait_ms,
            policy: settings.read_policy,
            regions: settings.allowed_regions.clone(),
        };
        order_for_read(
            clock::now(),
            &self.locality,
            &self.directory.hints(spec),
            &request,
        )
        .into_iter()
        .map(|choice| CandidateReason {
            instance: choice.instance.0,
            reason: choice.reason.to_string(),
        })
        .collect()
    }
}

fn kind_name(kind: &StatementKind) -> String {
    match kind {
        StatementKind::Read => "read",
        StatementKind::Write => "write",
        StatementKind::Begin { .. } => "begin",
        StatementKind::Commit => "commit",
        StatementKind::Rollback => "rollback",
        StatementKind::SetProxy { .. } | StatementKind::SetSession { .. } => "set",
        StatementKind::ShowProxy { .. } => "show",
        StatementKind::Unsupported => "unsupported",
        StatementKind::Empty => "empty",
    }
    .to_owned()
}

fn action_name(action: &Action) -> String {
    match action {
        Action::Read => "read".to_owned(),
        Action::Write => "write".to_owned(),
        Action::Begin => "begin".to_owned(),
        Action::Local => "local".to_owned(),
        Action::Unsupported(detail) => format!("unsupported: {detail}"),
    }
}
