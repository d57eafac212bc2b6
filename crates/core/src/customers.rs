//! Customers as the decisions see them: bucket, metered share, pacer and ceiling. The pacer is the peak load
//! control of Lee and Min (2007, Figure 10).

use crate::api::*;
use crate::customer_table::{Customer, UsageSource};
use crate::decaying_rate::{fade, seconds};

const INTERVAL: Micros = 500_000; // µs; the paper's interval: long enough for a few requests of a small plan
const DELTA_MS: f64 = 10.0; // ms; the paper's δ: a delay this short smooths nothing, so it may fall to none
const BETA: f64 = 0.5; // the paper's β: a cap-long delay is gone within some four quiet intervals
pub(crate) const MEMORY_S: f64 = 1.5; // s; horizon of use rates: about the age of what the meter tells
const HEADROOM: f64 = 4.0; // even slices that one gateway may use while the meter tells of room
const FEWEST: f64 = 2.0; // requests that such a slice holds at least
pub(crate) const METER_LAG: Micros = 2_000_000; // µs; the meter shows a change of share after about this
const DEMAND_FADE_S: f64 = 5.0; // s; demand not told of again fades in this time: a spike ends unseen
pub(crate) const DEBT_OF_BURST: f64 = 0.5; // most of a burst that others' use may put a bucket below nothing

pub(crate) const OFTEN: usize = 8; // gateways; so few see a customer often enough to tell its use by changes
pub(crate) const WINDOW: Micros = 60_000_000; // µs; the longest life of a counter's name
const RESERVE_OF_BURST: f64 = 0.2; // kept for what a total never hears of: use that found no call, true units
const OVERFLOW_OF_BURST: f64 = 0.25; // a total behind by more than this hides how much overflowed
const SELDOM: f64 = 0.1; // part of those who see a total far ahead that put it right
const ECHO: f64 = 0.8; // part of a correction; others that rose by so much meanwhile made the same one

