//! Gossip between gateways: which customers' usage is published to which peers and how often, and how usage
//! received from peers is applied.

pub(crate) mod message;
pub(crate) mod queue;
pub(crate) mod state;

use crate::api::{Action, CustomerId, Micros};
use crate::customer::UsageSource;
use crate::gateway::Gateway;
use crate::quota::MAX_DEMAND;
use message::{decode, encode, CustomerUsage, MAX_ENTRIES};

impl Gateway {
    /// Queues a customer's usage for the gateways that serve the customer, if the send budget allows it.
    pub(crate) fn publish(&mut self, id: CustomerId) {
        let Some(customer) = self.customers.get(id) else { return };
        if !self.settings.capabilities.gossip || !self.gossip.try_withdraw_entries(customer.gateway_count) {
            return;
        }
        for offset in 0..customer.gateway_count {
            let gateway = (customer.first_gateway + offset) % self.settings.gateway_count;
            self.gossip.enqueue(gateway, id);
        }
    }

    /// Sends a message to each peer to which one is due. Usage is sent as running totals, so that a lost
    /// message only delays it.
    pub(crate) fn send_gossip(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for to in self.gossip.due_gateways(now, self.settings.gateway_count) {
            if to == self.settings.gateway_index {
                continue;
            }
            self.gossip.record_send(now);
            self.entries_visited_by_ticks += 1;
            let queued = self.gossip.take_queued(to, MAX_ENTRIES);
            let entries: Vec<CustomerUsage> = queued.into_iter().filter_map(|id| self.usage_of(id)).collect();
            let message = encode(self.gossip.incarnation(), &entries);
            actions.push(Action::SendGossip { to, message });
        }
    }

    /// Returns the entry that this gateway publishes for a customer.
    fn usage_of(&self, id: CustomerId) -> Option<CustomerUsage> {
        let customer = self.customers.get(id)?;
        Some(CustomerUsage {
            customer: id,
            plan: customer.plan_index,
            gateway_count: customer.gateway_count,
            total_eighths: customer.peer_usage.local_total_eighths(),
            demand: customer.demand.reported(),
        })
    }

    /// Handles a message from another gateway; ignores malformed messages and unknown senders.
    pub(crate) fn receive_gossip(&mut self, now: Micros, from: usize, message: &[u8]) {
        let is_peer = from < self.settings.gateway_count && from != self.settings.gateway_index;
        let random_fraction = self.random_source.next_fraction();
        let Some(message) = decode(message).filter(|_| is_peer) else { return };
        self.gossip.record_received(now, from);
        for entry in message.entries {
            self.apply_peer_usage(now, from, message.incarnation, &entry, random_fraction);
        }
    }

    /// Applies an entry that another gateway published for a customer.
    fn apply_peer_usage(
        &mut self,
        now: Micros,
        from: usize,
        incarnation: u32,
        entry: &CustomerUsage,
        random_fraction: f64,
    ) {
        let first_gateway = self.customers.get(entry.customer).map_or(from, |known| known.first_gateway);
        self.ensure_customer(now, entry.customer, entry.plan, entry.gateway_count, first_gateway);
        let is_full_mesh = self.gossip.is_full_mesh();
        let Some(customer) = self.customers.get_mut(entry.customer) else { return };
        if customer.plan_index != entry.plan {
            return;
        }
        customer.refill(now, 0.0, UsageSource::Exact);
        if !is_full_mesh {
            customer.record_demand(now, entry.demand.min(MAX_DEMAND), random_fraction);
            return;
        }
        let units = customer.peer_usage.record(from, incarnation, entry.total_eighths);
        // A difference above the burst shows that the start of the peer's running total was missed.
        let units = if units <= customer.plan.burst { units } else { 0.0 };
        customer.bucket.take_peer_usage(units, &customer.plan);
    }
}
