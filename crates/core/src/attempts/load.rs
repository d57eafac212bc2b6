//! The back end's load as observed through this gateway's attempts: attempts in flight, goodput and latency.

use crate::api::{AttemptStatus, Micros};
use crate::customer::demand::USAGE_TIME_CONSTANT_S;
use crate::decaying_rate::{seconds, DecayingRate};

/// Target for the mean latency under overload, as a fraction of the latency objective: longer queues would
/// make responses miss the objective.
const TARGET_RELATIVE_LATENCY: f64 = 0.22;
/// Weight of one sample in the moving average of the latency, which thus spans about twenty samples.
const LATENCY_WEIGHT: f64 = 0.05;

/// Load statistics over all attempts.
#[derive(Default)]
pub(crate) struct BackendLoad {
    /// Number of attempts in flight whose requests are fully sent.
    in_flight: u32,
    /// Attempts per second.
    attempt_rate: DecayingRate,
    /// Number of requests in flight if each successful answer took the target latency: goodput times target
    /// latency (Little's law).
    in_flight_at_target_latency: DecayingRate,
    /// Moving average of the latency, as a fraction of the latency objective.
    relative_latency: f64,
}

/// Load statistics that are handed over to the successor process.
pub(crate) struct LoadSnapshot {
    /// Moving average of the latency, as a fraction of the latency objective.
    pub relative_latency: f64,
    /// Attempts per second.
    pub attempt_rate: DecayingRate,
    /// Number of requests in flight if each successful answer took the target latency.
    pub in_flight_at_target_latency: DecayingRate,
}

impl BackendLoad {
    /// Returns the statistics that are handed over to the successor process.
    pub fn snapshot(&self) -> LoadSnapshot {
        LoadSnapshot {
            relative_latency: self.relative_latency,
            attempt_rate: self.attempt_rate,
            in_flight_at_target_latency: self.in_flight_at_target_latency,
        }
    }

    /// Restores the statistics that the predecessor process handed over.
    pub fn restore(&mut self, snapshot: LoadSnapshot) {
        self.relative_latency = snapshot.relative_latency;
        self.attempt_rate = snapshot.attempt_rate;
        self.in_flight_at_target_latency = snapshot.in_flight_at_target_latency;
    }

    /// Returns the number of attempts in flight whose requests are fully sent.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the attempts per second.
    pub fn attempt_rate(&self, now: Micros) -> f64 {
        self.attempt_rate.get(now, USAGE_TIME_CONSTANT_S)
    }

    /// Returns the number of requests in flight if each successful answer took the target latency.
    pub fn in_flight_at_target_latency(&self, now: Micros) -> f64 {
        self.in_flight_at_target_latency.get(now, USAGE_TIME_CONSTANT_S)
    }

    /// Returns whether the mean latency is below the target.
    pub fn is_below_target_latency(&self) -> bool {
        self.relative_latency < TARGET_RELATIVE_LATENCY
    }

    /// Returns the ratio of the target latency to the mean latency, at most 1.
    pub fn target_latency_ratio(&self) -> f64 {
        (TARGET_RELATIVE_LATENCY / self.relative_latency.max(1e-9)).min(1.0)
    }

    /// Counts an attempt as sent.
    pub fn record_send(&mut self, now: Micros) {
        self.attempt_rate.add(now, 1.0, USAGE_TIME_CONSTANT_S);
    }

    /// Counts an attempt as in flight, once its request is fully sent.
    pub fn record_fully_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Updates the statistics with the outcome of an attempt.
    pub fn record_completion(
        &mut self,
        now: Micros,
        status: AttemptStatus,
        elapsed: Micros,
        latency_objective: Micros,
        was_fully_sent: bool,
    ) {
        self.in_flight = self.in_flight.saturating_sub(u32::from(was_fully_sent));
        let objective_s = seconds(latency_objective);
        if matches!(status, AttemptStatus::Ok | AttemptStatus::Timeout | AttemptStatus::Cancelled) {
            self.relative_latency +=
                LATENCY_WEIGHT * (seconds(elapsed) / objective_s - self.relative_latency);
        }
        if status == AttemptStatus::Ok {
            self.in_flight_at_target_latency.add(
                now,
                TARGET_RELATIVE_LATENCY * objective_s,
                USAGE_TIME_CONSTANT_S,
            );
        }
    }
}
