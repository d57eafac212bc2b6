//! The queue of gossip entries; only gateways with queued entries take memory.

use crate::api::CustomerId;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of customers that are queued for one gateway.
const MAX_QUEUED_CUSTOMERS: usize = 4_096;

/// Customers whose usage is to be published, by receiving gateway.
#[derive(Default)]
pub(crate) struct GossipQueue {
    /// Customers queued for each gateway; no set is empty.
    queued: BTreeMap<usize, BTreeSet<CustomerId>>,
}

impl GossipQueue {
    /// Queues a customer for a gateway, unless it is queued there already. A full queue drops the lowest id.
    pub fn insert(&mut self, to: usize, id: CustomerId) {
        let queued = self.queued.entry(to).or_default();
        if queued.insert(id) && queued.len() > MAX_QUEUED_CUSTOMERS {
            queued.pop_first();
        }
    }

    /// Returns the gateways with queued customers, in ascending order.
    pub fn gateways(&self) -> Vec<usize> {
        self.queued.keys().copied().collect()
    }

    /// Removes and returns at most `max` customers queued for a gateway, in ascending order of ids.
    pub fn take(&mut self, to: usize, max: usize) -> Vec<CustomerId> {
        let Some(ids) = self.queued.get_mut(&to) else { return Vec::new() };
        let taken = std::iter::from_fn(|| ids.pop_first()).take(max).collect();
        if ids.is_empty() {
            self.queued.remove(&to);
        }
        taken
    }
}
