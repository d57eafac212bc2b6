//! The state of one customer at one gateway, composed of types with one concern each.

pub(crate) mod counter_account;
pub(crate) mod demand;
pub(crate) mod hard_limit;
pub(crate) mod pacer;
pub(crate) mod peer_usage;
pub(crate) mod table;
pub(crate) mod token_bucket;

use crate::api::{CustomerId, Micros, Plan};
use crate::decaying_rate::seconds;
use crate::handover::text::handover_record;
use crate::random_source::GOLDEN_RATIO;
use counter_account::{CounterAccount, COUNTER_KEY_LIFETIME};
use demand::Demand;
use hard_limit::HardLimit;
use pacer::Pacer;
use peer_usage::PeerUsage;
use token_bucket::{max_deficit, TokenBucket};

/// Maximum number of gateways at which each of them receives a customer's requests often enough to derive the
/// peers' usage from successive totals of the shared counter.
pub(crate) const MAX_FEW_GATEWAYS: usize = 8;

/// Fraction of the burst that the bucket must hold for a request with a fresh total to need no counter call;
/// below it, peers may empty the bucket in the meantime.
const SAFE_LEVEL_FRACTION: f64 = 0.5;

/// The source from which peers' usage of a customer's quota is known.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum UsageSource {
    /// Usage is known exactly, from the shared counter or from gossip with every gateway.
    Exact,
    /// Usage is known as demand, from usage reports in responses.
    Reported,
    /// Usage is not known.
    Unknown,
}

/// A customer as known to this gateway.
#[derive(Default)]
pub(crate) struct Customer {
    /// Index of the plan in the settings.
    pub plan_index: usize,
    /// The customer's plan.
    pub plan: Plan,
    /// Number of gateways that serve the customer.
    pub gateway_count: usize,
    /// Index of the first gateway that serves the customer.
    pub first_gateway: usize,
    /// Number of the customer's requests in flight at this gateway.
    pub in_flight: u32,
    /// Token bucket of the quota.
    pub bucket: TokenBucket,
    /// Demand at all gateways and at this one.
    pub demand: Demand,
    /// Pacing delay of requests over the quota.
    pub pacer: Pacer,
    /// This gateway's share of the plan's hard limit.
    pub hard_limit: HardLimit,
    /// Record of the calls to the shared counter.
    pub counter: CounterAccount,
    /// Usage totals exchanged by gossip.
    pub peer_usage: PeerUsage,
}

handover_record!(Customer {
    plan_index, gateway_count, first_gateway, bucket, demand, pacer, hard_limit, counter
} times {});

impl Customer {
    /// Creates a customer that is new to this gateway, with a full bucket. This gateway's share of the hard
    /// limit is refilled only for the age of the process, since an earlier process may have used it up.
    pub fn new(
        now: Micros,
        plan_index: usize,
        plan: &Plan,
        gateway_count: usize,
        process_age: Micros,
    ) -> Customer {
        let even_share = 1.0 / gateway_count as f64;
        Customer {
            plan_index,
            plan: plan.clone(),
            gateway_count,
            bucket: TokenBucket::full(now, plan),
            pacer: Pacer::new(now),
            hard_limit: HardLimit::filled_for(process_age, plan, even_share),
            ..Customer::default()
        }
    }

    /// Returns whether so few gateways serve the customer that each of them receives its requests often.
    pub fn is_served_by_few_gateways(&self) -> bool {
        self.gateway_count <= MAX_FEW_GATEWAYS
    }

    /// Returns the share of the quota that each gateway has if it is split evenly.
    fn even_share(&self) -> f64 {
        1.0 / self.gateway_count as f64
    }

    /// Returns this gateway's share of the quota: its fraction of the usage where that is known, and at least
    /// an even share.
    pub fn quota_share(&self, now: Micros, source: UsageSource) -> f64 {
        match source {
            UsageSource::Exact => 1.0,
            UsageSource::Unknown => self.even_share(),
            UsageSource::Reported => {
                let demand_rate = self.demand.at(now) * self.plan.rate;
                let local_share = self.demand.local_rate(now) / demand_rate.max(1e-9);
                local_share.clamp(self.even_share(), 1.0)
            }
        }
    }

    /// Refills the bucket, this gateway's allowance and the hard limit. The allowance may always grow to what
    /// a few requests of `units` units need.
    pub fn refill(&mut self, now: Micros, units: f64, source: UsageSource) {
        let elapsed_s = seconds(now.saturating_sub(self.bucket.refilled_at()));
        self.counter.add_overflow(self.bucket.refill(elapsed_s, &self.plan));
        if self.demand.at(now) <= 1.0 {
            let share = self.allowance_share(source);
            let keeps_allowance = !self.is_served_by_few_gateways();
            self.bucket.refill_allowance(elapsed_s, &self.plan, share, units, keeps_allowance);
        }
        self.hard_limit.refill(elapsed_s, &self.plan, self.even_share());
        self.bucket.set_refilled_at(now);
    }

