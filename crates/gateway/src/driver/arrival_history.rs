//! When a client can have written the newest byte of a body that a server holds back. The gateway then reads the client's
//! connection only as fast as the server takes the body, and the client's system keeps what this machine has no room
//! for: the last byte arrives long after the client has written it, and the client's time counts from the writing.

use grebehook_core::Micros;
use std::collections::VecDeque;

/// Most data that a client's system keeps for a connection that does not take it, by Linux's default.
const MAX_UNSENT_BYTES: u64 = 4 << 20;
/// Number of bytes between two samples that are kept.
const SAMPLE_STEP_BYTES: u64 = MAX_UNSENT_BYTES / 16;
/// Time without a byte taken of a body after which its client may be kept from sending, in microseconds.
const MIN_HELD_BACK_TIME: Micros = 20_000;

/// What is known of a body at one time.
#[derive(Clone, Copy)]
pub struct ArrivalSample {
    /// Time for which the sample holds.
    pub at: Micros,
    /// Number of bytes that have reached this machine.
    pub arrived: u64,
    /// Whether all that has arrived was taken, and more is being waited for.
    pub is_caught_up: bool,
    /// Time for which nothing has been taken while the body was held back.
    pub held_back_for: Micros,
}

/// The history of a body's arrival while its client may be kept from sending.
pub struct ArrivalHistory {
    /// Time at which the client was last known not to be kept from sending.
    free_at: Micros,
    /// Samples since then, the oldest first. The first one that is more than [`MAX_UNSENT_BYTES`] behind the newest is
    /// the last one that matters.
    samples: VecDeque<ArrivalSample>,
    /// Whether the client may have been kept from sending since `free_at`.
    is_blocked: bool,
}

impl ArrivalHistory {
    /// Creates the history of a body that begins to arrive now.
    pub fn new(now: Micros) -> ArrivalHistory {
        ArrivalHistory { free_at: now, samples: VecDeque::new(), is_blocked: false }
    }

    /// Creates the history of a body whose client may have been kept from sending since `time`.
    pub fn held_back_since(time: Micros) -> ArrivalHistory {
        ArrivalHistory { is_blocked: true, ..ArrivalHistory::new(time) }
    }

    /// Adds what is known now.
    pub fn record(&mut self, sample: ArrivalSample) {
        let was_caught_up = self.samples.back().map_or(!self.is_blocked, |last| last.is_caught_up);
        if sample.is_caught_up && was_caught_up {
            self.free_at = sample.at;
            self.is_blocked = false;
            self.samples.clear();
        }
        self.is_blocked |=
            !sample.is_caught_up && (!was_caught_up || sample.held_back_for >= MIN_HELD_BACK_TIME);
        let before_last = self.samples.len().checked_sub(2).and_then(|index| self.samples.get(index));
        // The last sample is kept for the next call, but only one for each step for later ones.
        if before_last.is_some_and(|before| sample.arrived < before.arrived + SAMPLE_STEP_BYTES) {
            self.samples.pop_back();
        }
        self.samples.push_back(sample);
        while self.samples.get(1).is_some_and(|second| second.arrived + MAX_UNSENT_BYTES <= sample.arrived) {
            self.samples.pop_front();
        }
    }

    /// Returns the earliest time at which the client can have written the last of `bytes` bytes, of which not all need to
    /// have arrived; `None` if it was not kept from sending, so that it wrote the newest byte just before that arrived.
    pub fn earliest_write(&self, bytes: u64) -> Option<Micros> {
        if !self.is_blocked {
            return None;
        }
        let is_before = |sample: &&ArrivalSample| sample.arrived + MAX_UNSENT_BYTES <= bytes;
        let could_not_be_written = self.samples.iter().take_while(is_before).last();
        Some(could_not_be_written.map_or(self.free_at, |sample| sample.at.max(self.free_at)))
    }
}

#[cfg(test)]
mod tests;
