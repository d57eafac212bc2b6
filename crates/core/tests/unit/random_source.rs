use crate::random_source::RandomSource;
use std::collections::BTreeSet;

#[test]
fn a_sample_is_sorted_distinct_and_within_its_bound() {
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
fn each_number_is_drawn_as_often() {
    let (mut random_source, mut got) = (RandomSource::new(7), [0_u32; 200]);
    for _ in 0..10_000 {
        random_source.sample(200, 20).into_iter().for_each(|k| got[k] += 1);
    }
    // A thousand each, give or take five times the root of 900.
    assert!(got.iter().all(|n| (850..=1_150).contains(n)), "{got:?}");
}

#[test]
fn the_same_seed_draws_the_same() {
    let draws = |seed| (0..5).map(|_| RandomSource::new(seed).sample(1_000, 10)).collect::<BTreeSet<_>>();
    assert_eq!(draws(3).len(), 1);
    assert_ne!(draws(3), draws(4));
}
