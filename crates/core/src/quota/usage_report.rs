//! What responses tell of a customer's use over all gateways, and of a request's true units.

use crate::api::{Micros, RequestId};
use crate::customer::Customer;
use crate::decaying_rate::seconds;
use crate::gateway::Gateway;
use crate::quota::MAX_DEMAND;

/// A usage report made of fewer requests than this says little.
const PRIOR_REQUESTS: f64 = 1.0;
/// A customer whose demand is below this, in multiples of the quota, needs no counter calls...
const LOW_DEMAND: f64 = 0.5;
/// ...once its quota allows so many of its requests in a report's period.
const LOW_DEMAND_REQUESTS: f64 = 2.0;
/// Use, as a share of the quota, that leaves nothing in the bucket of a customer that is new to this gateway.
const FULL_USE: f64 = 1.0;

/// The request that a report came with, as far as accounting needs it.
#[derive(Clone, Copy)]
struct ReportedRequest {
    /// Units that it named.
    units: f64,
    /// It was forwarded within the quota and has had no answer yet.
    settles: bool,
}

impl Gateway {
    /// Applies what a response reports of the customer's use over all gateways, and of an estimate's true
    /// units.
    pub(crate) fn apply_usage_report(
        &mut self,
        now: Micros,
        id: RequestId,
        reported_usage: Option<f64>,
        settled_units: Option<f64>,
    ) {
        let phase = self.random_source.next_fraction();
        let Some(request) = self.requests.get(&id) else { return };
        let customer_id = request.customer;
        let reported =
            ReportedRequest { units: request.units, settles: request.within_quota && !request.finished };
        let Some(customer) = self.customers.get_mut(customer_id) else { return };
        if let Some(units) = settled_units.filter(|units| units.is_finite() && reported.settles) {
            settle_units(customer, units - reported.units);
        }
        let is_usable = |usage: &f64| usage.is_finite() && *usage >= 0.0 && customer.plan.rate > 0.0;
        let Some(usage) = reported_usage.filter(is_usable) else { return };
        self.usage_reported_at = now;
        let period_s = seconds(self.settings.capabilities.usage_report_period.unwrap_or(0));
        let exceeds_quota = update_demand(customer, now, usage, period_s, reported.units, phase);
        if exceeds_quota && !self.gossip.is_full_mesh() {
            self.publish(customer_id);
        }
    }
}

/// Records the difference between a request's true units and those it named.
fn settle_units(customer: &mut Customer, difference: f64) {
    customer.bucket.settle(difference, &customer.plan);
    if customer.is_shared_by_few() {
        customer.counter.add_use(difference);
    } else {
        customer.counter.add_settlement(difference);
    }
}

/// Updates a customer's demand by the use that a response reported; whether the demand exceeds the quota, or
/// did.
fn update_demand(
    customer: &mut Customer,
    now: Micros,
    usage: f64,
    period_s: f64,
    units: f64,
    phase: f64,
) -> bool {
    let rate = customer.plan.rate;
    if customer.is_shared_by_few() && customer.demand.is_unknown() && usage >= FULL_USE {
        let burst = customer.plan.burst;
        let left = (burst - customer.counter.total().unwrap_or(burst)).max(0.0);
        customer.bucket.limit_level(left);
    }
    let before = customer.demand.at(now);
    // While gateways limit use to their shares, the report shows the limited demand, some time later.
    if before > 1.0 && customer.demand.is_settling(now) {
        return false;
    }
    let requests_seen = usage * rate * period_s / units.max(1e-9);
    let weight = customer.demand.weight_of_report(now) * requests_seen / (requests_seen + PRIOR_REQUESTS);
    let demand = (before + weight * (usage * before.max(1.0) - before)).min(MAX_DEMAND);
    customer.record_demand(now, demand, phase * units);
    let is_seen_enough = rate * period_s >= LOW_DEMAND_REQUESTS * units;
    customer.demand.set_low(!customer.is_shared_by_few() && demand < LOW_DEMAND && is_seen_enough);
    demand.max(before) > 1.0
}
