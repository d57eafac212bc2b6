//! Counts of requests by the time at which they were sent, and the cost of faults computed from them.

use crate::experiment::Fault;
use crate::metric::Metric;
use crate::results::FaultCost;
use crate::settings::micros_from_seconds;
use grebehook_core::Micros;
use hdrhistogram::Histogram;

/// Width of a bin, in microseconds.
const BIN_WIDTH: Micros = 100_000;
/// Number of bins of the sliding window over which the share of served requests is computed; one second.
const WINDOW_BINS: usize = 10;
/// Number of bins before a fault that give the baseline share of served requests.
const BASELINE_BINS: usize = 20;
/// Share of the baseline that a window must serve to count as recovered.
const RECOVERED_SHARE: f64 = 0.97;
/// Largest value of a latency histogram, in microseconds.
const MAX_RECORDED_TIME_US: u64 = 10_000_000;
/// Number of significant digits of a latency histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Returns an empty histogram of times in microseconds.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_TIME_US, SIGNIFICANT_DIGITS)
        .expect("the bounds and precision of latency histograms are valid")
}

/// How a request ended, from the client's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The client got the response of a server.
    Served,
    /// A gateway rejected the request.
    Rejected,
    /// A gateway reported a failure.
    Failed,
    /// The client got no response.
    Lost,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeCounts {
    served: u64,
    rejected: u64,
    failed: u64,
    lost: u64,
}

impl OutcomeCounts {
    /// Counts a request that ended.
    pub fn record(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Served => self.served += 1,
            Outcome::Rejected => self.rejected += 1,
            Outcome::Failed => self.failed += 1,
            Outcome::Lost => self.lost += 1,
        }
    }

    /// Returns the counts under their metric names.
    pub fn metrics(&self) -> [(Metric, u64); 4] {
        [
            (Metric::Served, self.served),
            (Metric::Rejected, self.rejected),
            (Metric::Failed, self.failed),
            (Metric::Lost, self.lost),
        ]
    }
}

/// Counts of the requests sent within one bin.
#[derive(Clone, Copy, Debug, Default)]
struct Bin {
    sent: u64,
    served: u64,
    rejected_or_failed: u64,
    lost: u64,
}

/// Requests by the time at which they were sent, relative to the start of the measurement.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// The bins in chronological order.
    bins: Vec<Bin>,
}

impl Timeline {
    /// Counts a request that a client sent.
    pub fn record_arrival(&mut self, at: Micros) {
        self.bin(at).sent += 1;
    }

    /// Counts the outcome of a request under the time at which it was sent.
    pub fn record_outcome(&mut self, sent_at: Micros, outcome: Outcome) {
        let bin = self.bin(sent_at);
        match outcome {
            Outcome::Served => bin.served += 1,
            Outcome::Rejected | Outcome::Failed => bin.rejected_or_failed += 1,
            Outcome::Lost => bin.lost += 1,
        }
    }

    /// Returns the bin of a time, extending the timeline if necessary.
    fn bin(&mut self, at: Micros) -> &mut Bin {
        let index = bin_index(at);
        if index >= self.bins.len() {
            self.bins.resize(index + 1, Bin::default());
        }
        &mut self.bins[index]
    }

    /// Returns the cost of each fault in chronological order, up to the start of the next fault or the end of
    /// the measurement.
    pub fn fault_costs(&self, faults: &[Fault], duration: Micros) -> Vec<FaultCost> {
        let mut faults: Vec<&Fault> = faults.iter().collect();
        faults.sort_by(|first, second| first.at_seconds().total_cmp(&second.at_seconds()));
        let starts = faults.iter().map(|fault| micros_from_seconds(fault.at_seconds()));
        let ends = starts.skip(1).chain([duration]);
        faults.iter().zip(ends).map(|(fault, until)| self.fault_cost(fault, until)).collect()
    }

    /// Returns the cost of a fault up to a time. The fleet has recovered at the first window from which no
    /// window is below the recovery threshold.
    fn fault_cost(&self, fault: &Fault, until: Micros) -> FaultCost {
        let first = bin_index(micros_from_seconds(fault.at_seconds()));
        let last = bin_index(until).min(self.bins.len());
        let baseline = self.served_share(first.saturating_sub(BASELINE_BINS), first).unwrap_or(1.0);
        let is_below_threshold = |from: &usize| {
            let share = self.served_share(*from, from + WINDOW_BINS);
            share.is_some_and(|share| share < RECOVERED_SHARE * baseline)
        };
        let windows = first..(last + 1).saturating_sub(WINDOW_BINS).max(first);
        let recovery_bin = windows.clone().rev().find(is_below_threshold).map_or(first, |from| from + 1);
        let has_recovered = recovery_bin < windows.end;
        let cost_end = if has_recovered { (recovery_bin + WINDOW_BINS).min(last) } else { last };
        let fault_bins = self.bins.get(first..cost_end).unwrap_or_default();
        FaultCost {
            fault: fault.name(),
            at_seconds: fault.at_seconds(),
            lost: fault_bins.iter().map(|bin| bin.lost).sum(),
            rejected_or_failed: fault_bins.iter().map(|bin| bin.rejected_or_failed).sum(),
            recovery_milliseconds: has_recovered
                .then(|| ((recovery_bin - first) as Micros * BIN_WIDTH) as f64 / 1e3),
        }
    }

    /// Returns the share of the requests of a range of bins that were served; `None` if there were none or
    /// the range ends past the last bin.
    fn served_share(&self, from: usize, to: usize) -> Option<f64> {
        let bins = self.bins.get(from..to)?;
        let sent: u64 = bins.iter().map(|bin| bin.sent).sum();
        let served: u64 = bins.iter().map(|bin| bin.served).sum();
        (sent > 0).then(|| served as f64 / sent as f64)
    }
}

fn bin_index(at: Micros) -> usize {
    (at / BIN_WIDTH) as usize
}
