//! Running totals of a customer's usage as exchanged by gossip: this gateway's own, and those received from
//! peers.

use crate::gossip::message::TOTAL_BITS;
use std::collections::BTreeMap;

/// Number of parts per unit in which totals are sent.
const PARTS_PER_UNIT: f64 = 8.0;

/// The last total received from a peer.
struct PeerTotal {
    /// Incarnation of the peer in which the total was counted.
    incarnation: u32,
    /// The total in eighths of a unit, modulo 2^[`TOTAL_BITS`].
    total_eighths: u32,
}

/// The usage totals of one customer.
#[derive(Default)]
pub(crate) struct PeerUsage {
    /// Units that this gateway has forwarded.
    local_units: f64,
    /// Last totals of the peers, by gateway index.
    totals: BTreeMap<usize, PeerTotal>,
}

impl PeerUsage {
    /// Adds units to this gateway's total.
    pub fn add_local(&mut self, units: f64) {
        self.local_units += units;
    }

    /// Returns whether this gateway has forwarded more than one unit: the usage of a customer with a single
    /// request need not be published.
    pub fn is_repeated(&self) -> bool {
        self.local_units > 1.0
    }

    /// Returns this gateway's total in eighths of a unit.
    pub fn local_total_eighths(&self) -> u32 {
        (self.local_units * PARTS_PER_UNIT) as u64 as u32
    }

    /// Records a peer's total and returns the units used since that peer's previous total.
    pub fn record(&mut self, from: usize, incarnation: u32, total_eighths: u32) -> f64 {
        let used = match self.totals.insert(from, PeerTotal { incarnation, total_eighths }) {
            Some(last) if last.incarnation == incarnation => {
                total_eighths.wrapping_sub(last.total_eighths) & ((1 << TOTAL_BITS) - 1)
            }
            _ => total_eighths,
        };
        f64::from(used) / PARTS_PER_UNIT
    }
}
