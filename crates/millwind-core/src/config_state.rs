//! The configuration in force on a node: documents with store revisions that only
//! increase.

use std::collections::BTreeMap;
use std::sync::Arc;

use millwind_wire::control::{Digest, WireDocument};
use serde::de::DeserializeOwned;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{GroupName, InstanceName, TenantName};
use crate::tenant::{GroupSpec, Template, Tenant, TenantError, TenantSettings};

/// The kind of a configuration document, which is also the first part of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DocumentKind {
    /// A database group.
    Group,
    /// A template with the default settings of tenants.
    Template,
    /// A tenant.
    Tenant,
    /// An entry of the platform's machine list; see [`Machine`].
    Machine,
}

impl DocumentKind {
    /// All kinds.
    pub const ALL: [DocumentKind; 4] = [
        DocumentKind::Group,
        DocumentKind::Template,
        DocumentKind::Tenant,
        DocumentKind::Machine,
    ];

    /// Name of the kind in keys, commands and URLs.
    pub const fn name(self) -> &'static str {
        match self {
            DocumentKind::Group => "group",
            DocumentKind::Template => "template",
            DocumentKind::Tenant => "tenant",
            DocumentKind::Machine => "machine",
        }
    }

    /// Returns the kind with this name; `None` if there is none.
    pub fn from_name(name: &str) -> Option<DocumentKind> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// Returns the key of the document of this kind called `name`.
    pub fn key(self, name: &str) -> String {
        format!("{}/{name}", self.name())
    }
}

/// An entry of the platform's machine list.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Machine {
    /// Name of the node or instance that runs on the machine.
    pub name: String,
    /// IP address and port of the node's peer listener; empty for an instance.
    #[serde(default)]
    pub address: String,
    /// True if the platform is about to remove the machine.
    #[serde(default)]
    pub leaving: bool,
}

/// Error returned when a delta cannot be applied.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum DeltaError {
    /// The delta starts after the revision in force.
    #[error("delta starts at revision {from}, but only revision {in_force} is in force")]
    Gap {
        /// Revision after which the delta is complete.
        from: u64,
        /// Revision in force.
        in_force: u64,
    },
}

/// Error returned when a configuration document is invalid.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The document is not valid TOML, or a field is unknown, missing or of the wrong type.
    #[error("{key}: {source}")]
    Parse {
        /// Key of the document.
        key: String,
        /// Cause and position of the error.
        source: Box<toml::de::Error>,
    },
    /// A value violates a constraint.
    #[error("{key}: {source}")]
    InvalidValue {
        /// Key of the document.
        key: String,
        /// The violated constraint.
        source: Box<TenantError>,
    },
    /// The document refers to another document that does not exist.
    #[error("{key}: {field} names {name:?}, which does not exist")]
    MissingReference {
        /// Key of the document.
        key: String,
        /// Field that contains the reference.
        field: &'static str,
        /// Name of the missing document.
        name: String,
    },
    /// The name in the document differs from the name in its key.
    #[error("{key}: the name in the document is {found:?}, which does not match its key")]
    NameMismatch {
        /// Key of the document.
        key: String,
        /// Name found in the document.
        found: String,
    },
}

/// The documents in force, including markers of deleted ones, and their newest revision.
#[derive(Debug, Clone, Default)]
pub struct ConfigState {
    revision: u64,
    hash: u64,
    documents: BTreeMap<String, WireDocument>,
}

impl ConfigState {
    /// Returns the revision in force; zero before the first change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision in force and a hash of the keys and revisions of all documents,
    /// for comparison with other nodes.
    pub fn digest(&self) -> Digest {
        Digest {
            revision: self.revision,
            hash: self.hash,
        }
    }

    /// Returns the document stored under `key` unless it is missing or deleted.
    pub fn document(&self, key: &str) -> Option<&WireDocument> {
        self.documents.get(key).filter(|document| document.deleted == 0)
    }

    /// Returns all documents of `kind` that are not deleted.
    pub fn of_kind(&self, kind: DocumentKind) -> impl Iterator<Item = &WireDocument> {
        let prefix = kind.key("");
        self.documents
            .values()
            .filter(move |document| document.deleted == 0 && document.key.starts_with(&prefix))
    }

    /// Applies the changes between the revisions `from` and `to` and returns whether the
    /// revision or a document changed. Fails if `from` is later than the revision in force.
    ///
    /// Nodes rely on the configuration never reverting: a document is replaced only by one
    /// with a higher revision, and the revision in force never decreases.
    pub fn apply(&mut self, from: u64, to: u64, documents: &[WireDocument]) -> Result<bool, DeltaError> {
        if from > self.revision {
            return Err(DeltaError::Gap {
                from,
                in_force: self.revision,
            });
        }
        let mut is_changed = to > self.revision;
        for document in documents {
            is_changed |= self.replace_if_newer(document);
        }
        self.revision = self.revision.max(to);
        Ok(is_changed)
    }

