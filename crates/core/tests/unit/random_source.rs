//! Unit tests of sampling without replacement by the pseudo-random number generator.

use crate::random_source::RandomSource;
use std::collections::BTreeSet;

#[test]
fn sample_is_sorted_distinct_and_within_its_bound() {
    let mut random_source = RandomSource::new(5);
    for (end, count) in [(1, 1), (10, 10), (129, 128), (5_000, 128), (7, 0)] {
        let drawn = random_source.sample(end, count);
        assert_eq!(drawn.len(), count);
        assert!(
            drawn.windows(2).all(|pair| pair[0] < pair[1]) && drawn.iter().all(|k| *k < end),
            "{drawn:?}"
        );
    }
}

#[test]
fn sample_draws_each_number_equally_often() {
    let (mut random_source, mut counts) = (RandomSource::new(7), [0_u32; 200]);
    for _ in 0..10_000 {
        random_source.sample(200, 20).into_iter().for_each(|k| counts[k] += 1);
    }
    // Each number is expected 1,000 times; the bounds are five standard deviations, of √900 each, away.
    assert!(counts.iter().all(|count| (850..=1_150).contains(count)), "{counts:?}");
}

#[test]
fn same_seed_draws_the_same_samples() {
    let draws = |seed| (0..5).map(|_| RandomSource::new(seed).sample(1_000, 10)).collect::<BTreeSet<_>>();
    assert_eq!(draws(3).len(), 1);
    assert_ne!(draws(3), draws(4));
}
