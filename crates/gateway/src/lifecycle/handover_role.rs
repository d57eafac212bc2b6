//! The parts of the two processes in a hand-over.

use std::fmt;

/// The part that another process of the gateway has had in a hand-over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverRole {
    /// It has handed over to this process.
    Predecessor,
    /// This process had handed over to it.
    Successor,
}

impl fmt::Display for HandoverRole {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            HandoverRole::Predecessor => "predecessor",
            HandoverRole::Successor => "successor",
        })
    }
}