    /// Returns the fraction of the rate that refills this gateway's allowance while demand is within the
    /// quota.
    fn allowance_share(&self, source: UsageSource) -> f64 {
        match source {
            _ if self.demand.is_low() => 1.0,
            UsageSource::Unknown => self.even_share(),
            UsageSource::Exact | UsageSource::Reported => {
                token_bucket::allowance_with_headroom(self.even_share())
            }
        }
    }

    /// Records the arrival of a request and ends the pacer's elapsed intervals.
    pub fn record_arrival(&mut self, now: Micros, units: f64, source: UsageSource, max_delay_ms: f64) {
        self.refill(now, units, source);
        let quota_rate = self.plan.rate * self.quota_share(now, source);
        self.pacer.advance(now, quota_rate, self.in_flight, max_delay_ms);
        self.demand.add_local_usage(now, units);
        self.pacer.add_units(units);
        self.in_flight += 1;
    }

    /// Returns the units that a request may use now: the level of the bucket where usage is known exactly,
    /// otherwise at most this gateway's allowance.
    pub fn available_units(&self, source: UsageSource) -> f64 {
        match source {
            UsageSource::Exact => self.bucket.level(),
            UsageSource::Reported | UsageSource::Unknown => self.bucket.level().min(self.bucket.allowance()),
        }
    }

    /// Returns whether a request of `units` units is within the quota and the plan's concurrency.
    pub fn is_within_quota(&self, now: Micros, units: f64, source: UsageSource) -> bool {
        let is_within_rate = self.plan.rate == 0.0 || self.available_units(source) >= units;
        is_within_rate && self.is_within_concurrency(now, source)
    }

    /// Returns whether the decision on a request of `units` units needs a total of the shared counter: the
    /// request may be within the quota, but peers' usage is not known well enough.
    pub fn needs_counter_total(&self, units: f64, source: UsageSource) -> bool {
        let is_safe =
            source == UsageSource::Exact && self.bucket.level() >= SAFE_LEVEL_FRACTION * self.plan.burst;
        !is_safe && !self.demand.is_low() && self.bucket.level() >= units
    }

    fn is_within_concurrency(&self, now: Micros, source: UsageSource) -> bool {
        let Some(limit) = self.plan.max_concurrency else { return true };
        let local_limit = (f64::from(limit) * self.quota_share(now, source)).round().max(1.0);
        f64::from(self.in_flight) <= local_limit
    }

    /// Returns the expected time, in seconds, until the bucket holds the units that a request lacks.
    pub fn seconds_until_available(&self, now: Micros, units: f64, source: UsageSource) -> f64 {
        let missing = units - self.available_units(source);
        if self.plan.rate > 0.0 {
            missing.max(0.0) / (self.plan.rate * self.quota_share(now, source))
        } else {
            0.0
        }
    }

    /// Consumes the units of a request forwarded within the quota.
    pub fn consume_units(&mut self, units: f64) {
        self.bucket.take(units);
        self.peer_usage.add_local(units);
        self.counter.add_usage(units);
    }

    /// Records a demand reported by a response or a peer. When demand first exceeds the quota, the allowance
    /// is capped at `allowance_cap`, a random fraction of a request's units, so that the gateways do not all
    /// forward their first requests at once.
    pub fn record_demand(&mut self, now: Micros, demand: f64, allowance_cap: f64) {
        if self.demand.at(now) <= 1.0 && demand > 1.0 {
            self.bucket.cap_allowance(allowance_cap);
        }
        self.demand.record(now, demand);
    }

    /// Returns the start of the current window, in which usage is counted under a key of its own; a window
    /// lasts as long as a key. One of many gateways rarely receives a customer's requests, so it must know
    /// since when a total counts. Where few gateways serve the customer, the window always starts at 0.
    pub fn counter_window_start(&self, now: Micros, id: CustomerId) -> Micros {
        if self.is_served_by_few_gateways() || now < COUNTER_KEY_LIFETIME {
            return 0;
        }
        // Windows of different customers begin at different times.
        let phase = id.0.wrapping_mul(GOLDEN_RATIO) % COUNTER_KEY_LIFETIME;
        now - (now - phase) % COUNTER_KEY_LIFETIME
    }

    /// Returns the time after its last use at which a customer's state equals that of a new one: its buckets
    /// are full again.
    fn idle_after(&self) -> Micros {
        let plan = &self.plan;
        let fill_s = |units: f64, rate: f64| if rate > 0.0 { units / rate } else { 0.0 };
        let quota_s = fill_s(max_deficit(plan), plan.rate) * self.gateway_count as f64;
        let hard_limit_s = fill_s(plan.hard_limit_burst + plan.hard_limit_overdraft, plan.hard_limit_rate);
        ((quota_s.max(hard_limit_s) + 1.0) * 1e6) as Micros
    }

    /// Returns the time at which the customer's state equals that of a new one if it is not used before.
    pub fn idle_at(&self) -> Micros {
        self.bucket.refilled_at().saturating_add(self.idle_after())
    }

    /// Returns whether a request or a counter call of the customer is in flight at this gateway.
    pub fn is_busy(&self) -> bool {
        self.in_flight > 0 || self.counter.has_call_in_flight()
    }
}
