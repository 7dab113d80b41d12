//! Authenticates a session's caller against the current configuration. A key may be
//! revoked, or assigned to another tenant, while sessions that use it are open.

use std::sync::Arc;

use log::info;
use millwind_core::data_residency::AllowedRegions;
use millwind_core::error_kind::ErrorKind;

use super::Session;
use crate::answer::Refusal;
use crate::backend::ConnectionUser;
use crate::catalog::{ConfigSnapshot, Database};

/// The database, identity and allowed regions that a statement runs with.
#[derive(Debug, Clone)]
pub(super) struct CallerContext {
    /// The database that the session is connected to.
    pub(super) database: Arc<Database>,
    /// The user that the statement runs as.
    pub(super) user: ConnectionUser,
    /// Regions that both the database and the tenant allow.
    pub(super) regions: AllowedRegions,
}

impl Session {
    /// Resolves the caller's database, identity and allowed regions. Fails if there is
    /// no configuration, the database is unknown or authentication fails.
    pub(super) fn caller_context(&self) -> Result<CallerContext, Refusal> {
        let Some(config) = self.engine.directory.config() else {
            return Err(Refusal::new(ErrorKind::NotServing, "no configuration yet"));
        };
        let database = config.databases.get(&self.database).cloned();
        let database = database.ok_or_else(|| Refusal::new(ErrorKind::UnknownTenant, &self.database))?;
        let user = self.authenticate(&config, &database)?;
        let regions = effective_regions(&config, &database, &user);
        Ok(CallerContext {
            database,
            user,
            regions,
        })
    }

    /// Returns the user that the caller's key identifies. A public database accepts
    /// callers without a valid key as the system user. Fails for other databases if the
    /// key belongs to no tenant.
    fn authenticate(&self, config: &ConfigSnapshot, database: &Database) -> Result<ConnectionUser, Refusal> {
        let Some(tenants) = &config.tenants else {
            return Ok(ConnectionUser::System);
        };
        let tenant = self.key.and_then(|key| tenants.by_key.get(&key));
        match tenant {
            Some(tenant) => Ok(ConnectionUser::Tenant(tenant.clone())),
            None if database.is_public => Ok(ConnectionUser::System),
            None => Err(Refusal::new(
                ErrorKind::AuthenticationFailed,
                "the key is no tenant's",
            )),
        }
    }

    /// Refuses the statement if the caller's key has been revoked. An open transaction
    /// is abandoned first, and its failure takes precedence over the refusal.
    pub(super) fn check_credentials(&mut self) -> Result<(), Refusal> {
        self.abandon_if_key_revoked();
        let Some(config) = self.engine.directory.config() else {
            return Ok(());
        };
        if self.transaction.is_some() {
            return Ok(());
        }
        let Some(database) = config.databases.get(&self.database) else {
            // The statement itself is refused if it needs the database.
            return Ok(());
        };
        self.authenticate(&config, database).map(drop)
    }

    /// Abandons the open transaction if the caller's key no longer identifies the user
    /// that began it.
    pub(super) fn abandon_if_key_revoked(&mut self) {
        let Some(config) = self.engine.directory.config() else {
            return;
        };
        let Some((database, user)) = self.transaction_identity() else {
            return;
        };
        if self.authenticate(&config, &database).as_ref() != Ok(&user) {
            self.log_key_revoked(config.version, "transaction");
            self.abandon_transaction("the caller's key was taken away");
        }
    }

    /// Returns whether the session must be closed because the caller's key was revoked
    /// and no failed transaction remains to be reported.
    pub(super) fn must_close(&self) -> bool {
        if self.transaction.is_some() {
            return false;
        }
        let Some(config) = self.engine.directory.config() else {
            return false;
        };
        let Some(database) = config.databases.get(&self.database) else {
            return false;
        };
        let must_close = self.authenticate(&config, database).is_err();
        if must_close {
            self.log_key_revoked(config.version, "session");
        }
        must_close
    }

    fn log_key_revoked(&self, config_version: u64, ended: &str) {
        if self.engine.request_log.admit() {
            info!(
                "event=key_withdrawn session={} database={} ended={ended} config_version={config_version}",
                self.session_id, self.database
            );
        }
    }
}

/// Returns the regions that both the database and the tenant allow.
fn effective_regions(config: &ConfigSnapshot, database: &Database, user: &ConnectionUser) -> AllowedRegions {
    let tenants = config.tenants.as_ref();
    let tenant_regions = user
        .tenant()
        .and_then(|tenant| tenants?.allowed_regions.get(tenant));
    match tenant_regions {
        Some(tenant_regions) => database.allowed_regions.intersection(tenant_regions),
        None => database.allowed_regions.clone(),
    }
}
