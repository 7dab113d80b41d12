//! The configuration a node has in force: documents with store revisions,
//! which only ever move upward.

use std::collections::BTreeMap;
use std::sync::Arc;

use millwind_wire::control::{Digest, WireDocument};
use serde::de::DeserializeOwned;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{GroupName, InstanceName, TenantName};
use crate::tenant::{GroupSpec, Template, Tenant, TenantError, TenantSettings};

/// A kind of configuration document; also the first part of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DocumentKind {
    /// A database group.
    Group,
    /// A template.
    Template,
    /// A tenant.
    Tenant,
    /// An entry of the platform's machine list.
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

    /// The kind's name in keys, commands and URLs.
    pub const fn name(self) -> &'static str {
        match self {
            DocumentKind::Group => "group",
            DocumentKind::Template => "template",
            DocumentKind::Tenant => "tenant",
            DocumentKind::Machine => "machine",
        }
    }

    /// The kind with this name.
    pub fn from_name(name: &str) -> Option<DocumentKind> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// The key of the document of this kind and `name`.
    pub fn key(self, name: &str) -> String {
        format!("{}/{name}", self.name())
    }
}

/// An entry of the platform's machine list.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Machine {
    /// Name of the node or instance that runs on it.
    pub name: String,
    /// IP number and port of the node's peer listener; empty for an instance.
    #[serde(default)]
    pub address: String,
    /// True when it is about to go.
    #[serde(default)]
    pub leaving: bool,
}

/// Why a delta was not applied.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum DeltaError {
    /// The delta starts after the revision in force.
    #[error("delta starts at revision {from}, in force is {in_force}")]
    Gap {
        /// First revision the delta is complete for.
        from: u64,
        /// Revision in force.
        in_force: u64,
    },
}

/// Why a document was refused.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// Not valid TOML, or a field is unknown, missing or of the wrong type.
    #[error("{key}: {source}")]
    Toml {
        /// The document.
        key: String,
        /// What is wrong and where.
        source: Box<toml::de::Error>,
    },
    /// A value is out of range.
    #[error("{key}: {source}")]
    Range {
        /// The document.
        key: String,
        /// What is wrong.
        source: Box<TenantError>,
    },
    /// The document names another that does not exist.
    #[error("{key}: {field} names {name:?}, which does not exist")]
    Missing {
        /// The document.
        key: String,
        /// Field that names it.
        field: &'static str,
        /// The missing name.
        name: String,
    },
    /// The name inside differs from the name it is stored under.
    #[error("{key}: name inside the document is {inside:?}")]
    Name {
        /// The document.
        key: String,
        /// Name found inside.
        inside: String,
    },
}

/// Documents in force and their newest revision.
#[derive(Debug, Clone, Default)]
pub struct ConfigState {
    revision: u64,
    hash: u64,
    documents: BTreeMap<String, WireDocument>,
}

impl ConfigState {
    /// Newest revision in force; zero before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What to compare with another node.
    pub fn digest(&self) -> Digest {
        Digest {
            revision: self.revision,
            hash: self.hash,
        }
    }

    /// The document stored under `key`, unless deleted.
    pub fn document(&self, key: &str) -> Option<&WireDocument> {
        self.documents.get(key).filter(|document| document.deleted == 0)
    }

    /// All documents of a kind that are not deleted.
    pub fn of_kind(&self, kind: DocumentKind) -> impl Iterator<Item = &WireDocument> {
        let prefix = kind.key("");
        self.documents
            .values()
            .filter(move |document| document.deleted == 0 && document.key.starts_with(&prefix))
    }

    /// Applies changes; returns whether anything moved.
    ///
    /// Must hold because a configuration never reverts: a document is replaced
    /// only by one of a higher revision, and the revision only rises.
    pub fn apply(&mut self, from: u64, to: u64, documents: &[WireDocument]) -> Result<bool, DeltaError> {
        if from > self.revision {
            return Err(DeltaError::Gap {
                from,
                in_force: self.revision,
            });
        }
        let mut moved = to > self.revision;
        for document in documents {
            moved |= self.replace(document);
        }
        self.revision = self.revision.max(to);
        Ok(moved)
    }

    /// Applies the store's whole content at revision `to`: documents that are
    /// not in it any more were deleted.
    pub fn apply_snapshot(&mut self, to: u64, documents: &[WireDocument]) -> bool {
        if to < self.revision {
            return false;
        }
        let gone: Vec<WireDocument> = self
            .documents
            .values()
            .filter(|held| held.deleted == 0 && held.revision <= to)
            .filter(|held| documents.iter().all(|document| document.key != held.key))
            .map(|held| WireDocument {
                revision: to,
                deleted: 1,
                body: String::new(),
                ..held.clone()
            })
            .collect();
        let mut moved = to > self.revision;
        for document in gone.iter().chain(documents) {
            moved |= self.replace(document);
        }
        self.revision = to;
        moved
    }

