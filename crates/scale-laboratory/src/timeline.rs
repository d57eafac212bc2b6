//! Requests by the time at which they were sent, and what faults cost among them.

use crate::experiment::Fault;
use crate::metric::Metric;
use crate::results::FaultCost;
use crate::settings::micros_of_seconds;
use grebehook_core::Micros;
use hdrhistogram::Histogram;

/// Width of a bin of the timeline.
const BIN_WIDTH: Micros = 100_000;
/// Bins of the sliding window whose share of served requests is compared: one second.
const WINDOW_BINS: usize = 10;
/// Bins before a fault whose share of served requests is normal.
const BASELINE_BINS: usize = 20;
/// A window that serves this part of the normal share has recovered.
const RECOVERED_PART: f64 = 0.97;
/// Largest value of a histogram of times, microseconds.
const MAX_RECORDED_TIME_US: u64 = 10_000_000;
/// Significant digits of such a histogram.
const RECORDED_DIGITS: u8 = 3;

/// An empty histogram of times in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_TIME_US, RECORDED_DIGITS)
        .expect("the bounds are constants that suit each other")
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// Rejected.
    Rejected,
    /// Failed.
    Failed,
    /// Without a response.
    Lost,
}

/// How many requests ended in which way.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeCounts {
    /// Served.
    served: u64,
    /// Rejected.
    rejected: u64,
    /// Failed.
    failed: u64,
    /// Without a response.
    lost: u64,
}

impl OutcomeCounts {
    /// A request ended.
    pub fn record(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Served => self.served += 1,
            Outcome::Rejected => self.rejected += 1,
            Outcome::Failed => self.failed += 1,
            Outcome::Lost => self.lost += 1,
        }
    }

    /// The counts under the names of the results.
    pub fn metrics(&self) -> [(Metric, u64); 4] {
        [
            (Metric::Served, self.served),
            (Metric::Rejected, self.rejected),
            (Metric::Failed, self.failed),
            (Metric::Lost, self.lost),
        ]
    }
}

/// Requests sent within one bin.
#[derive(Clone, Copy, Debug, Default)]
struct Bin {
    /// Sent.
    sent: u64,
    /// Of these, served.
    served: u64,
    /// Of these, rejected or failed.
    rejected_or_failed: u64,
    /// Of these, without a response.
    lost: u64,
}

/// Requests by the time at which they were sent, from the begin of the measured time.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// The bins, in the order of their times.
    bins: Vec<Bin>,
}

impl Timeline {
    /// A client sent a request.
    pub fn record_arrival(&mut self, at: Micros) {
        self.bin(at).sent += 1;
    }

    /// A request sent at some time has ended.
    pub fn record_outcome(&mut self, sent_at: Micros, outcome: Outcome) {
        let bin = self.bin(sent_at);
        match outcome {
            Outcome::Served => bin.served += 1,
            Outcome::Rejected | Outcome::Failed => bin.rejected_or_failed += 1,
            Outcome::Lost => bin.lost += 1,
        }
    }

    /// The bin of a time.
    fn bin(&mut self, at: Micros) -> &mut Bin {
        let index = bin_index(at);
        if index >= self.bins.len() {
            self.bins.resize(index + 1, Bin::default());
        }
        &mut self.bins[index]
    }

    /// What each fault cost, until the next begins or the measured time ends; in the order of their begins.
    pub fn fault_costs(&self, faults: &[Fault], duration: Micros) -> Vec<FaultCost> {
        let mut faults: Vec<&Fault> = faults.iter().collect();
        faults.sort_by(|first, second| first.at_seconds().total_cmp(&second.at_seconds()));
        let begins = faults.iter().map(|fault| micros_of_seconds(fault.at_seconds()));
        let ends = begins.skip(1).chain([duration]);
        faults.iter().zip(ends).map(|(fault, until)| self.fault_cost(fault, until)).collect()
    }

    /// What a fault cost until a time. It has recovered at the first window from which on no window falls behind.
    fn fault_cost(&self, fault: &Fault, until: Micros) -> FaultCost {
        let first = bin_index(micros_of_seconds(fault.at_seconds()));
        let last = bin_index(until).min(self.bins.len());
        let normal = self.served_share(first.saturating_sub(BASELINE_BINS), first).unwrap_or(1.0);
        let falls_behind = |from: &usize| {
            let share = self.served_share(*from, from + WINDOW_BINS);
            share.is_some_and(|share| share < RECOVERED_PART * normal)
        };
        let windows = first..(last + 1).saturating_sub(WINDOW_BINS).max(first);
        let recovered = windows.clone().rev().find(falls_behind).map_or(first, |from| from + 1);
        let was_seen = recovered < windows.end;
        let cost_until = if was_seen { (recovered + WINDOW_BINS).min(last) } else { last };
        let during = self.bins.get(first..cost_until).unwrap_or_default();
        FaultCost {
            fault: fault.name(),
            at_seconds: fault.at_seconds(),
            lost: during.iter().map(|bin| bin.lost).sum(),
            rejected_or_failed: during.iter().map(|bin| bin.rejected_or_failed).sum(),
            recovery_milliseconds: was_seen.then(|| ((recovered - first) as Micros * BIN_WIDTH) as f64 / 1e3),
        }
    }

    /// Share of the requests of some bins that were served; `None` without requests or past the last bin.
    fn served_share(&self, from: usize, to: usize) -> Option<f64> {
        let bins = self.bins.get(from..to)?;
        let sent: u64 = bins.iter().map(|bin| bin.sent).sum();
        let served: u64 = bins.iter().map(|bin| bin.served).sum();
        (sent > 0).then(|| served as f64 / sent as f64)
    }
}

/// The index of a time's bin.
fn bin_index(at: Micros) -> usize {
    (at / BIN_WIDTH) as usize
}
