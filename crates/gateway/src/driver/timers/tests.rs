//! Tests of [`TimerQueue`].

use super::*;

/// Number of requests, each of which is answered at once and leaves a timer behind.
const REQUEST_COUNT: u64 = 100_000;
/// Due time of the timers, long after the last request.
const DUE_AT: Micros = 8_000_000;

/// Guards against memory that grows with the rate of requests times their deadline.
#[test]
fn timers_of_answered_requests_do_not_accumulate_until_they_are_due() {
    let mut timers = TimerQueue::default();
    let open = RequestId(0);
    timers.arm(1, Timer::RequestDeadline(open));
    for number in 1..=REQUEST_COUNT {
        timers.arm(DUE_AT, Timer::RequestDeadline(RequestId(number)));
        timers.discard_obsolete(|timer| timer != Timer::RequestDeadline(open));
        assert!(timers.pending.len() <= 2 * MIN_CLEANUP_LENGTH + 1);
    }
    assert!(timers.pop_due(1) == Some(Timer::RequestDeadline(open)), "the open request has lost its timer");
}
