//! Accounting of customers' quota usage over all gateways: the source from which peers' usage is known, and
//! whether usage over the quota is acceptable.

pub(crate) mod counter_calls;
mod counter_reply;
mod counter_report;
mod usage_report;

use crate::api::Micros;
use crate::customer::{Customer, UsageSource};
use crate::gateway::Gateway;

/// Time since the last usage report after which no further reports are expected.
const USAGE_REPORTS_STALE_AFTER: Micros = 4_000_000;
/// Maximum demand that is accepted, in multiples of the quota: a late report counts the same excess twice.
pub(crate) const MAX_DEMAND: f64 = 10.0;

impl Gateway {
    /// Returns the source from which peers' usage of a customer's quota is known.
    pub(crate) fn usage_source(&self, now: Micros, customer: &Customer) -> UsageSource {
        let capabilities = &self.settings.capabilities;
        let has_fresh_total = capabilities.shared_counter && customer.counter.has_fresh_total(now);
        if has_fresh_total || self.receives_gossip_from_all_gateways_of(now, customer) {
            return UsageSource::Exact;
        }
        let reports_arrive = now <= self.usage_reported_at + USAGE_REPORTS_STALE_AFTER;
        if capabilities.usage_report_period.is_some() && reports_arrive {
            UsageSource::Reported
        } else {
            UsageSource::Unknown
        }
    }

    /// Returns whether gossip reports the usage of every other gateway that serves the customer.
    fn receives_gossip_from_all_gateways_of(&self, now: Micros, customer: &Customer) -> bool {
        let gateway_count = self.settings.gateway_count;
        let is_self_or_alive = |offset| {
            let gateway = (customer.first_gateway + offset) % gateway_count;
            gateway == self.settings.gateway_index || self.gossip.is_peer_alive(now, gateway)
        };
        self.gossip.is_full_mesh() && (0..customer.gateway_count).all(is_self_or_alive)
    }

    /// Returns whether the quota need not be checked: a request over the quota earns more than it costs, and
    /// the back end answers fast enough.
    pub(crate) fn is_overage_acceptable(&self, plan_index: usize) -> bool {
        let plan = self.settings.plans.get(plan_index);
        let is_worthwhile = plan.is_some_and(|plan| plan.overage_weight > plan.overage_cost);
        is_worthwhile && self.load.is_below_target_latency()
    }
}