    /// Applies the store's full content at revision `to` and returns whether the revision or
    /// a document changed. Documents missing from the content are marked as deleted.
    pub fn apply_snapshot(&mut self, to: u64, documents: &[WireDocument]) -> bool {
        if to < self.revision {
            return false;
        }
        let removed: Vec<WireDocument> = self
            .documents
            .values()
            .filter(|current| current.deleted == 0 && current.revision <= to)
            .filter(|current| documents.iter().all(|document| document.key != current.key))
            .map(|current| WireDocument {
                revision: to,
                deleted: 1,
                body: String::new(),
                ..current.clone()
            })
            .collect();
        let mut is_changed = to > self.revision;
        for document in removed.iter().chain(documents) {
            is_changed |= self.replace_if_newer(document);
        }
        self.revision = to;
        is_changed
    }

    /// Stores `document` and returns true unless a version at least as new is present.
    fn replace_if_newer(&mut self, document: &WireDocument) -> bool {
        let current = self.documents.get(&document.key);
        if current.is_some_and(|current| current.revision >= document.revision) {
            return false;
        }
        if let Some(current) = current {
            self.hash ^= document_hash(current);
        }
        self.hash ^= document_hash(document);
        self.documents.insert(document.key.clone(), document.clone());
        true
    }

    /// Returns the documents that changed after `revision`, including deleted ones.
    pub fn changes_since(&self, revision: u64) -> Vec<WireDocument> {
        self.documents
            .values()
            .filter(|document| document.revision > revision)
            .cloned()
            .collect()
    }

    /// Parses all documents and returns the resulting configuration and the errors found.
    /// A tenant whose document is invalid keeps its settings from `previous`.
    pub fn resolve(&self, previous: &ResolvedConfig) -> (ResolvedConfig, Vec<DocumentError>) {
        let mut errors = Vec::new();
        let mut resolved = ResolvedConfig {
            revision: self.revision,
            ..ResolvedConfig::default()
        };
        self.resolve_groups(&mut resolved, &mut errors);
        self.resolve_machines(&mut resolved, &mut errors);
        let mut templates = BTreeMap::new();
        for document in self.of_kind(DocumentKind::Template) {
            match parse_template(document) {
                Ok(template) => {
                    templates.insert(template.name.clone(), template);
                }
                Err(error) => errors.push(error),
            }
        }
        self.resolve_tenants(&templates, previous, &mut resolved, &mut errors);
        (resolved, errors)
    }

    fn resolve_groups(&self, resolved: &mut ResolvedConfig, errors: &mut Vec<DocumentError>) {
        for document in self.of_kind(DocumentKind::Group) {
            match parse_group(document) {
                Ok(group) => {
                    resolved.groups.insert(group.name.clone(), Arc::new(group));
                }
                Err(error) => errors.push(error),
            }
        }
    }

    fn resolve_machines(&self, resolved: &mut ResolvedConfig, errors: &mut Vec<DocumentError>) {
        for document in self.of_kind(DocumentKind::Machine) {
            match parse::<Machine>(document) {
                Ok(machine) => {
                    resolved.machines.insert(machine.name.clone(), machine);
                }
                Err(error) => errors.push(error),
            }
        }
    }

    fn resolve_tenants(
        &self,
        templates: &BTreeMap<String, Template>,
        previous: &ResolvedConfig,
        resolved: &mut ResolvedConfig,
        errors: &mut Vec<DocumentError>,
    ) {
        for document in self.of_kind(DocumentKind::Tenant) {
            let settings =
                parse_tenant(document).and_then(|tenant| tenant_settings(document, &tenant, templates));
            match settings {
                Ok(settings) => {
                    resolved.tenants.insert(settings.name.clone(), Arc::new(settings));
                }
                Err(error) => {
                    let name = document.key.trim_start_matches("tenant/");
                    if let Some(kept) = previous.tenants.get(&TenantName::from(name)) {
                        resolved.tenants.insert(kept.name.clone(), kept.clone());
                    }
                    errors.push(error);
                }
            }
        }
    }

