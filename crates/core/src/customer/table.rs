//! The table of customers with the queue of those to be forgotten, and the set of those with use to be
//! reported. A tick touches only what is due; nothing is decided here.

use super::Customer;
use crate::api::{CustomerId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// The customers, by number.
#[derive(Default)]
pub(crate) struct CustomerTable {
    /// The records.
    customers: BTreeMap<CustomerId, Box<Customer>>,
    /// By a time before which the customer cannot be idle; it is examined again then.
    idle_queue: BTreeSet<(Micros, CustomerId)>,
    /// Customers examined by the queue since the start.
    visited: u64,
}

impl CustomerTable {
    /// Customers examined by the queue since the start.
    pub fn visited(&self) -> u64 {
        self.visited
    }

    /// The record of a customer.
    pub fn get(&self, id: CustomerId) -> Option<&Customer> {
        self.customers.get(&id).map(Box::as_ref)
    }

    /// The record of a customer, to be changed. The time until it may be forgotten may only get later by it.
    pub fn get_mut(&mut self, id: CustomerId) -> Option<&mut Customer> {
        self.customers.get_mut(&id).map(Box::as_mut)
    }

    /// All records in the order of numbers, to be changed as by [`Self::get_mut`].
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (CustomerId, &mut Customer)> {
        self.customers.iter_mut().map(|(id, customer)| (*id, customer.as_mut()))
    }

    /// Adds a customer, or replaces its record.
    pub fn insert(&mut self, id: CustomerId, customer: Customer) {
        self.idle_queue.insert((customer.idle_at(), id));
        self.customers.insert(id, Box::new(customer));
    }

    /// Forgets the customers that nothing is under way for and that are as good as new.
    pub fn forget_idle(&mut self, now: Micros) {
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

/// Customers to be looked at by a tick, at most so many at a time, round robin.
#[derive(Default)]
pub(crate) struct ChangedCustomers {
    /// The customers.
    ids: BTreeSet<CustomerId>,
    /// Where the next look begins.
    next: CustomerId,
}

impl ChangedCustomers {
    /// Adds one, if it is not there yet.
    pub fn insert(&mut self, id: CustomerId) {
        self.ids.insert(id);
    }

    /// Removes at most this many, beginning after the last one taken; all in order where there are no more.
    pub fn take(&mut self, max: usize) -> Vec<CustomerId> {
        if self.ids.len() <= max {
            return std::mem::take(&mut self.ids).into_iter().collect();
        }
        let after = self.ids.range(self.next..);
        let taken: Vec<CustomerId> = after.chain(self.ids.range(..self.next)).copied().take(max).collect();
        for id in &taken {
            self.ids.remove(id);
        }
        self.next = CustomerId(taken.last().map_or(0, |last| last.0.wrapping_add(1)));
        taken
    }
}
