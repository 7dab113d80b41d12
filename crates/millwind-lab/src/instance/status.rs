//! The answer of a stand-in instance to the status question.

use millwind_core::position::LogPosition;

use super::log_state::{Core, Role};

/// Columns of the answer, by name.
pub const COLUMNS: [&str; 5] = ["in_recovery", "position", "timeline_id", "history", "received"];

/// The row that answers the status question; none before the instance has
/// joined its group.
pub fn row(core: &Core) -> Option<Vec<Option<String>>> {
    let term = core.log_term();
    if term == 0 {
        return None;
    }
    let leads = core.role == Role::Leader;
    let position = core.position().log_position;
    Some(vec![
        Some(if leads { "f" } else { "t" }.to_owned()),
        Some(position.to_string()),
        Some(term.to_string()),
        Some(history_file(core)),
        Some(LogPosition(core.end()).to_string()),
    ])
}

/// The timeline history as PostgreSQL writes it: each past timeline with the
/// position at which its successor branched off.
fn history_file(core: &Core) -> String {
    core.history
        .windows(2)
        .map(|pair| format!("{}\t{}\tpromotion\n", pair[0].term, LogPosition(pair[1].start)))
        .collect()
}
