//! A customer as one gateway sees it, put together from small types with one concern each.

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

/// Gateways: with at most so many, each sees a customer often enough to tell others' use from one total of
/// the shared counter to the next.
pub(crate) const MAX_FEW_GATEWAYS: usize = 8;

/// Part of the burst: with a fresh total and this much in the bucket a request needs no call, but with less
/// others may empty it meanwhile.
const SURE_LEVEL_OF_BURST: f64 = 0.5;

/// How a customer's use by other gateways is known.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum UsageSource {
    /// Unit by unit, from the shared counter or from gossip with every gateway.
    Exact,
    /// As demand, from the usage reported in responses.
    Metered,
    /// Not at all.
    Unknown,
}

/// A customer as this gateway sees it.
#[derive(Default)]
pub(crate) struct Customer {
    /// Index of its plan.
    pub plan_index: usize,
    /// Its plan.
    pub plan: Plan,
    /// How many gateways serve it.
    pub gateway_count: usize,
    /// The first of them.
    pub first_gateway: usize,
    /// Requests of it in flight here.
    pub in_flight: u32,
    /// Its quota.
    pub bucket: TokenBucket,
    /// Its demand at all gateways, and its use of this one.
    pub demand: Demand,
    /// The delay of requests over the quota.
    pub pacer: Pacer,
    /// This gateway's share of the plan's hard limit.
    pub hard_limit: HardLimit,
    /// Its account at the shared counter.
    pub counter: CounterAccount,
    /// Its use as gossip carries it.
    pub peer_usage: PeerUsage,
}

handover_record!(Customer {
    plan_index, gateway_count, first_gateway, bucket, demand, pacer, hard_limit, counter
} times {});

impl Customer {
    /// A customer that is new to this gateway: its bucket is full. This gateway's share of the hard limit
    /// fills from the start of the process, since an earlier process may have used it up.
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

    /// Whether so few gateways serve the customer that each sees it often.
    pub fn is_shared_by_few(&self) -> bool {
        self.gateway_count <= MAX_FEW_GATEWAYS
    }

    /// The share of the quota that each gateway would have if all had the same.
    fn even_share(&self) -> f64 {
        1.0 / self.gateway_count as f64
    }

    /// This gateway's share of the quota: by its part of the use where that is known, at least an even one.
    pub fn quota_share(&self, now: Micros, source: UsageSource) -> f64 {
        match source {
            UsageSource::Exact => 1.0,
            UsageSource::Unknown => self.even_share(),
            UsageSource::Metered => {
                let demand_rate = self.demand.at(now) * self.plan.rate;
                let local_part = self.demand.local_rate(now) / demand_rate.max(1e-9);
                local_part.clamp(self.even_share(), 1.0)
            }
        }
    }

    /// Refills the bucket, this gateway's allowance of it and the hard limit; the allowance never falls short
    /// of what serves a few requests of so many units.
    pub fn refill(&mut self, now: Micros, units: f64, source: UsageSource) {
        let elapsed_s = seconds(now.saturating_sub(self.bucket.refilled_at()));
        self.counter.add_overflow(self.bucket.refill(elapsed_s, &self.plan));
        if self.demand.at(now) <= 1.0 {
            let share = self.allowance_share(source);
            let keeps_level = !self.is_shared_by_few();
            self.bucket.refill_allowance(elapsed_s, &self.plan, share, units, keeps_level);
        }
        self.hard_limit.refill(elapsed_s, &self.plan, self.even_share());
        self.bucket.set_refilled_at(now);
    }

    /// The share of the rate that fills this gateway's allowance while demand is within the quota.
    fn allowance_share(&self, source: UsageSource) -> f64 {
        match source {
            _ if self.demand.is_low() => 1.0,
            UsageSource::Unknown => self.even_share(),
            UsageSource::Exact | UsageSource::Metered => {
                token_bucket::allowance_with_headroom(self.even_share())
            }
        }
    }

    /// Records a request that has arrived, and ends the pacer's intervals that are over.
    pub fn record_arrival(&mut self, now: Micros, units: f64, source: UsageSource, max_delay_ms: f64) {
        self.refill(now, units, source);
        let quota_rate = self.plan.rate * self.quota_share(now, source);
        self.pacer.advance(now, quota_rate, self.in_flight, max_delay_ms);
        self.demand.add_local_use(now, units);
        self.pacer.add_units(units);
        self.in_flight += 1;
    }

