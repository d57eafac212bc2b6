//! Accounting of customers' use of their quotas over all gateways: how others' use is known, and whether use
//! over the quota is acceptable.

pub(crate) mod counter_calls;
mod counter_reply;
mod counter_report;
mod usage_report;

use crate::api::Micros;
use crate::customer::{Customer, UsageSource};
use crate::gateway::Gateway;

/// With no usage report for so long, usage reports are not known to arrive.
const USAGE_REPORTS_STALE_AFTER: Micros = 4_000_000;
/// Largest demand that is believed, in multiples of the quota: a report that is late tells the same excess
/// twice.
pub(crate) const MAX_DEMAND: f64 = 10.0;

impl Gateway {
    /// How others' use of this customer's quota is known.
    pub(crate) fn usage_source(&self, now: Micros, customer: &Customer) -> UsageSource {
        let capabilities = &self.settings.capabilities;
        let is_counted = capabilities.shared_counter && customer.counter.is_fresh(now);
        if is_counted || self.hears_all_gateways_of(now, customer) {
            return UsageSource::Exact;
        }
        let reports_arrive = now <= self.usage_reported_at + USAGE_REPORTS_STALE_AFTER;
        if capabilities.usage_report_period.is_some() && reports_arrive {
            UsageSource::Metered
        } else {
            UsageSource::Unknown
        }
    }

    /// Whether gossip tells the use of every other gateway that serves the customer.
    fn hears_all_gateways_of(&self, now: Micros, customer: &Customer) -> bool {
        let gateway_count = self.settings.gateway_count;
        let is_heard = |offset| {
            let gateway = (customer.first_gateway + offset) % gateway_count;
            gateway == self.settings.gateway_index || self.gossip.is_peer_alive(now, gateway)
        };
        self.gossip.is_full_mesh() && (0..customer.gateway_count).all(is_heard)
    }

    /// Whether a request pays also over its quota, so that it need not be known whether it is within.
    pub(crate) fn overage_is_acceptable(&self, plan_index: usize) -> bool {
        let plan = self.settings.plans.get(plan_index);
        let pays = plan.is_some_and(|plan| plan.overage_weight > plan.overage_cost);
        pays && self.load.is_below_target_latency()
    }
}
