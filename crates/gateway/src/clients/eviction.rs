//! Selects the client connection to close when there are more than the descriptors of the process allow.
//!
//! This runs for every connection that is accepted beyond the limit, so it must stay cheap: it decides by what is
//! known in memory, and asks the system only about the connections that it is about to close.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Within this time from connecting, a client that has a request to send has begun to.
const FIRST_BYTE_TIME: Duration = Duration::from_millis(20);
/// While more than one in this many of the allowed connections have sent no request yet, those that have are kept:
/// a flood of new connections would otherwise displace the regular clients.
const FLOOD_DIVISOR: usize = 4;

/// An idle connection that could be closed.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Identifies the connection.
    pub key: u64,
    /// Whether it has sent a request before.
    pub has_sent_request: bool,
    /// Whether part of a request has arrived.
    pub has_begun: bool,
    /// When bytes last arrived on it, or it was accepted.
    pub last_read_at: Instant,
    /// Since when no request has been in progress.
    pub idle_since: Instant,
}

/// A connection's key, ordered by the time by which it is selected.
type ByTime = Reverse<(Instant, u64)>;

impl Candidate {
    /// Orders new connections: the one silent for longest comes first.
    fn by_last_read(&self) -> ByTime {
        Reverse((self.last_read_at, self.key))
    }

    /// Orders regular connections: the one idle for longest comes first.
    fn by_idle_since(&self) -> ByTime {
        Reverse((self.idle_since, self.key))
    }
}

/// The connection to close. First choice is, of those that have never sent a byte, the one silent for longest.
/// Otherwise it is the one that has been idle longest, except in a flood of new connections. A client in the middle
/// of its request is closed only in a flood, and only if the connection is new: the one silent for longest, since a
/// slow client that is sending a request continues to write. A connection with unread input is kept;
/// `has_unread_input` is asked, at the cost of a system call, only about the connection to be closed next.
pub fn select(
    candidates: &[Candidate],
    now: Instant,
    max_connections: usize,
    mut has_unread_input: impl FnMut(u64) -> bool,
) -> Option<u64> {
    let new = candidates.iter().filter(|candidate| !candidate.has_sent_request);
    let silent = new
        .clone()
        .filter(|candidate| now.saturating_duration_since(candidate.last_read_at) > FIRST_BYTE_TIME);
    let never_read = silent.clone().filter(|candidate| !candidate.has_begun).map(Candidate::by_last_read);
    if let Some(key) = first_without_input(never_read.collect(), &mut has_unread_input) {
        return Some(key);
    }
    let is_flood = new.count() * FLOOD_DIVISOR >= max_connections;
    let remaining = if is_flood {
        silent.filter(|candidate| candidate.has_begun).map(Candidate::by_last_read).collect()
    } else {
        let regular =
            candidates.iter().filter(|candidate| candidate.has_sent_request && !candidate.has_begun);
        regular.map(Candidate::by_idle_since).collect()
    };
    first_without_input(remaining, &mut has_unread_input)
}

/// The first connection without unread input.
fn first_without_input(
    mut ordered: BinaryHeap<ByTime>,
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
