//! The table of customers with the queue of those to be forgotten, and the set of those with something to be
//! told. A tick touches only what is due; nothing is decided here.

use crate::api::*;
use crate::decaying_rate::Rate;
use std::collections::{BTreeMap, BTreeSet};

/// A customer as this gateway sees it.
#[derive(Default)]
pub(crate) struct Customer {
    pub plan_index: usize,
    pub plan: Plan,
    pub gateway_count: usize,
    pub first_gateway: usize,
    pub bucket_level: f64,
    pub refilled_at: Micros,
    pub local_usage_rate: Rate,
    pub reported_demand: f64,
    pub demand_reported_at: Micros,
    pub local_allowance: f64,
    pub pacing_delay_ms: f64,
    pub pacing_interval_started_at: Micros,
    pub pacing_interval_units: f64,
    pub next_dequeue_at: Micros,
    pub in_flight: u32,
    pub hard_limit_tokens: f64,
    pub admitted_units: f64,
    pub peer_totals: BTreeMap<usize, (u32, u32)>,
    pub unreported_units: f64,
    pub units_in_call: f64,
    pub settlement_due: f64,
    pub call_in_flight: bool,
    pub low_demand: bool,
    pub counter_replied_at: Micros,
    pub counter_total: Option<f64>,
    pub possibly_counted_units: f64,
    pub bucket_overflow: f64,
    /// What the call that is out corrects the total by.
    pub total_correction: f64,
    pub queued_requests: Vec<RequestId>,
}

/// How a customer's use by other gateways is known.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum UsageSource {
    Exact,   // unit by unit
    Metered, // the demand, as last read here or heard of
    Unknown,
}

/// The customers, by number.
#[derive(Default)]
pub(crate) struct CustomerTable {
    customers: BTreeMap<CustomerId, Box<Customer>>,
    /// By a time before which the customer is surely kept; looked at again then.
    queue: BTreeSet<(Micros, CustomerId)>,
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
        self.customers.iter_mut().map(|(id, c)| (*id, c.as_mut()))
    }

    /// Adds a customer, or puts another record in the place of the one it has.
    pub fn insert(&mut self, id: CustomerId, customer: Customer) {
        self.queue.insert((customer.idle_at(), id));
        self.customers.insert(id, Box::new(customer));
    }

    /// Forgets the customers that nothing is open for and that are as good as new.
    pub fn forget_idle(&mut self, now: Micros) {
        let mut later = Vec::new();
        while let Some((due, id)) = self.queue.first().copied().filter(|(due, _)| *due <= now) {
            self.queue.remove(&(due, id));
            self.visited += 1;
            let Some(c) = self.customers.get(&id) else { continue };
            if c.in_flight > 0 || c.call_in_flight {
                later.push((now + 1, id));
            } else if now < c.idle_at() {
                later.push((c.idle_at(), id));
            } else {
                self.customers.remove(&id);
            }
        }
        self.queue.extend(later);
    }
}

/// Customers to be looked at by a tick, so many at a time in turn.
#[derive(Default)]
pub(crate) struct ChangedCustomers {
    ids: BTreeSet<CustomerId>,
    next: CustomerId,
}

impl ChangedCustomers {
    /// Adds one, if it is not there yet.
    pub fn insert(&mut self, id: CustomerId) {
        self.ids.insert(id);
    }

    /// Takes out at most this many, beginning after the last one taken; all in order where there are no more.
    pub fn take(&mut self, most: usize) -> Vec<CustomerId> {
        if self.ids.len() <= most {
            return std::mem::take(&mut self.ids).into_iter().collect();
        }
        let after = self.ids.range(self.next..);
        let taken: Vec<CustomerId> = after.chain(self.ids.range(..self.next)).copied().take(most).collect();
        for id in &taken {
            self.ids.remove(id);
        }
        self.next = CustomerId(taken.last().map_or(0, |last| last.0.wrapping_add(1)));
        taken
    }
}
