//! Tests of [`ArrivalHistory`].

use super::*;

/// Interval between two samples, in microseconds.
const INTERVAL: Micros = 50_000;

/// Records samples of which each is caught up or not, while `step` bytes arrive between two. Returns the history and the
/// number of bytes that have arrived.
fn history(caught_up: &[bool], step: u64) -> (ArrivalHistory, u64) {
    let mut history = ArrivalHistory::new(0);
    for (number, is_caught_up) in (1..).zip(caught_up) {
        history.record(ArrivalSample {
            at: number * INTERVAL,
            arrived: number * step,
            is_caught_up: *is_caught_up,
            held_back_for: 0,
        });
    }
    (history, caught_up.len() as u64 * step)
}

#[test]
fn byte_of_a_client_that_was_not_held_back_was_written_when_it_arrived() {
    for caught_up in [[true, true, true, true], [true, false, true, true], [false, true, false, true]] {
        let (history, arrived) = history(&caught_up, 1_000);
        assert_eq!(history.earliest_write(arrived), None, "{caught_up:?}");
    }
}

#[test]
fn byte_of_a_client_that_is_held_back_may_have_been_written_when_that_began() {
    let (history, arrived) = history(&[true, true, false, false, false], 1_000);
    assert_eq!(history.earliest_write(arrived), Some(2 * INTERVAL));
}

/// What the client's system cannot keep was written later.
#[test]
fn byte_of_a_very_long_body_was_written_once_the_bytes_long_before_it_had_arrived() {
    let (history, arrived) = history(&[false; 20], MAX_UNSENT_BYTES / 2);
    assert_eq!(history.earliest_write(arrived), Some(18 * INTERVAL));
    assert!(history.samples.len() <= 3);
}

#[test]
fn one_long_wait_for_a_server_holds_a_client_back() {
    let mut history = ArrivalHistory::new(7);
    history.record(ArrivalSample {
        at: INTERVAL,
        arrived: 1,
        is_caught_up: false,
        held_back_for: MIN_HELD_BACK_TIME,
    });
    assert_eq!(history.earliest_write(1), Some(7));
}

/// Guards against memory that grows for as long as a client trickles in a body that is taken in turns.
#[test]
fn history_of_a_body_that_trickles_in_has_a_bounded_length() {
    for caught_up in [[true, false], [false, false]] {
        let pattern: Vec<bool> = caught_up.into_iter().cycle().take(10_000).collect();
        let (history, _) = history(&pattern, 1);
        assert!(history.samples.len() <= 20, "{} samples of {caught_up:?}", history.samples.len());
    }
    let (history, _) = history(&[false; 10_000], 10_000);
    assert!(history.samples.len() <= 20, "{} samples", history.samples.len());
}

/// Guards against a client's time that begins only when its body is read, though the client was held back before.
#[test]
fn byte_of_a_client_that_was_held_back_before_may_have_been_written_then() {
    let mut history = ArrivalHistory::held_back_since(7);
    assert_eq!(history.earliest_write(1), Some(7));
    let sample = |at| ArrivalSample { at, arrived: 1, is_caught_up: true, held_back_for: 0 };
    history.record(sample(INTERVAL));
    assert_eq!(history.earliest_write(1), Some(7));
    history.record(sample(2 * INTERVAL));
    assert_eq!(history.earliest_write(1), None);
}

/// A body of known length may have bytes that the client cannot have written yet.
#[test]
fn byte_that_has_not_arrived_was_written_no_earlier_than_the_bytes_long_before_it_arrived() {
    let (history, arrived) = history(&[false; 4], MAX_UNSENT_BYTES / 2);
    assert_eq!(history.earliest_write(arrived + MAX_UNSENT_BYTES), Some(4 * INTERVAL));
    assert_eq!(history.earliest_write(arrived + MAX_UNSENT_BYTES / 2), Some(3 * INTERVAL));
}
