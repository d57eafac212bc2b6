//! Selection of the client connection to close when more are open than the descriptor limit of the process
//! allows.
//!
//! The selection runs for every connection accepted beyond the limit, so it must stay cheap: it relies on
//! state in memory and makes system calls only for the connections it is about to close.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Time from connecting within which a client that has a request to send begins to send it.
const FIRST_BYTE_GRACE_PERIOD: Duration = Duration::from_millis(20);
/// A flood is assumed while connections without a request yet make up at least 1 / `FLOOD_DIVISOR` of the
/// allowed number. Connections that have sent a request are then kept, since a flood of new connections would
/// otherwise displace regular clients.
const FLOOD_DIVISOR: usize = 4;

/// An idle connection that may be evicted.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Identifies the connection.
    pub key: u64,
    /// Whether a request of the connection has been accepted before.
    pub has_sent_request: bool,
    /// Whether part of a request has been read.
    pub has_partial_request: bool,
    /// Time at which bytes were last received, or the connection was accepted.
    pub last_read_at: Instant,
    /// Time at which the last request ended, or the connection was accepted.
    pub idle_since: Instant,
}

/// A connection's key, ordered so that a max-heap yields the earliest time first.
type EvictionOrder = Reverse<(Instant, u64)>;

impl Candidate {
    /// Orders new connections by their last input, the longest inactive first.
    fn by_last_read(&self) -> EvictionOrder {
        Reverse((self.last_read_at, self.key))
    }

    /// Orders regular connections by idle time, the longest idle first.
    fn by_idle_since(&self) -> EvictionOrder {
        Reverse((self.idle_since, self.key))
    }
}

/// Returns the key of the connection to close, or `None` to close none.
///
/// A connection is new until a request on it has been accepted, and regular from then on. The first choice is
/// the longest inactive of the new connections that have not sent a byte within [`FIRST_BYTE_GRACE_PERIOD`].
/// If there is none, it is the regular connection that has been idle longest. In a flood of new connections,
/// regular connections are kept. Only then is a connection in the middle of a request closed: the longest
/// inactive of the new ones, since a slow client that is sending a request continues to write.
///
/// A connection with unread input is kept; `has_unread_input`, which costs a system call, is called only for
/// the connection to be closed next.
pub fn select(
    candidates: &[Candidate],
    now: Instant,
    max_connections: usize,
    mut has_unread_input: impl FnMut(u64) -> bool,
) -> Option<u64> {
    let new_connections = candidates.iter().filter(|candidate| !candidate.has_sent_request);
    let inactive = new_connections
        .clone()
        .filter(|candidate| now.saturating_duration_since(candidate.last_read_at) > FIRST_BYTE_GRACE_PERIOD);
    let never_read =
        inactive.clone().filter(|candidate| !candidate.has_partial_request).map(Candidate::by_last_read);
    if let Some(key) = first_without_input(never_read.collect(), &mut has_unread_input) {
        return Some(key);
    }
    let is_flood = new_connections.count() * FLOOD_DIVISOR >= max_connections;
    let remaining = if is_flood {
        inactive.filter(|candidate| candidate.has_partial_request).map(Candidate::by_last_read).collect()
    } else {
        let regular = candidates
            .iter()
            .filter(|candidate| candidate.has_sent_request && !candidate.has_partial_request);
        regular.map(Candidate::by_idle_since).collect()
    };
    first_without_input(remaining, &mut has_unread_input)
}

/// Returns the key of the first connection without unread input.
fn first_without_input(
    mut ordered: BinaryHeap<EvictionOrder>,
    has_unread_input: &mut impl FnMut(u64) -> bool,
) -> Option<u64> {
    while let Some(Reverse((_, key))) = ordered.pop() {
        if !has_unread_input(key) {
            return Some(key);
        }
    }
    None
}

#[cfg(test)]
mod tests;
