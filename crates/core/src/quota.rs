//! Accounting of customers' use of their quotas over all gateways: by the shared counter, by the figure of
//! use in answers, by gossip. `choice.rs` asks for a counter call where a request or a tick needs one.

use crate::api::*;
use crate::attempts::ANSWER_OF_AIM;
use crate::customer_table::{Customer, UsageSource};
use crate::customers::{DEBT_OF_BURST, MEMORY_S, METER_LAG, OFTEN, WINDOW};
use crate::decaying_rate::{fade, seconds};
use crate::gateway::{Actions, Gateway};
use crate::gossip::PEER_FRESH;

const METER_STALE: Micros = 4_000_000; // µs; with no figure of use for this long the even slice serves
const METER_PRIOR_REQUESTS: f64 = 1.0; // requests; a reading made of fewer says little
pub(crate) const DEMAND_MOST: f64 = 10.0; // quotas; a reading that is late tells the same excess twice
/// Quotas: a customer whose demand is under this needs no call...
const LOW_DEMAND: f64 = 0.5;
/// ...once so many requests of it were seen.
const LOW_DEMAND_REQUESTS: f64 = 2.0;
const SPENT: f64 = 1.0; // use of a customer new here that leaves nothing in its store
/// Quotas: the demand that is supposed of a customer whose counted store is empty...
const EMPTY_STORE_DEMAND: f64 = 2.0;
/// ...and the factor on what was supposed before, if it is empty again.
const EMPTY_AGAIN_FACTOR: f64 = 1.5;
const NAME_BITS: u32 = 33; // a customer's number is below 2^33; the window's start goes above it in a name
const COUNT_FRESH: Micros = 200_000; // µs; a total this young needs no second look
pub(crate) const COUNT_SURE: f64 = 0.5; // of the burst; others may draw a store with less dry meanwhile
const COUNT_FELL: f64 = 0.5; // part of the total; one that fell by more has started anew
const MIN_CALLS_PER_REQUEST: f64 = 0.05; // enough to see a counter return
const MAX_CALLS_PER_REQUEST: f64 = 1.5; // one call to reserve and half a call to settle
pub(crate) const MAX_SAVED_CALLS: f64 = 10.0; // calls saved up while idle
pub(crate) const FIRST_CALLS_PER_REQUEST: f64 = 0.3; // where many gateways may start at once
pub(crate) const FIRST_SAVED_CALLS: f64 = 2.0; // the same
pub(crate) const CALLS_SPARED: f64 = MAX_SAVED_CALLS / 2.0; // left by use told late to requests that ask
const CALLS_INCREASE: f64 = 1.05; // factor after a quick reply
const CALLS_DECREASE: f64 = 0.85; // factor after a slow one
/// A reply within a call's time limit divided by this is quick...
const QUICK_DIVISOR: Micros = 2;
/// ...and by this where many gateways share the counter.
const QUICK_DIVISOR_OF_MANY: Micros = 4;
const CROWDED: Micros = 300_000; // µs; what was called before the last cut tells nothing of it

impl Gateway {
    /// How others' use of this customer's quota is known.
    pub(crate) fn usage_source(&self, now: Micros, c: &Customer) -> UsageSource {
        let s = &self.settings;
        let fresh = |g: usize| {
            g == s.gateway_index
                || now < self.peers_heard_at[g].saturating_add(PEER_FRESH) && self.peers_heard_at[g] > 0
        };
        let told = s.capabilities.shared_counter
            && c.counter_replied_at > 0
            && now <= c.counter_replied_at + COUNT_FRESH
            || self.full_mesh_gossip
                && (0..c.gateway_count).all(|k| fresh((c.first_gateway + k) % s.gateway_count));
        match (
            told,
            s.capabilities.usage_report_period.is_some() && now <= self.usage_reported_at + METER_STALE,
        ) {
            (true, _) => UsageSource::Exact,
            (_, true) => UsageSource::Metered,
            _ => UsageSource::Unknown,
        }
    }