impl Customer {
    /// Demand at all gateways, in quotas, as far as it is known: it fades unless told of again.
    pub fn demand(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.demand_reported_at.saturating_add(METER_LAG));
        self.reported_demand * fade(age, DEMAND_FADE_S)
    }

    /// This gateway's metered share of the quota, floored at the even slice.
    pub fn quota_share(&self, now: Micros, source: UsageSource) -> f64 {
        let (even, total) = (1.0 / self.gateway_count as f64, self.demand(now) * self.plan.rate);
        match source {
            UsageSource::Exact => 1.0,
            UsageSource::Unknown => even,
            UsageSource::Metered => {
                (self.local_usage_rate.get(now, MEMORY_S) / total.max(1e-9)).clamp(even, 1.0)
            }
        }
    }

    /// Whether so few gateways share the customer that each sees it often.
    pub fn is_shared_by_few(&self) -> bool {
        self.gateway_count <= OFTEN
    }

    /// Start of the window in which use is counted under a name of its own, as long as a name lives. One of
    /// many gateways sees a customer seldom, so a total must tell by itself since when; among few the window
    /// starts at 0.
    pub fn counter_window(&self, now: Micros, id: CustomerId) -> Micros {
        // Not all customers' begin at once.
        let phase = id.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) % WINDOW;
        if self.is_shared_by_few() || now < WINDOW {
            return 0;
        }
        now - (now - phase) % WINDOW
    }

    /// Whether what the window before left owing may still bear on one that began then.
    pub fn may_owe_previous_window(&self, now: Micros, start: Micros) -> bool {
        start >= WINDOW && self.plan.rate * seconds(now - start) < self.plan.burst * (1.0 + DEBT_OF_BURST)
    }

    /// Takes the last total of the window before, in which the store was full at first: the next one starts
    /// with what that lacks.
    pub fn carry_over_deficit(&mut self, total: f64) {
        let most = self.plan.burst * (1.0 + DEBT_OF_BURST);
        self.total_correction = (total - self.plan.rate * seconds(WINDOW)).clamp(0.0, most);
        self.bucket_level -= self.total_correction;
    }

    /// Takes a total of the window that began at `start`, which alone says what the store of many gateways
    /// holds: it was full then, and has been filled since. Where the total lags behind that, the rest ran
    /// over; it has to be added, or the next burst would have it.
    pub fn apply_shared_total(&mut self, now: Micros, start: Micros, total: f64, added: f64, fraction: f64) {
        let corrected = std::mem::take(&mut self.total_correction);
        let others = total - added - self.counter_total.replace(total).unwrap_or(total - added);
        if corrected != 0.0 && others / corrected >= ECHO {
            // Another gateway saw the same and was quicker.
            self.total_correction = -corrected;
            return;
        }
        let over =
            self.plan.rate * seconds(now - start) - total - self.unreported_units - self.settlement_due;
        self.bucket_level = self.plan.burst * (1.0 - RESERVE_OF_BURST) + over.min(0.0);
        let lost = (over + self.plan.burst * (1.0 + DEBT_OF_BURST)).min(0.0);
        // One that is far ahead may only wait for a correction of it to be taken back.
        let seldom = if fraction < SELDOM { lost } else { 0.0 };
        self.total_correction = if over > OVERFLOW_OF_BURST * self.plan.burst { over } else { seldom };
    }

    /// Fills the bucket, its slice and that of the ceiling; a slice below one request still serves one.
    pub fn refill(&mut self, now: Micros, units: f64, source: UsageSource) {
        let (plan, even) = (&self.plan, 1.0 / self.gateway_count as f64);
        let dt = seconds(now.saturating_sub(self.refilled_at));
        let full = self.bucket_level + dt * plan.rate;
        self.bucket_level = full.min(plan.burst);
        self.bucket_overflow += full - self.bucket_level;
        if self.demand(now) <= 1.0 {
            let part = match source {
                _ if self.low_demand => 1.0,
                UsageSource::Unknown => even,
                _ => (HEADROOM * even).min(1.0),
            };
            // What the counter told a gateway of many may be more than its part.
            let told = if self.is_shared_by_few() { 0.0 } else { self.local_allowance };
            let most = (plan.burst * part).max(FEWEST * units).max(told);
            self.local_allowance = (self.local_allowance + dt * plan.rate * part).min(most);
        }
        let most = (plan.hard_limit_burst + plan.hard_limit_overdraft) * even;
        self.hard_limit_tokens = (self.hard_limit_tokens + dt * plan.hard_limit_rate * even).min(most);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Ends the pacer's intervals that are over: the paper's Figure 10.
    pub fn pace(&mut self, now: Micros, quota: f64, cap_ms: f64) {
        while now >= self.pacing_interval_started_at + INTERVAL {
            let over = self.pacing_interval_units / seconds(INTERVAL) - quota;
            self.pacing_delay_ms = if over > 0.0 {
                let before = if self.pacing_delay_ms == 0.0 { 1.0 } else { self.pacing_delay_ms };
                (over / f64::from(self.in_flight.max(1)) * before).min(cap_ms)
            } else if self.pacing_delay_ms > DELTA_MS {
                self.pacing_delay_ms * BETA
            } else {
                0.0
            };
            self.pacing_interval_units = 0.0;
            self.pacing_interval_started_at += INTERVAL;
            if self.pacing_delay_ms == 0.0 {
                self.pacing_interval_started_at +=
                    (now - self.pacing_interval_started_at) / INTERVAL * INTERVAL;
            }
        }
    }

    /// Units at hand: where use is told unit by unit, what the bucket holds; else no more than the slice.
    pub fn available_units(&self, source: UsageSource) -> f64 {
        match source {
            UsageSource::Exact => self.bucket_level,
            _ => self.bucket_level.min(self.local_allowance),
        }
    }

    /// Whether a try may go within the quota: told unit by unit, by the bucket; else by its slice as well.
    pub fn covers(&self, now: Micros, units: f64, source: UsageSource) -> bool {
        let most_open = |limit| (f64::from(limit) * self.quota_share(now, source)).round().max(1.0);
        let below_concurrency =
            self.plan.max_concurrency.is_none_or(|limit| f64::from(self.in_flight) <= most_open(limit));
        (self.plan.rate == 0.0 || self.available_units(source) >= units) && below_concurrency
    }

    /// How long until an unused customer is as good as new: its stores have filled again.
    pub fn idle_after(&self) -> Micros {
        let (p, fill) = (&self.plan, |most: f64, rate: f64| if rate > 0.0 { most / rate } else { 0.0 });
        let quota = fill(p.burst * (1.0 + DEBT_OF_BURST), p.rate) * self.gateway_count as f64;
        let ceiling = fill(p.hard_limit_burst + p.hard_limit_overdraft, p.hard_limit_rate);
        ((quota.max(ceiling) + 1.0) * 1e6) as Micros
    }

    /// When it is, if it stays unused.
    pub fn idle_at(&self) -> Micros {
        self.refilled_at.saturating_add(self.idle_after())
    }

    /// Takes news of the demand; at its onset gateways start at odds, so that their firsts do not all go.
    pub fn record_demand(&mut self, now: Micros, demand: f64, phase: f64) {
        if self.demand(now) <= 1.0 && demand > 1.0 {
            self.local_allowance = self.local_allowance.min(phase);
        }
        self.reported_demand = demand;
        self.demand_reported_at = now;
    }
}