    fn replace(&mut self, document: &WireDocument) -> bool {
        let held = self.documents.get(&document.key);
        if held.is_some_and(|held| held.revision >= document.revision) {
            return false;
        }
        if let Some(held) = held {
            self.hash ^= document_hash(held);
        }
        self.hash ^= document_hash(document);
        self.documents.insert(document.key.clone(), document.clone());
        true
    }

    /// The documents that changed after `revision`.
    pub fn changes_since(&self, revision: u64) -> Vec<WireDocument> {
        self.documents
            .values()
            .filter(|document| document.revision > revision)
            .cloned()
            .collect()
    }

    /// The typed configuration, taking from `previous` what cannot be read.
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

    /// Checks that everything would resolve if `document` were in force.
    pub fn check_change(&self, document: &WireDocument) -> Result<(), DocumentError> {
        let mut changed = self.clone();
        let raised = WireDocument {
            revision: u64::MAX,
            ..document.clone()
        };
        changed.replace(&raised);
        let (held, mut before) = self.resolve(&ResolvedConfig::default());
        let (resolved, mut after) = changed.resolve(&ResolvedConfig::default());
        before.extend(held.region_errors());
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
                return Err(DocumentError::Missing {
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
    toml::from_str(&document.body).map_err(|source| DocumentError::Toml {
        key: document.key.clone(),
        source: Box::new(source),
    })
}

fn check_name(document: &WireDocument, inside: &str) -> Result<(), DocumentError> {
    let stored = document.key.split_once('/').map_or("", |(_, name)| name);
    if stored == inside {
        return Ok(());
    }
    Err(DocumentError::Name {
        key: document.key.clone(),
        inside: inside.to_owned(),
    })
}

fn range_error(document: &WireDocument) -> impl FnOnce(TenantError) -> DocumentError + use<> {
    let key = document.key.clone();
    move |source| DocumentError::Range {
        key,
        source: Box::new(source),
    }
}

fn parse_group(document: &WireDocument) -> Result<GroupSpec, DocumentError> {
    let group: GroupSpec = parse(document)?;
    check_name(document, group.name.as_str())?;
    group.check().map_err(range_error(document))?;
    Ok(group)
}

fn parse_template(document: &WireDocument) -> Result<Template, DocumentError> {
    let template: Template = parse(document)?;
    check_name(document, &template.name)?;
    template.check().map_err(range_error(document))?;
    Ok(template)
}

fn parse_tenant(document: &WireDocument) -> Result<Tenant, DocumentError> {
    let tenant: Tenant = parse(document)?;
    check_name(document, tenant.name.as_str())?;
    Ok(tenant)
}

fn tenant_settings(
    document: &WireDocument,
    tenant: &Tenant,
    templates: &BTreeMap<String, Template>,
) -> Result<TenantSettings, DocumentError> {
    let template = templates
        .get(&tenant.template)
        .ok_or_else(|| DocumentError::Missing {
            key: document.key.clone(),
            field: "template",
            name: tenant.template.clone(),
        })?;
    template.settings_for(tenant).map_err(range_error(document))
}

/// The typed configuration that requests are served by.
#[derive(Debug, Clone, Default)]
pub struct ResolvedConfig {
    /// Revision it was resolved from.
    pub revision: u64,
    /// Database groups.
    pub groups: BTreeMap<GroupName, Arc<GroupSpec>>,
    /// Tenants.
    pub tenants: BTreeMap<TenantName, Arc<TenantSettings>>,
    /// The platform's machine list.
    pub machines: BTreeMap<String, Machine>,
}

impl ResolvedConfig {
    /// Tenants whose allowed regions leave nothing, or name one that their group has no
    /// instance in. Such a change is refused; where it is in force all the same, the
    /// tenant's statements are, and its former terms don't come back.
    fn region_errors(&self) -> Vec<DocumentError> {
        let error_of = |settings: &Arc<TenantSettings>| {
            let group = self.groups.get(&settings.group)?;
            let source = Box::new(settings.check_regions(group).err()?);
            let key = DocumentKind::Tenant.key(settings.name.as_str());
            Some(DocumentError::Range { key, source })
        };
        self.tenants.values().filter_map(error_of).collect()
    }

    /// Whether an instance is marked as leaving, by operators or the platform.
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