    /// Whether a request pays beyond its quota too: then nobody needs to know whether it is inside.
    pub(crate) fn overage_is_acceptable(&self, plan: usize) -> bool {
        let pays = self.settings.plans.get(plan).is_some_and(|p| p.overage_weight > p.overage_cost);
        pays && self.relative_latency < ANSWER_OF_AIM
    }

    /// What an answer says of the customer's use over all gateways, and of a guess's true units.
    pub(crate) fn apply_usage_report(
        &mut self,
        now: Micros,
        id: RequestId,
        used: Option<f64>,
        settled: Option<f64>,
    ) {
        let phase = self.random_source.next_fraction();
        let Some(r) = self.requests.get(&id) else { return };
        let (customer, meter) =
            (r.customer, seconds(self.settings.capabilities.usage_report_period.unwrap_or(0)));
        let Some(c) = self.customers.get_mut(customer) else { return };
        let plan = &c.plan;
        if let Some(units) = settled.filter(|u| u.is_finite() && r.within_quota && !r.finished) {
            c.bucket_level = (c.bucket_level - (units - r.units)).min(plan.burst);
            let due = if c.is_shared_by_few() { &mut c.unreported_units } else { &mut c.settlement_due };
            *due += units - r.units;
        }
        let Some(used) = used.filter(|u| u.is_finite() && *u >= 0.0 && plan.rate > 0.0) else { return };
        self.usage_reported_at = now;
        if c.is_shared_by_few() && c.demand_reported_at == 0 && used >= SPENT {
            c.bucket_level =
                c.bucket_level.min((plan.burst - c.counter_total.unwrap_or(plan.burst)).max(0.0));
        }
        let before = c.demand(now);
        // While the share binds, the meter shows the demand cut by it, some time later.
        if before > 1.0 && now < c.demand_reported_at + METER_LAG {
            return;
        }
        let seen = used * plan.rate * meter / r.units.max(1e-9);
        let fresh = 1.0 - fade(now.saturating_sub(c.demand_reported_at), MEMORY_S);
        let weight = fresh * seen / (seen + METER_PRIOR_REQUESTS);
        let demand = (before + weight * (used * before.max(1.0) - before)).min(DEMAND_MOST);
        c.record_demand(now, demand, phase * r.units);
        c.low_demand = !c.is_shared_by_few()
            && demand < LOW_DEMAND
            && c.plan.rate * meter >= LOW_DEMAND_REQUESTS * r.units;
        if demand.max(before) > 1.0 && !self.full_mesh_gossip {
            self.publish(customer);
        }
    }

    /// Adds what is not counted yet and what is reserved for a waiting request to the counter, one call at a
    /// time. Its budget follows the counter's own speed: a crowded or silent one is called less by all.
    pub(crate) fn call_counter(&mut self, now: Micros, id: CustomerId, reserve: f64, out: Actions) -> bool {
        let Some(c) = self.customers.get_mut(id) else { return false };
        if c.call_in_flight || self.counter_call_budget < 1.0 {
            return c.call_in_flight;
        }
        c.call_in_flight = true;
        // What is reserved counts as used until the request goes; a refused one gives it back.
        c.units_in_call =
            c.unreported_units + std::mem::take(&mut c.settlement_due) + c.total_correction + reserve;
        c.unreported_units = -reserve;
        let (start, amount) = (c.counter_window(now, id), c.units_in_call);
        self.send_counter_call(id, start, start, amount, out);
        true
    }

    /// Calls the number of a window; by the total of another it learns what the one from `start` owes.
    pub(crate) fn send_counter_call(
        &mut self,
        id: CustomerId,
        window: Micros,
        start: Micros,
        amount: f64,
        out: Actions,
    ) {
        let counter = CounterId(id.0 ^ (window / 1_000) << NAME_BITS);
        self.counter_call_budget -= 1.0;
        self.pending_counter_calls.insert(counter, (id, window, start));
        out.push(Action::AddToCounter { counter, amount, ttl: WINDOW });
    }

