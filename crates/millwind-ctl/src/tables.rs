//! Human-readable tables.

use std::fmt;

use millwind_node::admin::{DocumentRow, InstanceRow, NodeRow, PoolRow, StatusReport, TenantRow};
use millwind_node::gateway::Explanation;

/// A table with a header, printed in aligned columns.
#[derive(Debug)]
pub struct Table {
    header: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let width = |column: usize| {
            let cells = self.rows.iter().map(|row| row[column].chars().count());
            cells.chain([self.header[column].len()]).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..self.header.len()).map(width).collect();
        let header: Vec<String> = self.header.iter().map(|name| (*name).to_owned()).collect();
        for row in std::iter::once(&header).chain(&self.rows) {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            writeln!(formatter, "{}", cells.join("  ").trim_end())?;
        }
        Ok(())
    }
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

fn number_or_dash(value: Option<u64>) -> String {
    value.map_or("-".to_owned(), |value| value.to_string())
}

/// Summary of a node and of its contact with each zone.
pub fn status(status: &StatusReport) -> Table {
    let mut rows = vec![
        vec!["node".to_owned(), status.node.clone()],
        vec!["zone".to_owned(), format!("{} ({})", status.zone, status.region)],
        vec!["state".to_owned(), status.state.clone()],
        vec!["revision".to_owned(), status.revision.to_string()],
        vec![
            "platform contact".to_owned(),
            format!("{} ms ago", status.platform_age_ms),
        ],
        vec!["relay".to_owned(), yes_or_no(status.relay)],
        vec!["sessions".to_owned(), status.sessions.to_string()],
        vec!["owner load".to_owned(), status.owner_load.to_string()],
    ];
    for zone in &status.zones {
        let text = format!(
            "contact {} ms ago, platform contact {} ms before that",
            zone.age_ms, zone.platform_age_ms
        );
        rows.push(vec![format!("zone {}", zone.zone), text]);
    }
    Table {
        header: vec!["field", "value"],
        rows,
    }
}

/// Explanation of how a statement would be routed.
pub fn explanation(explanation: &Explanation) -> Table {
    let mut rows = vec![
        vec!["node".to_owned(), explanation.node.clone()],
        vec!["statements".to_owned(), explanation.kinds.join(" ")],
        vec!["action".to_owned(), explanation.action.clone()],
        vec!["class".to_owned(), explanation.class.clone()],
        vec!["window".to_owned(), format!("{} ms", explanation.window_ms)],
        vec!["may be repeated".to_owned(), yes_or_no(explanation.may_repeat)],
    ];
    for (place, candidate) in explanation.candidates.iter().enumerate() {
        let text = format!("{} ({})", candidate.instance, candidate.reason);
        rows.push(vec![format!("candidate {}", place + 1), text]);
    }
    Table {
        header: vec!["field", "value"],
        rows,
    }
}

/// Cluster members.
pub fn nodes(rows: &[NodeRow]) -> Table {
    Table {
        header: vec!["node", "zone", "region", "address", "liveness", "leaving"],
        rows: rows
            .iter()
            .map(|row| {
                vec![
                    row.node.clone(),
                    row.zone.clone(),
                    row.region.clone(),
                    row.address.clone(),
                    row.liveness.clone(),
                    yes_or_no(row.leaving),
                ]
            })
            .collect(),
    }
}

/// Database instances.
pub fn groups(rows: &[InstanceRow]) -> Table {
    Table {
        header: vec![
            "group", "instance", "zone", "owner", "role", "position", "lag_ms", "leaving",
        ],
        rows: rows
            .iter()
            .map(|row| {
                vec![
                    row.group.clone(),
                    row.instance.clone(),
                    row.zone.clone(),
                    row.owner.clone(),
                    row.role.clone(),
                    row.position.clone(),
                    number_or_dash(row.lag_ms),
                    yes_or_no(row.leaving),
                ]
            })
            .collect(),
    }
}

/// Connection pools.
pub fn pools(rows: &[PoolRow]) -> Table {
    Table {
        header: vec!["instance", "slots", "connections", "running", "queued"],
        rows: rows
            .iter()
            .map(|row| {
                vec![
                    row.instance.clone(),
                    row.slots.to_string(),
                    row.connections.to_string(),
                    row.running.to_string(),
                    row.queued.to_string(),
                ]
            })
            .collect(),
    }
}

/// Tenant settings in force.
pub fn tenants(rows: &[TenantRow]) -> Table {
    Table {
        header: vec![
            "tenant",
            "group",
            "staleness_ms",
            "replica_wait_ms",
            "hold_ms",
            "weight",
            "read_policy",
            "allowed_regions",
        ],
        rows: rows
            .iter()
            .map(|row| {
                vec![
                    row.tenant.clone(),
                    row.group.clone(),
                    row.staleness_ms.to_string(),
                    row.replica_wait_ms.to_string(),
                    row.hold_ms.to_string(),
                    row.weight.to_string(),
                    format!("{:?}", row.read_policy),
                    row.allowed_regions.clone(),
                ]
            })
            .collect(),
    }
}

/// Names and revisions of documents.
pub fn documents(rows: &[DocumentRow]) -> Table {
    Table {
        header: vec!["document", "revision"],
        rows: rows
            .iter()
            .map(|row| vec![row.key.clone(), row.revision.to_string()])
            .collect(),
    }
}