    /// Checks `document` before it is stored. Fails if the document would introduce an error
    /// or if a tenant would refer to a group that does not exist.
    pub fn check_change(&self, document: &WireDocument) -> Result<(), DocumentError> {
        let mut changed = self.clone();
        let proposed = WireDocument {
            revision: u64::MAX,
            ..document.clone()
        };
        changed.replace_if_newer(&proposed);
        let (current, mut before) = self.resolve(&ResolvedConfig::default());
        let (resolved, mut after) = changed.resolve(&ResolvedConfig::default());
        before.extend(current.region_errors());
        after.extend(resolved.region_errors());
        if after.len() > before.len()
            && let Some(error) = after
                .into_iter()
                .find(|error| before.iter().all(|old| old.to_string() != error.to_string()))
        {
            return Err(error);
        }
        for tenant in resolved.tenants.values() {
            if !resolved.groups.contains_key(&tenant.group) {
                return Err(DocumentError::MissingReference {
                    key: DocumentKind::Tenant.key(tenant.name.as_str()),
                    field: "group",
                    name: tenant.group.to_string(),
                });
            }
        }
        Ok(())
    }
}

fn document_hash(document: &WireDocument) -> u64 {
    xxh3_64_with_seed(document.key.as_bytes(), document.revision)
}

fn parse<T: DeserializeOwned>(document: &WireDocument) -> Result<T, DocumentError> {
    toml::from_str(&document.body).map_err(|source| DocumentError::Parse {
        key: document.key.clone(),
        source: Box::new(source),
    })
}

fn check_name_matches_key(document: &WireDocument, found: &str) -> Result<(), DocumentError> {
    let expected = document.key.split_once('/').map_or("", |(_, name)| name);
    if expected == found {
        return Ok(());
    }
    Err(DocumentError::NameMismatch {
        key: document.key.clone(),
        found: found.to_owned(),
    })
}

fn invalid_value(document: &WireDocument) -> impl FnOnce(TenantError) -> DocumentError + use<> {
    let key = document.key.clone();
    move |source| DocumentError::InvalidValue {
        key,
        source: Box::new(source),
    }
}

fn parse_group(document: &WireDocument) -> Result<GroupSpec, DocumentError> {
    let group: GroupSpec = parse(document)?;
    check_name_matches_key(document, group.name.as_str())?;
    group.check().map_err(invalid_value(document))?;
    Ok(group)
}

fn parse_template(document: &WireDocument) -> Result<Template, DocumentError> {
    let template: Template = parse(document)?;
    check_name_matches_key(document, &template.name)?;
    template.check().map_err(invalid_value(document))?;
    Ok(template)
}

fn parse_tenant(document: &WireDocument) -> Result<Tenant, DocumentError> {
    let tenant: Tenant = parse(document)?;
    check_name_matches_key(document, tenant.name.as_str())?;
    Ok(tenant)
}

fn tenant_settings(
    document: &WireDocument,
    tenant: &Tenant,
    templates: &BTreeMap<String, Template>,
) -> Result<TenantSettings, DocumentError> {
    let template = templates
        .get(&tenant.template)
        .ok_or_else(|| DocumentError::MissingReference {
            key: document.key.clone(),
            field: "template",
            name: tenant.template.clone(),
        })?;
    template.settings_for(tenant).map_err(invalid_value(document))
}

/// The parsed configuration that applies to requests.
#[derive(Debug, Clone, Default)]
pub struct ResolvedConfig {
    /// Revision of the documents from which the configuration was parsed.
    pub revision: u64,
    /// Database groups by name.
    pub groups: BTreeMap<GroupName, Arc<GroupSpec>>,
    /// Settings of the tenants by name.
    pub tenants: BTreeMap<TenantName, Arc<TenantSettings>>,
    /// The platform's machine list, by name of the node or instance.
    pub machines: BTreeMap<String, Machine>,
}

impl ResolvedConfig {
    /// Returns an error for each tenant whose allowed regions are empty or include a region
    /// without an instance of its group. Such a change is rejected. If it is in force
    /// nevertheless, the tenant's statements are refused instead of falling back to the
    /// previous regions.
    fn region_errors(&self) -> Vec<DocumentError> {
        let error_of = |settings: &Arc<TenantSettings>| {
            let group = self.groups.get(&settings.group)?;
            let source = Box::new(settings.check_regions(group).err()?);
            let key = DocumentKind::Tenant.key(settings.name.as_str());
            Some(DocumentError::InvalidValue { key, source })
        };
        self.tenants.values().filter_map(error_of).collect()
    }

    /// Whether operators or the platform have marked an instance as leaving.
    pub fn is_leaving(&self, group: &GroupName, instance: &InstanceName) -> bool {
        let by_operator = self
            .groups
            .get(group)
            .and_then(|spec| spec.instances.iter().find(|entry| entry.name == *instance))
            .is_some_and(|entry| entry.leaving);
        let by_platform = self
            .machines
            .get(instance.as_str())
            .is_some_and(|machine| machine.leaving);
        by_operator || by_platform
    }
}
