//! Running totals of a customer's use as gossip carries them: this gateway's own, and those received from
//! others.

use crate::gossip::message::TOTAL_BITS;
use std::collections::BTreeMap;

/// Fractions of a unit in which totals are sent.
const PARTS_PER_UNIT: f64 = 8.0;

/// The last total received from a gateway.
struct PeerTotal {
    /// Which start of that gateway it belongs to.
    incarnation: u32,
    /// The total in eighths of a unit, modulo 2^[`TOTAL_BITS`].
    total_eighths: u32,
}

/// The totals.
#[derive(Default)]
pub(crate) struct PeerUsage {
    /// Units that this gateway has forwarded.
    own_units: f64,
    /// The totals of others, by gateway.
    totals: BTreeMap<usize, PeerTotal>,
}

impl PeerUsage {
    /// Adds to this gateway's total.
    pub fn add_own(&mut self, units: f64) {
        self.own_units += units;
    }

    /// Whether more than one unit was forwarded here: a customer seen once need not be published.
    pub fn is_repeated(&self) -> bool {
        self.own_units > 1.0
    }

    /// This gateway's total in eighths of a unit.
    pub fn own_eighths(&self) -> u32 {
        (self.own_units * PARTS_PER_UNIT) as u64 as u32
    }

    /// Records a total of another gateway; returns the units that were used since the last one.
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
