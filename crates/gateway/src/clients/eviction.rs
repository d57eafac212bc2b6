//! Chooses the client connection to close when the gateway holds as many as its descriptors allow.
//!
//! Called by the front for every connection that it accepts beyond its limit, so the choice must stay cheap: it
//! looks at what is known in memory, and asks the system only about the connections that it is about to close.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// A client that means to send a request has begun to within this time after it connected.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// While more than one in this many of the allowed connections have sent no request yet, those that have sent one
/// before are kept: a crowd of new connections would otherwise push out the usual clients.
const FRESH_PART: usize = 4;

/// An idle connection that could be closed.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// WireNames the connection.
    pub key: u64,
    /// It has brought a request before.
    pub has_sent_request: bool,
    /// Part of a request has come.
    pub has_begun: bool,
    /// When bytes last came on it, or it was accepted.
    pub last_heard: Instant,
    /// Since when it has had no request in work.
    pub idle_since: Instant,
}

/// The connection to close: of those that never brought a byte the one silent for the longest time; or else, unless a
/// crowd of newcomers is there, the one that has been idle longest. A client in the middle of a request is closed only
/// while there is such a crowd, and only a newcomer: the one silent for the longest time, since a slow client that means
/// to send a request goes on writing. One on which bytes wait to be read is kept; `has_unread` is asked, at the cost of a
/// system call, only about the connection to be closed next.
pub fn select(
    candidates: &[Candidate],
    now: Instant,
    limit: usize,
    mut has_unread: impl FnMut(u64) -> bool,
) -> Option<u64> {
    let fresh = candidates.iter().filter(|c| !c.has_sent_request);
    let silent = fresh.clone().filter(|c| now.saturating_duration_since(c.last_heard) > SETTLE_TIME);
    let by_silence = |c: &Candidate| Reverse((c.last_heard, c.key));
    let never_heard = silent.clone().filter(|c| !c.has_begun).map(by_silence);
    if let Some(key) = first_without_input(never_heard.collect(), &mut has_unread) {
        return Some(key);
    }
    let is_crowded = fresh.count() * FRESH_PART >= limit;
    let remaining = if is_crowded {
        silent.filter(|c| c.has_begun).map(by_silence).collect()
    } else {
        let returning = candidates.iter().filter(|c| c.has_sent_request && !c.has_begun);
        returning.map(|c| Reverse((c.idle_since, c.key))).collect()
    };
    first_without_input(remaining, &mut has_unread)
}

/// The oldest connection on which nothing waits to be read.
fn first_without_input(
    mut oldest_first: BinaryHeap<Reverse<(Instant, u64)>>,
    has_unread: &mut impl FnMut(u64) -> bool,
) -> Option<u64> {
    while let Some(Reverse((_, key))) = oldest_first.pop() {
        if !has_unread(key) {
            return Some(key);
        }
    }
    None
}

#[cfg(test)]
mod tests;
