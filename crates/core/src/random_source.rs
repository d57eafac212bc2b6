//! Deterministic pseudo-random numbers, so that a run can be reproduced from its seed.

use std::collections::BTreeSet;

/// Fractional part of the golden ratio, scaled to 64 bits: its multiples are spread evenly over all 64-bit
/// numbers.
pub(crate) const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// A SplitMix64 pseudo-random number generator.
#[derive(Default)]
pub(crate) struct RandomSource(u64);

impl RandomSource {
    /// Creates a generator whose sequence is determined by the seed.
    pub fn new(seed: u64) -> RandomSource {
        RandomSource(seed)
    }

    /// Returns the next number, uniformly distributed in [0, 1).
    pub fn next_fraction(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(GOLDEN_RATIO);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns `count` distinct numbers below `end` in ascending order; each set of numbers is equally likely
    /// (Floyd's algorithm).
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
