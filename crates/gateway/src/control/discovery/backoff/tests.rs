//! Tests of the backoff of discovery calls.

use super::{Backoff, INITIAL_BACKOFF_PER_GATEWAY, MAX_BACKOFF_LIMIT, MIN_BACKOFF_LIMIT};

/// Guards against a large fleet that calls discovery more often than a small one, and against gateways that
/// retry at the same times.
#[test]
fn backoff_grows_with_the_fleet_and_differs_between_gateways() {
    let delays_of = |gateway_count, seed| {
        let mut backoff = Backoff::new(gateway_count, seed);
        (0..12).map(|_| backoff.next_delay()).collect::<Vec<_>>()
    };
    for delay in delays_of(2, 1) {
        assert!(delay >= INITIAL_BACKOFF_PER_GATEWAY && delay <= MIN_BACKOFF_LIMIT, "{delay:?}");
    }
    let one = delays_of(100, 1);
    let other = delays_of(100, 2);
    let initial = INITIAL_BACKOFF_PER_GATEWAY * 50;
    assert!(one[0] >= initial && one.iter().all(|delay| *delay <= MAX_BACKOFF_LIMIT), "{one:?}");
    let mut pairs = one.iter().zip(&other);
    assert!(pairs.all(|(of_one, of_other)| of_one != of_other), "the same delays: {one:?}");
    let mut backoff = Backoff::new(100, 1);
    while backoff.next_delay() < MAX_BACKOFF_LIMIT / 2 {}
    backoff.reset();
    assert!(backoff.next_delay() <= INITIAL_BACKOFF_PER_GATEWAY * 100);
}
