//! Lives of instances: one may start again under the name that it had, and then
//! knows nothing of before.

use std::fmt;

/// One life of an instance, told by the time of its start in milliseconds since
/// 1970 by its own clock. Only good for telling lives apart: clocks may jump, so a
/// later life may have a lower number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
