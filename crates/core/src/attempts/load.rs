//! What this gateway's attempts show of the back end's load: attempts in flight, goodput and latency.

use crate::api::{AttemptStatus, Micros};
use crate::customer::demand::USAGE_HORIZON_S;
use crate::decaying_rate::{seconds, DecayingRate};

/// Mean latency aimed at when overloaded, as a part of the latency objective: longer queues end past the
/// objective.
const TARGET_LATENCY: f64 = 0.22;
/// Weight of one answer in the mean latency: some twenty answers count.
const LATENCY_WEIGHT: f64 = 0.05;

/// The figures of all attempts.
#[derive(Default)]
pub(crate) struct BackendLoad {
    /// Attempts in flight whose requests are fully sent.
    in_flight: u32,
    /// Attempts a second.
    attempt_rate: DecayingRate,
    /// Requests that would be in flight if each answer took the target latency (Little's law).
    goodput: DecayingRate,
    /// Mean latency, as a part of the latency objective.
    relative_latency: f64,
}

/// The figures that are handed over to the successor process.
pub(crate) struct LoadSnapshot {
    /// Mean latency, as a part of the latency objective.
    pub relative_latency: f64,
    /// Attempts a second.
    pub attempt_rate: DecayingRate,
    /// Requests in flight at the target latency.
    pub goodput: DecayingRate,
}

impl BackendLoad {
    /// The figures that are handed over to the successor process.
    pub fn snapshot(&self) -> LoadSnapshot {
        LoadSnapshot {
            relative_latency: self.relative_latency,
            attempt_rate: self.attempt_rate,
            goodput: self.goodput,
        }
    }

    /// Restores the figures that the predecessor process handed over.
    pub fn restore(&mut self, snapshot: LoadSnapshot) {
        self.relative_latency = snapshot.relative_latency;
        self.attempt_rate = snapshot.attempt_rate;
        self.goodput = snapshot.goodput;
    }

    /// Attempts in flight whose requests are fully sent.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Attempts a second.
    pub fn attempt_rate(&self, now: Micros) -> f64 {
        self.attempt_rate.get(now, USAGE_HORIZON_S)
    }

    /// Requests that the goodput keeps in flight at the target latency.
    pub fn goodput(&self, now: Micros) -> f64 {
        self.goodput.get(now, USAGE_HORIZON_S)
    }

    /// Whether answers come faster than the target latency.
    pub fn is_fast(&self) -> bool {
        self.relative_latency < TARGET_LATENCY
    }

    /// The target latency as a part of the mean one, at most 1.
    pub fn target_of_latency(&self) -> f64 {
        (TARGET_LATENCY / self.relative_latency.max(1e-9)).min(1.0)
    }

    /// Counts an attempt that is sent.
    pub fn record_send(&mut self, now: Micros) {
        self.attempt_rate.add(now, 1.0, USAGE_HORIZON_S);
    }

    /// Counts an attempt whose request is fully sent.
    pub fn record_fully_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Counts the end of an attempt.
    pub fn record_end(
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
            self.goodput.add(now, TARGET_LATENCY * objective_s, USAGE_HORIZON_S);
        }
    }
}
