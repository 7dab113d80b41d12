//! Response of a simulated instance to the status query.

use millwind_core::position::LogPosition;

use super::log_state::{ReplicationState, Role};

/// Column names of the response.
pub const COLUMNS: [&str; 5] = ["in_recovery", "position", "timeline_id", "history", "received"];

/// Returns the response row, or none if the instance has not joined its group.
pub fn row(state: &ReplicationState) -> Option<Vec<Option<String>>> {
    let term = state.log_term();
    if term == 0 {
        return None;
    }
    let leads = state.role == Role::Leader;
    let position = state.position().log_position;
    Some(vec![
        Some(if leads { "f" } else { "t" }.to_owned()),
        Some(position.to_string()),
        Some(term.to_string()),
        Some(history_file(state)),
        Some(LogPosition(state.end()).to_string()),
    ])
}

/// Formats the timeline history as PostgreSQL does: a line for each past
/// timeline, with the position at which the next timeline branches off.
fn history_file(state: &ReplicationState) -> String {
    state
        .history
        .windows(2)
        .map(|pair| format!("{}\t{}\tpromotion\n", pair[0].term, LogPosition(pair[1].start)))
        .collect()
}