    /// Units that a request may use now: what the bucket holds where use is known unit by unit, else no more
    /// than this gateway's allowance.
    pub fn available_units(&self, source: UsageSource) -> f64 {
        match source {
            UsageSource::Exact => self.bucket.level(),
            UsageSource::Metered | UsageSource::Unknown => self.bucket.level().min(self.bucket.allowance()),
        }
    }

    /// Whether a request of so many units is within the quota.
    pub fn covers(&self, now: Micros, units: f64, source: UsageSource) -> bool {
        let is_within_rate = self.plan.rate == 0.0 || self.available_units(source) >= units;
        is_within_rate && self.is_within_concurrency(now, source)
    }

    /// Whether a total of the shared counter would help to decide on a request of so many units: it could be
    /// within the quota, and others' use is not known well enough.
    pub fn needs_total(&self, units: f64, source: UsageSource) -> bool {
        let is_sure =
            source == UsageSource::Exact && self.bucket.level() >= SURE_LEVEL_OF_BURST * self.plan.burst;
        !is_sure && !self.demand.is_low() && self.bucket.level() >= units
    }

    /// Whether the requests in flight here are within this gateway's share of the plan's concurrency.
    fn is_within_concurrency(&self, now: Micros, source: UsageSource) -> bool {
        let Some(limit) = self.plan.max_concurrency else { return true };
        let local_limit = (f64::from(limit) * self.quota_share(now, source)).round().max(1.0);
        f64::from(self.in_flight) <= local_limit
    }

    /// How long until the bucket should hold the units that a request lacks, in seconds.
    pub fn seconds_until_covered(&self, now: Micros, units: f64, source: UsageSource) -> f64 {
        let missing = units - self.available_units(source);
        if self.plan.rate > 0.0 {
            missing.max(0.0) / (self.plan.rate * self.quota_share(now, source))
        } else {
            0.0
        }
    }

    /// Uses the units of a request within the quota that is forwarded.
    pub fn use_units(&mut self, units: f64) {
        self.bucket.take(units);
        self.peer_usage.add_own(units);
        self.counter.add_use(units);
    }

    /// Records a demand that a response or a gateway reported. At its onset gateways start with different
    /// allowances, a random `phase` of a request, so that their first requests do not all go at once.
    pub fn record_demand(&mut self, now: Micros, demand: f64, phase: f64) {
        if self.demand.at(now) <= 1.0 && demand > 1.0 {
            self.bucket.limit_allowance(phase);
        }
        self.demand.record(now, demand);
    }

    /// The start of the window in which use is counted under a key of its own, as long as a key lives. One of
    /// many gateways sees a customer seldom, so that a total must tell by itself since when; among few the
    /// window starts at 0.
    pub fn counter_window(&self, now: Micros, id: CustomerId) -> Micros {
        if self.is_shared_by_few() || now < COUNTER_KEY_LIFETIME {
            return 0;
        }
        // Windows of different customers begin at different times.
        let phase = id.0.wrapping_mul(GOLDEN_RATIO) % COUNTER_KEY_LIFETIME;
        now - (now - phase) % COUNTER_KEY_LIFETIME
    }

    /// How long until an unused customer is as good as new: its buckets have filled again.
    fn idle_after(&self) -> Micros {
        let plan = &self.plan;
        let fill_s = |units: f64, rate: f64| if rate > 0.0 { units / rate } else { 0.0 };
        let quota_s = fill_s(max_deficit(plan), plan.rate) * self.gateway_count as f64;
        let hard_limit_s = fill_s(plan.hard_limit_burst + plan.hard_limit_overdraft, plan.hard_limit_rate);
        ((quota_s.max(hard_limit_s) + 1.0) * 1e6) as Micros
    }

    /// When the customer is as good as new if it stays unused.
    pub fn idle_at(&self) -> Micros {
        self.bucket.refilled_at().saturating_add(self.idle_after())
    }

    /// Whether something of it is still under way here.
    pub fn is_busy(&self) -> bool {
        self.in_flight > 0 || self.counter.has_call_in_flight()
    }
}
