//! Who a session's caller is, by the configuration in force: a key may be taken
//! away, or given to another tenant, while its sessions are open.

use std::sync::Arc;

use log::info;
use millwind_core::data_residency::AllowedRegions;
use millwind_core::error_kind::ErrorKind;

use super::Session;
use crate::answer::Refusal;
use crate::backend::ConnectionUser;
use crate::catalog::{ConfigSnapshot, Database};

/// The terms on which a statement runs.
#[derive(Debug, Clone)]
pub(super) struct Terms {
    /// The database that the session is on.
    pub(super) database: Arc<Database>,
    /// On whose behalf it runs.
    pub(super) user: ConnectionUser,
    /// Regions in which it may run, by the terms of both.
    pub(super) regions: AllowedRegions,
}

impl Session {
    /// The terms that are in force now.
    pub(super) fn terms_in_force(&self) -> Result<Terms, Refusal> {
        let Some(config) = self.engine.directory.config() else {
            return Err(Refusal::new(ErrorKind::NotServing, "no configuration yet"));
        };
        let database = config.databases.get(&self.database).cloned();
        let database = database.ok_or_else(|| Refusal::new(ErrorKind::UnknownTenant, &self.database))?;
        let user = self.user_in_force(&config, &database)?;
        let regions = regions_in_force(&config, &database, &user);
        Ok(Terms {
            database,
            user,
            regions,
        })
    }

    /// On whose behalf the caller's statements run. Callers of a public database
    /// need no key; one that shows a tenant's is that tenant all the same.
    fn user_in_force(&self, config: &ConfigSnapshot, database: &Database) -> Result<ConnectionUser, Refusal> {
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

    /// Refuses a statement whose caller's key was taken away. An open transaction
    /// whose key is no longer its tenant's is rolled back first: nothing of it is
    /// kept, and its caller is told so.
    pub(super) fn check_caller(&mut self) -> Result<(), Refusal> {
        self.check_transaction();
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
        self.user_in_force(&config, database).map(drop)
    }

    /// Rolls an open transaction back whose key is no longer its tenant's.
    pub(super) fn check_transaction(&mut self) {
        let Some(config) = self.engine.directory.config() else {
            return;
        };
        let Some((database, user)) = self.transaction_terms() else {
            return;
        };
        if self.user_in_force(&config, &database).as_ref() != Ok(&user) {
            self.log_withdrawn(config.version, "transaction");
            self.abandon_transaction("the caller's key was taken away");
        }
    }

    /// Whether the session must end: its caller's key was taken away, and no
    /// transaction is left to be answered for.
    pub(super) fn has_ended(&self) -> bool {
        if self.transaction.is_some() {
            return false;
        }
        let Some(config) = self.engine.directory.config() else {
            return false;
        };
        let Some(database) = config.databases.get(&self.database) else {
            return false;
        };
        let has_ended = self.user_in_force(&config, database).is_err();
        if has_ended {
            self.log_withdrawn(config.version, "session");
        }
        has_ended
    }

    fn log_withdrawn(&self, config_version: u64, what: &str) {
        if self.engine.request_log.admit() {
            info!(
                "event=key_withdrawn session={} database={} ended={what} config_version={config_version}",
                self.number, self.database
            );
        }
    }
}

/// Regions that both the database and the tenant allow.
fn regions_in_force(config: &ConfigSnapshot, database: &Database, user: &ConnectionUser) -> AllowedRegions {
    let tenants = config.tenants.as_ref();
    let of_tenant = user
        .tenant()
        .and_then(|tenant| tenants?.allowed_regions.get(tenant));
    match of_tenant {
        Some(of_tenant) => database.allowed_regions.intersection(of_tenant),
        None => database.allowed_regions.clone(),
    }
}
