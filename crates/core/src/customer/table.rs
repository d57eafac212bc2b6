//! The table of customers with its eviction queue, and the set of customers whose usage is to be reported. A
//! tick visits only entries that are due; decisions are made elsewhere.

use super::Customer;
use crate::api::{CustomerId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// The customers of a gateway, by identifier, with their eviction queue.
#[derive(Default)]
pub(crate) struct CustomerTable {
    customers: BTreeMap<CustomerId, Box<Customer>>,
    /// Customers by the time of their next visit, before which they cannot be idle.
    idle_queue: BTreeSet<(Micros, CustomerId)>,
    /// Number of customers that evictions have visited since the start.
    visited: u64,
}

impl CustomerTable {
    /// Returns the number of customers that evictions have visited since the start.
    pub fn visited(&self) -> u64 {
        self.visited
    }

    /// Returns a customer's record.
    pub fn get(&self, id: CustomerId) -> Option<&Customer> {
        self.customers.get(&id).map(Box::as_ref)
    }

    /// Returns a customer's record for modification. A modification may only postpone the time at which the
    /// customer becomes idle.
    pub fn get_mut(&mut self, id: CustomerId) -> Option<&mut Customer> {
        self.customers.get_mut(&id).map(Box::as_mut)
    }

    /// Returns all records, ordered by identifier, for modification under the rule of [`Self::get_mut`].
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (CustomerId, &mut Customer)> {
        self.customers.iter_mut().map(|(id, customer)| (*id, customer.as_mut()))
    }

    /// Adds a customer or replaces its record.
    pub fn insert(&mut self, id: CustomerId, customer: Customer) {
        self.idle_queue.insert((customer.idle_at(), id));
        self.customers.insert(id, Box::new(customer));
    }

    /// Evicts the customers that have nothing in flight and whose state equals that of a new customer.
    pub fn evict_idle(&mut self, now: Micros) {
        let mut later = Vec::new();
        while let Some((due, id)) = self.idle_queue.first().copied().filter(|(due, _)| *due <= now) {
            self.idle_queue.remove(&(due, id));
            self.visited += 1;
            let Some(customer) = self.customers.get(&id) else { continue };
            if customer.is_busy() {
                later.push((now + 1, id));
            } else if now < customer.idle_at() {
                later.push((customer.idle_at(), id));
            } else {
                self.customers.remove(&id);
            }
        }
        self.idle_queue.extend(later);
    }
}

/// The customers that the next ticks visit, a limited number at a time, in round-robin order.
#[derive(Default)]
pub(crate) struct ChangedCustomers {
    ids: BTreeSet<CustomerId>,
    /// Identifier at which the next selection begins.
    next_id: CustomerId,
}

impl ChangedCustomers {
    /// Adds a customer; has no effect if it is already in the set.
    pub fn insert(&mut self, id: CustomerId) {
        self.ids.insert(id);
    }

    /// Removes and returns at most `max` customers, beginning after the last one taken; if the set has no
    /// more than `max`, returns all of them in ascending order.
    pub fn take(&mut self, max: usize) -> Vec<CustomerId> {
        if self.ids.len() <= max {
            return std::mem::take(&mut self.ids).into_iter().collect();
        }
        let after = self.ids.range(self.next_id..);
        let taken: Vec<CustomerId> = after.chain(self.ids.range(..self.next_id)).copied().take(max).collect();
        for id in &taken {
            self.ids.remove(id);
        }
        self.next_id = CustomerId(taken.last().map_or(0, |last| last.0.wrapping_add(1)));
        taken
    }
}
