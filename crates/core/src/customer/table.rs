//! The table of customers with its eviction queue, and the set of customers whose usage is to be reported. A
//! tick visits only entries that are due; decisions are made elsewhere.

use super::Customer;
use crate::api::{CustomerId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of customers that are visited to make room for a new one.
const MAX_VISITS_PER_INSERTION: usize = 64;

/// Time by which such a visit postpones the next one of a customer with something in flight.
const BUSY_POSTPONEMENT: Micros = 1_000_000;

/// The customers of a gateway, by identifier, with their eviction queue.
pub(crate) struct CustomerTable {
    customers: BTreeMap<CustomerId, Box<Customer>>,
    /// Number of customers that the table holds at most, besides those with something in flight.
    max_customers: usize,
    /// Customers by the time of their next visit, before which they cannot be idle.
    idle_queue: BTreeSet<(Micros, CustomerId)>,
    /// Number of customers that evictions have visited since the start.
    visited: u64,
}

impl Default for CustomerTable {
    fn default() -> CustomerTable {
        CustomerTable {
            customers: BTreeMap::new(),
            max_customers: usize::MAX,
            idle_queue: BTreeSet::new(),
            visited: 0,
        }
    }
}

impl CustomerTable {
    /// Sets the number of customers that the table holds at most, besides those with something in flight.
    pub fn set_max_customers(&mut self, max_customers: usize) {
        self.max_customers = max_customers;
    }

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

    /// Adds a customer or replaces its record. A full table evicts the customer that would be idle first.
    pub fn insert(&mut self, id: CustomerId, customer: Customer) {
        if self.customers.len() >= self.max_customers && !self.customers.contains_key(&id) {
            self.evict_first_idle();
        }
        self.idle_queue.insert((customer.idle_at(), id));
        self.customers.insert(id, Box::new(customer));
    }

    /// Evicts the customer that would be idle first among those with nothing in flight. Looks at no more than
    /// [`MAX_VISITS_PER_INSERTION`] of them.
    fn evict_first_idle(&mut self) {
        let mut later = Vec::new();
        let mut first_idle = None;
        while let Some((due, id)) = self.idle_queue.pop_first() {
            self.visited += 1;
            let Some(customer) = self.customers.get(&id) else { continue };
            let idle_at = customer.idle_at();
            if customer.is_busy() {
                // Out of the way of the next searches, however long the request takes.
                later.push((idle_at.max(due) + BUSY_POSTPONEMENT, id));
            } else {
                later.push((idle_at.max(due), id));
                let earlier = first_idle.filter(|(first, _)| *first <= idle_at);
                first_idle = earlier.or(Some((idle_at, id)));
            }
            let is_settled = first_idle.is_some_and(|(first, _)| first <= due);
            if is_settled || later.len() >= MAX_VISITS_PER_INSERTION {
                break;
            }
        }
        let evicted = first_idle.map(|(_, id)| id);
        if let Some(id) = evicted {
            self.customers.remove(&id);
        }
        self.idle_queue.extend(later.into_iter().filter(|(_, id)| Some(*id) != evicted));
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
