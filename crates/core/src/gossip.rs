//! Gossip between gateways: what is told of customers' use, to whom and how often, and what is made of what
//! others tell. Called by `choice.rs` on each tick, message and reading of use.

use crate::api::*;
use crate::customer_table::UsageSource;
use crate::customers::DEBT_OF_BURST;
use crate::gateway::{Actions, Gateway};
use crate::gossip_message::{read, write, CustomerUsage, MAX_ENTRIES};
use crate::quota::DEMAND_MOST;

pub(crate) const PEER_FRESH: Micros = 1_500_000; // µs; a peer not heard for this long may be down or cut off
pub(crate) const HEARTBEAT: Micros = 500_000; // µs; three lost in a row are rarer than a peer that is down
pub(crate) const GOSSIP_OF_INTAKE: f64 = 0.8; // part of a gateway's intake that its peers fill together
/// Lines of 19 bytes that a request received pays for: under half a message.
pub(crate) const GOSSIP_PER_REQUEST: f64 = 6.0;
pub(crate) const MAX_GOSSIP_BUDGET: f64 = 400.0; // lines; most saved up while idle

impl Gateway {
    /// Queues news of a customer for its gateways; among many, as our own requests pay for it.
    pub(crate) fn publish(&mut self, id: CustomerId) {
        let Some((first, spread)) = self.customers.get(id).map(|c| (c.first_gateway, c.gateway_count)) else {
            return;
        };
        let cost = if self.full_mesh_gossip { 0.0 } else { spread as f64 };
        if self.settings.capabilities.gossip && self.gossip_budget >= cost {
            self.gossip_budget -= cost;
            for k in 0..spread {
                self.gossip_queue.insert((first + k) % self.settings.gateway_count, id);
            }
        }
    }

    /// Sends what is queued; use as running totals, so that a lost message only delays the news.
    pub(crate) fn send_gossip(&mut self, now: Micros, out: Actions) {
        let since = now.saturating_sub(self.gossip_sent_at);
        if self.full_mesh_gossip && since < self.gossip_interval {
            return;
        }
        let beat = self.full_mesh_gossip && since >= HEARTBEAT;
        let due =
            if beat { (0..self.settings.gateway_count).collect() } else { self.gossip_queue.gateways() };
        for to in due.into_iter().filter(|to| *to != self.settings.gateway_index) {
            self.gossip_sent_at = now;
            self.entries_examined += 1;
            let most = self.gossip_queue.take(to, MAX_ENTRIES);
            let known = most.iter().filter_map(|id| Some((*id, self.customers.get(*id)?)));
            let lines = known.map(|(customer, c)| {
                let total = (c.admitted_units * 8.0) as u64 as u32;
                CustomerUsage {
                    customer,
                    plan: c.plan_index,
                    gateway_count: c.gateway_count,
                    total_eighths: total,
                    demand: c.reported_demand,
                }
            });
            out.push(Action::SendGossip { to, message: write(self.incarnation, &lines.collect::<Vec<_>>()) });
        }
    }

    pub(crate) fn receive_gossip(&mut self, now: Micros, from: usize, data: &[u8]) {
        let known = from < self.peers_heard_at.len() && from != self.settings.gateway_index;
        let phase = self.random_source.next_fraction();
        let Some((life, lines)) = read(data).filter(|_| known) else { return };
        self.peers_heard_at[from] = now;
        for CustomerUsage { customer: id, plan, gateway_count: spread, total_eighths: total, demand } in lines
        {
            self.ensure_customer(
                now,
                id,
                plan,
                spread,
                self.customers.get(id).map_or(from, |c| c.first_gateway),
            );
            let Some(c) = self.customers.get_mut(id).filter(|c| c.plan_index == plan) else { continue };
            c.refill(now, 0.0, UsageSource::Exact);
            if !self.full_mesh_gossip {
                c.record_demand(now, demand.min(DEMAND_MOST), phase);
                continue;
            }
            // Units that two gateways took at once leave a debt.
            let units = f64::from(match c.peer_totals.insert(from, (life, total)) {
                Some((l, before)) if l == life => total.wrapping_sub(before) & 0xff_ffff,
                _ => total,
            }) / 8.0;
            let units = if units <= c.plan.burst { units } else { 0.0 };
            c.bucket_level =
                (c.bucket_level - units).max((-c.plan.burst * DEBT_OF_BURST).min(c.bucket_level));
        }
    }
}
