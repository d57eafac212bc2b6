use super::{Pauses, FIRST_BACKOFF, LONGEST_BACKOFF_OF_ANY, LONGEST_BACKOFF_OF_FEW};

/// Together the gateways of a fleet ask discovery about as often as a few do, and not in step.
#[test]
fn pauses_grow_with_the_fleet_and_differ_among_its_gateways() {
    let drawn = |gateways, seed| {
        let mut pauses = Pauses::new(gateways, seed);
        (0..12).map(|_| pauses.draw()).collect::<Vec<_>>()
    };
    for few in drawn(2, 1) {
        assert!(few >= FIRST_BACKOFF && few <= LONGEST_BACKOFF_OF_FEW, "{few:?}");
    }
    let (one, other) = (drawn(100, 1), drawn(100, 2));
    assert!(one[0] >= FIRST_BACKOFF * 50 && one.iter().all(|p| *p <= LONGEST_BACKOFF_OF_ANY), "{one:?}");
    assert!(one.iter().zip(&other).all(|(a, b)| a != b), "in step: {one:?}");
    let mut pauses = Pauses::new(100, 1);
    while pauses.draw() < LONGEST_BACKOFF_OF_ANY / 2 {}
    pauses.reset();
    assert!(pauses.draw() <= FIRST_BACKOFF * 100);
}
