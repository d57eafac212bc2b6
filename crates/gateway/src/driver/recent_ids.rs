//! Ids of requests that may have run and must not run again. A client that leaves may come again with the id of its
//! request, here or at the other process of a hand-over.

use grebehook_core::Micros;
use std::collections::{HashMap, VecDeque};

/// Maximum number of ids. Beyond it, the oldest are forgotten.
const MAX_RECENT_IDS: usize = 8_192;

/// An id and the time at which it is forgotten.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecentId {
    /// Id that the client assigned to the request.
    pub id: Box<[u8]>,
    /// Time from which the id is accepted again.
    pub forgotten_at: Micros,
}

/// The ids that are remembered, each until its client can no longer be waiting.
#[derive(Default)]
pub struct RecentIds {
    /// Times at which ids are forgotten.
    by_id: HashMap<Box<[u8]>, Micros>,
    /// Ids in the order in which they were added.
    order: VecDeque<RecentId>,
}

impl RecentIds {
    /// Adds an id, or remembers it for longer.
    pub fn insert(&mut self, now: Micros, recent: RecentId) {
        self.remove_forgotten(now);
        self.by_id.insert(recent.id.clone(), recent.forgotten_at);
        self.order.push_back(recent);
    }

    /// Returns whether an id is remembered.
    pub fn contains(&self, now: Micros, id: &[u8]) -> bool {
        self.by_id.get(id).is_some_and(|forgotten_at| *forgotten_at > now)
    }

    /// Returns the ids, the newest first.
    pub fn newest_first(&self) -> impl Iterator<Item = &RecentId> {
        self.order.iter().rev()
    }

    /// Removes the oldest ids while they are due or too many.
    fn remove_forgotten(&mut self, now: Micros) {
        let must_go =
            |recent: &mut RecentId, length: usize| recent.forgotten_at <= now || length >= MAX_RECENT_IDS;
        loop {
            let length = self.order.len();
            let Some(oldest) = self.order.pop_front_if(|oldest| must_go(oldest, length)) else { return };
            if self.by_id.get(&oldest.id) == Some(&oldest.forgotten_at) {
                self.by_id.remove(&oldest.id);
            }
        }
    }
}

#[cfg(test)]
mod tests;
