//! What is queued for other gateways; only those with something queued take memory.

use crate::api::CustomerId;
use std::collections::{BTreeMap, BTreeSet};

/// Customers whose use is to be published, by gateway.
#[derive(Default)]
pub(crate) struct GossipQueue {
    /// The customers queued for each gateway.
    queued: BTreeMap<usize, BTreeSet<CustomerId>>,
}

impl GossipQueue {
    /// Queues a customer for a gateway.
    pub fn insert(&mut self, to: usize, id: CustomerId) {
        self.queued.entry(to).or_default().insert(id);
    }

    /// The gateways with something queued, in order.
    pub fn gateways(&self) -> Vec<usize> {
        self.queued.keys().copied().collect()
    }

    /// Removes at most this many customers queued for a gateway, the lowest numbers first.
    pub fn take(&mut self, to: usize, max: usize) -> Vec<CustomerId> {
        let Some(ids) = self.queued.get_mut(&to) else { return Vec::new() };
        let taken = std::iter::from_fn(|| ids.pop_first()).take(max).collect();
        if ids.is_empty() {
            self.queued.remove(&to);
        }
        taken
    }
}
