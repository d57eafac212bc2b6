//! Usage reports in responses: a customer's usage over all gateways, and the settlement of the units that a
//! request actually used.

use crate::api::{Micros, RequestId};
use crate::customer::Customer;
use crate::decaying_rate::seconds;
use crate::gateway::Gateway;
use crate::quota::MAX_DEMAND;

/// Number of requests at which a usage report gets half of its full weight; a report on fewer requests says
/// little about the demand.
const PRIOR_REQUESTS: f64 = 1.0;
/// Demand, in multiples of the quota, below which a customer of many gateways needs no counter calls.
const LOW_DEMAND: f64 = 0.5;
/// Number of a customer's requests that the quota must allow within a report's period before a low demand is
/// relied on.
const LOW_DEMAND_MIN_REQUESTS: f64 = 2.0;
/// Reported usage, in multiples of the quota, from which a customer new to this gateway keeps in its bucket
/// only what the counter's total leaves of the burst; without a total, nothing.
const FULL_USAGE: f64 = 1.0;

/// The accounting data of the request whose response carries a report.
#[derive(Clone, Copy)]
struct ReportedRequest {
    /// Estimated units of the request.
    units: f64,
    /// Whether the request was forwarded within the quota and has had no final answer yet.
    may_settle: bool,
}

impl Gateway {
    /// Applies a response's report of the customer's usage over all gateways and of the units to settle for a
    /// request whose units were an estimate.
    pub(crate) fn apply_usage_report(
        &mut self,
        now: Micros,
        id: RequestId,
        reported_usage: Option<f64>,
        settled_units: Option<f64>,
    ) {
        let random_fraction = self.random_source.next_fraction();
        let Some(request) = self.requests.get(&id) else { return };
        let customer_id = request.customer;
        let reported =
            ReportedRequest { units: request.units, may_settle: request.within_quota && !request.finished };
        let Some(customer) = self.customers.get_mut(customer_id) else { return };
        if let Some(units) = settled_units.filter(|units| units.is_finite() && reported.may_settle) {
            settle_units(customer, units - reported.units);
        }
        let is_usable = |usage: &f64| usage.is_finite() && *usage >= 0.0 && customer.plan.rate > 0.0;
        let Some(usage) = reported_usage.filter(is_usable) else { return };
        self.usage_reported_at = now;
        let period_s = seconds(self.settings.capabilities.usage_report_period.unwrap_or(0));
        let exceeds_quota = update_demand(customer, now, usage, period_s, reported.units, random_fraction);
        if exceeds_quota && !self.gossip.is_full_mesh() {
            self.publish(customer_id);
        }
    }
}

/// Records the difference between a request's settled and estimated units.
fn settle_units(customer: &mut Customer, difference: f64) {
    customer.bucket.settle(difference, &customer.plan);
    if customer.is_served_by_few_gateways() {
        customer.counter.add_usage(difference);
    } else {
        customer.counter.add_settlement(difference);
    }
}

/// Updates a customer's demand from the usage in a response. Returns whether the demand exceeds the quota now
/// or did before.
fn update_demand(
    customer: &mut Customer,
    now: Micros,
    usage: f64,
    period_s: f64,
    units: f64,
    random_fraction: f64,
) -> bool {
    let rate = customer.plan.rate;
    if customer.is_served_by_few_gateways() && customer.demand.is_unknown() && usage >= FULL_USAGE {
        let burst = customer.plan.burst;
        let left = (burst - customer.counter.total().unwrap_or(burst)).max(0.0);
        customer.bucket.cap_level(left);
    }
    let before = customer.demand.at(now);
    // While gateways limit usage to their shares, reports show the limited demand, with a delay.
    if before > 1.0 && customer.demand.is_within_report_lag(now) {
        return false;
    }
    let requests_seen = usage * rate * period_s / units.max(1e-9);
    let weight = customer.demand.weight_of_report(now) * requests_seen / (requests_seen + PRIOR_REQUESTS);
    let demand = (before + weight * (usage * before.max(1.0) - before)).min(MAX_DEMAND);
    customer.record_demand(now, demand, random_fraction * units);
    let has_enough_requests = rate * period_s >= LOW_DEMAND_MIN_REQUESTS * units;
    customer
        .demand
        .set_low(!customer.is_served_by_few_gateways() && demand < LOW_DEMAND && has_enough_requests);
    demand.max(before) > 1.0
}
