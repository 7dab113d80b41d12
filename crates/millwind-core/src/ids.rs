//! Names of the things the proxy talks about, one type per kind of name.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// The name as text.
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
    /// A proxy node, unique over the deployment.
    NodeName
);
name_type!(
    /// A database instance, unique over the deployment.
    InstanceName
);
name_type!(
    /// A replicated database group.
    GroupName
);
name_type!(
    /// A tenant: towards PostgreSQL callers, a database with its settings; in the
    /// engine, a customer with keys and a quota.
    TenantName
);
name_type!(
    /// A database as callers name it in their startup message: a group with the
    /// promises that its sessions are given.
    DatabaseName
);
name_type!(
    /// A zone, the unit that can be cut off as a whole.
    ZoneName
);
name_type!(
    /// A region: one or more zones with short latencies between them.
    RegionName
);