    /// A total of the counter: what it rose by besides our own is others' use. Few put nothing right on it.
    pub(crate) fn apply_counter_reply(
        &mut self,
        now: Micros,
        counter: CounterId,
        result: CounterResult,
        took: Micros,
        out: Actions,
    ) {
        let fraction = self.random_source.next_fraction();
        let total = match result {
            CounterResult::Total(total) => Some(total),
            CounterResult::Refused | CounterResult::Unknown => None,
        };
        let (limit, many) = (self.settings.capabilities.counter_timeout, self.settings.gateway_count > OFTEN);
        let quick = if many { QUICK_DIVISOR_OF_MANY } else { QUICK_DIVISOR };
        let quick = total.is_some() && limit.is_none_or(|limit| took < limit / quick);
        if quick || now >= self.last_backoff_at + CROWDED {
            let gain = if quick { CALLS_INCREASE } else { CALLS_DECREASE };
            self.calls_per_request =
                (self.calls_per_request * gain).clamp(MIN_CALLS_PER_REQUEST, MAX_CALLS_PER_REQUEST);
            self.last_backoff_at = if quick { self.last_backoff_at } else { now };
        }
        let Some((id, window, start)) = self.pending_counter_calls.remove(&counter) else { return };
        let Some(c) = self.customers.get_mut(id) else { return };
        c.call_in_flight = false;
        let (added, waiting) = (std::mem::take(&mut c.units_in_call), std::mem::take(&mut c.queued_requests));
        if let Some(total) = total.filter(|t| t.is_finite()) {
            c.refill(now, 0.0, UsageSource::Exact);
            let before = total - added;
            if c.is_shared_by_few() {
                let last = c.counter_total.replace(total).unwrap_or(before);
                let others = if before < last * COUNT_FELL { before.max(0.0) } else { before - last };
                // A call that had no answer may have been added, and then is none of theirs. They took theirs
                // while the store filled, so first of what it could not hold. What several took at once, each
                // by a total of some age, is owed; tries beyond that took nothing.
                let others =
                    others - std::mem::take(&mut c.possibly_counted_units).clamp(0.0, others.max(0.0));
                let lag = seconds(COUNT_FRESH) * c.plan.rate * c.gateway_count as f64;
                let least = c.bucket_level.min(-lag.min(c.plan.burst * DEBT_OF_BURST));
                c.bucket_level = (c.bucket_level + std::mem::take(&mut c.bucket_overflow) - others)
                    .clamp(least, c.plan.burst);
            } else if window != start {
                c.carry_over_deficit(total);
            } else if before == 0.0 && c.may_owe_previous_window(now, start) {
                // Who opens a window looks up what the one before left owing.
                (c.call_in_flight, c.counter_total) = (true, Some(total));
                self.send_counter_call(id, start - WINDOW, start, 0.0, out);
            } else {
                c.apply_shared_total(now, start, total, added, fraction);
            }
            let Some(c) = self.customers.get_mut(id) else { return };
            c.counter_replied_at = now;
            if !c.is_shared_by_few() {
                c.local_allowance = c.bucket_level.max(0.0);
            }
            let dry = if c.is_shared_by_few() {
                EMPTY_STORE_DEMAND
            } else {
                (EMPTY_AGAIN_FACTOR * c.demand(now)).clamp(EMPTY_STORE_DEMAND, DEMAND_MOST)
            };
            if c.bucket_level < 1.0 && c.demand(now) < dry {
                c.record_demand(now, dry, 0.0);
            }
        } else if result == CounterResult::Unknown {
            (c.possibly_counted_units, c.total_correction) = (c.possibly_counted_units + added, 0.0);
        } else {
            c.unreported_units += added - std::mem::take(&mut c.total_correction);
        }
        self.changed_customers.insert(id);
        for waits in waiting {
            if self.requests.get(&waits).is_some_and(|r| r.queued) {
                self.dequeue(now, waits, out);
            }
        }
        // All gateways go by the total: what it lacks, or holds for one that did not go, waits for no round.
        let answered = |c: &&Customer| total.is_some() && !c.is_shared_by_few() && !c.call_in_flight;
        let Some(c) = self.customers.get(id).filter(answered) else { return };
        if c.total_correction != 0.0 || c.unreported_units != 0.0 {
            self.counter_call_budget = self.counter_call_budget.max(1.0);
            self.call_counter(now, id, 0.0, out);
        }
    }
}
