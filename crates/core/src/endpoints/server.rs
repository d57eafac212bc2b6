//! A server as one gateway sees it.

use crate::api::{Endpoint, Micros, NonZeroMicros, ProtocolRules};
use crate::decaying_rate::decay;
use crate::handover::text::handover_record;
use crate::health::outlier::OutlierState;
use crate::health::slow_start::slow_start_factor;
use std::collections::BTreeMap;

/// The weight of a load report falls by a factor of e in so many seconds.
pub(crate) const LOAD_REPORT_HORIZON_S: f64 = 1.0;
/// A server that rejected a plan gets no requests of it for so long at first.
pub(crate) const BASE_REJECTION_BACKOFF: Micros = 100_000;
/// Times that this backoff doubles.
const REJECTION_BACKOFF_DOUBLINGS: u32 = 6;
/// Weight of one answer in a server's service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// A server's backoff for one plan.
#[derive(Clone, Copy, Default)]
pub(crate) struct RejectionBackoff {
    /// Until when it gets no requests of the plan while there are others.
    pub until: Micros,
    /// Rejections in a row.
    consecutive: u32,
}

/// A server as this gateway sees it.
#[derive(Default)]
pub(crate) struct Server {
    /// As it is listed; its start by this process's clock.
    pub endpoint: Endpoint,
    /// Its start by the fleet's clock, as it was listed.
    pub reported_start: Option<NonZeroMicros>,
    /// Attempts in flight there from here.
    pub attempts_in_flight: u32,
    /// Time per request in flight, microseconds.
    pub service_time_us: f64,
    /// Requests of other gateways in flight there, as last reported.
    pub peers_in_flight: f64,
    /// When that was.
    pub load_reported_at: Micros,
    /// Its success rate and ejection.
    pub health: OutlierState,
    /// By plan: its backoff after rejections.
    pub rejection_backoff: BTreeMap<usize, RejectionBackoff>,
    /// Attempts that may be sent while it warms up.
    pub slow_start_budget: f64,
    /// Its virtual finish time, where servers take turns.
    pub virtual_time: f64,
}

handover_record!(Server { health, service_time_us, slow_start_budget, attempts_in_flight } times {});

impl Server {
    /// Requests expected in flight there: our own, always known, and others' as last reported, decaying with
    /// age.
    pub fn expected_in_flight(&self, now: Micros) -> f64 {
        let report_age = now.saturating_sub(self.load_reported_at);
        f64::from(self.attempts_in_flight) + self.peers_in_flight * decay(report_age, LOAD_REPORT_HORIZON_S)
    }

    /// Share of its capacity that it has at least.
    pub fn slow_start_factor(&self, now: Micros, rules: &ProtocolRules) -> f64 {
        slow_start_factor(self.endpoint.started_at, now, rules)
    }

    /// How long an answer to one more request should take, microseconds.
    pub fn expected_latency_us(&self, now: Micros, rules: &ProtocolRules) -> f64 {
        (self.expected_in_flight(now) + 1.0) * self.service_time_us / self.slow_start_factor(now, rules)
    }

    /// The time that one more request keeps it busy, microseconds.
    pub fn busy_time_us(&self, now: Micros, rules: &ProtocolRules) -> f64 {
        self.service_time_us / self.slow_start_factor(now, rules)
    }

    /// Whether it has rejected requests of a plan lately.
    pub fn is_backing_off(&self, now: Micros, plan: usize) -> bool {
        self.rejection_backoff.get(&plan).is_some_and(|backoff| backoff.until > now)
    }

    /// Records the time of an answer, by the requests that were expected in flight when it was sent.
    pub fn record_service_time(&mut self, elapsed: Micros, expected_in_flight: f64) {
        let sample_us = elapsed as f64 / (expected_in_flight + 1.0);
        self.service_time_us += SERVICE_TIME_WEIGHT * (sample_us - self.service_time_us);
    }

    /// Records a rejection, for this plan alone: a server may reject one plan and have capacity for others.
    pub fn record_rejection(&mut self, now: Micros, plan: usize) {
        let longest = BASE_REJECTION_BACKOFF << REJECTION_BACKOFF_DOUBLINGS;
        let since_last = now.saturating_sub(self.health.last_outcome_at()).min(longest);
        let backoff = self.rejection_backoff.entry(plan).or_default();
        let doubled = BASE_REJECTION_BACKOFF << backoff.consecutive.min(REJECTION_BACKOFF_DOUBLINGS);
        backoff.until = now + doubled.max(since_last / 2);
        backoff.consecutive += 1;
    }

    /// Ends the backoff for a plan.
    pub fn clear_rejections(&mut self, plan: usize) {
        self.rejection_backoff.remove(&plan);
    }
}
