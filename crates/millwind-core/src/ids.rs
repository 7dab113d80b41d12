//! Typed names of nodes, instances, groups, tenants, databases, zones and regions.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.to_owned())
            }
        }
    };
}

name_type!(
    /// Name of a proxy node, unique within the deployment.
    NodeName
);
name_type!(
    /// Name of a database instance, unique within the deployment.
    InstanceName
);
name_type!(
    /// Name of a replicated database group.
    GroupName
);
name_type!(
    /// Name of a tenant. For PostgreSQL clients a tenant is a database with its settings; in
    /// the engine a tenant is a customer with keys and a quota.
    TenantName
);
name_type!(
    /// Name of a database as clients give it in the startup message. The database maps to
    /// a group and defines the guarantees of its sessions.
    DatabaseName
);
name_type!(
    /// Name of a zone: a failure domain that can be partitioned from the others as a whole.
    ZoneName
);
name_type!(
    /// Name of a region: one or more zones with low latency between them.
    RegionName
);
