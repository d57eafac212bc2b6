//! The deterministic random numbers of a gateway, so that a run can be repeated from its seed.

use std::collections::BTreeSet;

/// The fraction of the golden ratio in 64 bits: its multiples spread evenly over all numbers.
pub(crate) const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// Random numbers from a seed (SplitMix64).
#[derive(Default)]
pub(crate) struct RandomSource(u64);

impl RandomSource {
    /// A source whose numbers follow from the seed.
    pub fn new(seed: u64) -> RandomSource {
        RandomSource(seed)
    }

    /// The next number, from 0 up to 1.
    pub fn next_fraction(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(GOLDEN_RATIO);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// So many different numbers below `end`, in order, each set as likely (Floyd's algorithm).
    pub fn sample(&mut self, end: usize, count: usize) -> Vec<usize> {
        let mut drawn = BTreeSet::new();
        for top in end.saturating_sub(count)..end {
            let number = (self.next_fraction() * (top + 1) as f64) as usize;
            if !drawn.insert(number) {
                drawn.insert(top);
            }
        }
        drawn.into_iter().collect()
    }
}
