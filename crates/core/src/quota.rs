//! Accounting of customers' use of their quotas over all gateways: by the shared counter, by the figure of
//! use in answers, by gossip. `choice.rs` asks for a counter call where a request or a tick needs one.

use crate::api::*;
use crate::attempts::ANSWER_OF_AIM;
use crate::customer_table::{Customer, UsageSource};
use crate::customers::{DEBT_OF_BURST, MEMORY_S, METER_LAG, OFTEN, WINDOW};
use crate::decaying_rate::{fade, seconds};
use crate::gateway::{Gateway, Out};
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
            g == s.gateway_index || now < self.peers[g].saturating_add(PEER_FRESH) && self.peers[g] > 0
        };
        let told = s.capabilities.shared_counter && c.counted > 0 && now <= c.counted + COUNT_FRESH
            || self.near && (0..c.spread).all(|k| fresh((c.first + k) % s.gateway_count));
        match (told, s.capabilities.usage_report_period.is_some() && now <= self.metered + METER_STALE) {
            (true, _) => UsageSource::Exact,
            (_, true) => UsageSource::Metered,
            _ => UsageSource::Unknown,
        }
    }

    /// Whether a request pays beyond its quota too: then nobody needs to know whether it is inside.
    pub(crate) fn paid(&self, plan: usize) -> bool {
        let pays = self.settings.plans.get(plan).is_some_and(|p| p.overage_weight > p.overage_cost);
        pays && self.latency_estimate < ANSWER_OF_AIM
    }

    /// What an answer says of the customer's use over all gateways, and of a guess's true units.
    pub(crate) fn meter(&mut self, now: Micros, id: RequestId, used: Option<f64>, settled: Option<f64>) {
        let phase = self.random_source.next_fraction();
        let Some(r) = self.requests.get(&id) else { return };
        let (customer, meter) =
            (r.customer, seconds(self.settings.capabilities.usage_report_period.unwrap_or(0)));
        let Some(c) = self.customers.get_mut(customer) else { return };
        let plan = &c.terms;
        if let Some(units) = settled.filter(|u| u.is_finite() && r.inside && !r.done) {
            c.bucket_level = (c.bucket_level - (units - r.units)).min(plan.burst);
            let due = if c.few() { &mut c.uncounted } else { &mut c.owed };
            *due += units - r.units;
        }
        let Some(used) = used.filter(|u| u.is_finite() && *u >= 0.0 && plan.rate > 0.0) else { return };
        self.metered = now;
        if c.few() && c.demand_at == 0 && used >= SPENT {
            c.bucket_level = c.bucket_level.min((plan.burst - c.total.unwrap_or(plan.burst)).max(0.0));
        }
        let before = c.demand(now);
        // While the share binds, the meter shows the demand cut by it, some time later.
        if before > 1.0 && now < c.demand_at + METER_LAG {
            return;
        }
        let seen = used * plan.rate * meter / r.units.max(1e-9);
        let fresh = 1.0 - fade(now.saturating_sub(c.demand_at), MEMORY_S);
        let weight = fresh * seen / (seen + METER_PRIOR_REQUESTS);
        let demand = (before + weight * (used * before.max(1.0) - before)).min(DEMAND_MOST);
        c.learn(now, demand, phase * r.units);
        c.calm = !c.few() && demand < LOW_DEMAND && c.terms.rate * meter >= LOW_DEMAND_REQUESTS * r.units;
        if demand.max(before) > 1.0 && !self.near {
            self.publish(customer);
        }
    }

    /// Adds what is not counted yet and what is reserved for a waiting request to the counter, one call at a
    /// time. Its budget follows the counter's own speed: a crowded or silent one is called less by all.
    pub(crate) fn call(&mut self, now: Micros, id: CustomerId, reserve: f64, out: Out) -> bool {
        let Some(c) = self.customers.get_mut(id) else { return false };
        if c.calling || self.calls < 1.0 {
            return c.calling;
        }
        c.calling = true;
        // What is reserved counts as used until the request goes; a refused one gives it back.
        c.adding = c.uncounted + std::mem::take(&mut c.owed) + c.correction + reserve;
        c.uncounted = -reserve;
        let (start, amount) = (c.window(now, id), c.adding);
        self.count(id, start, start, amount, out);
        true
    }

    /// Calls the number of a window; by the total of another it learns what the one from `start` owes.
    pub(crate) fn count(&mut self, id: CustomerId, window: Micros, start: Micros, amount: f64, out: Out) {
        let counter = CounterId(id.0 ^ (window / 1_000) << NAME_BITS);
        self.calls -= 1.0;
        self.asked.insert(counter, (id, window, start));
        out.push(Action::AddToCounter { counter, amount, ttl: WINDOW });
    }

    /// A total of the counter: what it rose by besides our own is others' use. Few put nothing right on it.
    pub(crate) fn counted(
        &mut self,
        now: Micros,
        counter: CounterId,
        result: CounterResult,
        took: Micros,
        out: Out,
    ) {
        let fraction = self.random_source.next_fraction();
        let total = match result {
            CounterResult::Total(total) => Some(total),
            CounterResult::Refused | CounterResult::Unknown => None,
        };
        let (limit, many) = (self.settings.capabilities.counter_timeout, self.settings.gateway_count > OFTEN);
        let quick = if many { QUICK_DIVISOR_OF_MANY } else { QUICK_DIVISOR };
        let quick = total.is_some() && limit.is_none_or(|limit| took < limit / quick);
        if quick || now >= self.cut + CROWDED {
            let gain = if quick { CALLS_INCREASE } else { CALLS_DECREASE };
            self.call_share = (self.call_share * gain).clamp(MIN_CALLS_PER_REQUEST, MAX_CALLS_PER_REQUEST);
            self.cut = if quick { self.cut } else { now };
        }
        let Some((id, window, start)) = self.asked.remove(&counter) else { return };
        let Some(c) = self.customers.get_mut(id) else { return };
        c.calling = false;
        let (added, waiting) = (std::mem::take(&mut c.adding), std::mem::take(&mut c.waiting));
        if let Some(total) = total.filter(|t| t.is_finite()) {
            c.refill(now, 0.0, UsageSource::Exact);
            let before = total - added;
            if c.few() {
                let last = c.total.replace(total).unwrap_or(before);
                let others = if before < last * COUNT_FELL { before.max(0.0) } else { before - last };
                // A call that had no answer may have been added, and then is none of theirs. They took theirs
                // while the store filled, so first of what it could not hold. What several took at once, each
                // by a total of some age, is owed; tries beyond that took nothing.
                let others = others - std::mem::take(&mut c.unsure).clamp(0.0, others.max(0.0));
                let lag = seconds(COUNT_FRESH) * c.terms.rate * c.spread as f64;
                let least = c.bucket_level.min(-lag.min(c.terms.burst * DEBT_OF_BURST));
                c.bucket_level =
                    (c.bucket_level + std::mem::take(&mut c.overflow) - others).clamp(least, c.terms.burst);
            } else if window != start {
                c.carry_over(total);
            } else if before == 0.0 && c.opens(now, start) {
                // Who opens a window looks up what the one before left owing.
                (c.calling, c.total) = (true, Some(total));
                self.count(id, start - WINDOW, start, 0.0, out);
            } else {
                c.take_shared_total(now, start, total, added, fraction);
            }
            let Some(c) = self.customers.get_mut(id) else { return };
            c.counted = now;
            if !c.few() {
                c.local_allowance = c.bucket_level.max(0.0);
            }
            let dry = if c.few() {
                EMPTY_STORE_DEMAND
            } else {
                (EMPTY_AGAIN_FACTOR * c.demand(now)).clamp(EMPTY_STORE_DEMAND, DEMAND_MOST)
            };
            if c.bucket_level < 1.0 && c.demand(now) < dry {
                c.learn(now, dry, 0.0);
            }
        } else if result == CounterResult::Unknown {
            (c.unsure, c.correction) = (c.unsure + added, 0.0);
        } else {
            c.uncounted += added - std::mem::take(&mut c.correction);
        }
        self.changed.insert(id);
        for waits in waiting {
            if self.requests.get(&waits).is_some_and(|r| r.held) {
                self.leave(now, waits, out);
            }
        }
        // All gateways go by the total: what it lacks, or holds for one that did not go, waits for no round.
        let answered = |c: &&Customer| total.is_some() && !c.few() && !c.calling;
        let Some(c) = self.customers.get(id).filter(answered) else { return };
        if c.correction != 0.0 || c.uncounted != 0.0 {
            self.calls = self.calls.max(1.0);
            self.call(now, id, 0.0, out);
        }
    }
}
