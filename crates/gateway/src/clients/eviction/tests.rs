//! Tests of the selection of connections to evict.

use super::{select, Candidate, FIRST_BYTE_GRACE_PERIOD};
use std::time::{Duration, Instant};

/// Connection limit of the tests.
const MAX_CONNECTIONS: usize = 300;

/// Returns a connection that has received no part of a next request and was last used at `at`.
fn candidate(key: u64, has_sent_request: bool, at: Instant) -> Candidate {
    Candidate { key, has_sent_request, has_partial_request: false, last_read_at: at, idle_since: at }
}

/// Returns connections whose age decreases with their key: key 0 is the oldest.
fn connections(count: u64, has_sent_request: bool, start: Instant) -> Vec<Candidate> {
    (0..count).map(|key| candidate(key, has_sent_request, start + Duration::from_millis(key))).collect()
}

/// Guards against a system call for every idle connection whenever one is accepted: in a flood these calls
/// would take all of the processor's time, and requests would wait in the backlog for seconds.
#[test]
fn unread_input_is_checked_only_for_the_connections_to_be_closed_next() {
    let start = Instant::now();
    let now = start + Duration::from_secs(1);
    for count in [10, 100, 300, 1_000] {
        for has_sent_request in [false, true] {
            let mut checked = Vec::new();
            let candidates = connections(count, has_sent_request, start);
            let selected = select(&candidates, now, MAX_CONNECTIONS, |key| {
                checked.push(key);
                key < 2
            });
            assert_eq!(selected, Some(2), "{count} connections, has sent request: {has_sent_request}");
            assert_eq!(checked, [0, 1, 2], "{count} connections, has sent request: {has_sent_request}");
        }
    }
}

#[test]
fn inactive_new_connection_is_closed_before_a_regular_one() {
    let start = Instant::now();
    let regular = candidate(1, true, start);
    let inactive = candidate(2, false, start + Duration::from_millis(1));
    let now = start + FIRST_BYTE_GRACE_PERIOD * 2;
    assert_eq!(select(&[regular, inactive], now, MAX_CONNECTIONS, |_| false), Some(2));
    assert_eq!(select(&[regular, inactive], now, MAX_CONNECTIONS, |key| key == 2), Some(1));
}

#[test]
fn regular_connections_are_kept_in_a_flood_of_new_ones_that_could_not_yet_send() {
    let start = Instant::now();
    let now = start + FIRST_BYTE_GRACE_PERIOD;
    let mut candidates: Vec<Candidate> = (1..=75).map(|key| candidate(key, false, now)).collect();
    candidates.push(candidate(0, true, start));
    assert_eq!(select(&candidates, now, MAX_CONNECTIONS, |_| false), None);
    candidates.remove(1);
    assert_eq!(select(&candidates, now, MAX_CONNECTIONS, |_| false), Some(0));
    assert_eq!(select(&[], now, MAX_CONNECTIONS, |_| false), None);
}

/// Guards against interrupting a request, whose client would receive no answer.
#[test]
fn connection_in_the_middle_of_a_request_is_closed_only_in_a_flood() {
    let start = Instant::now();
    let now = start + FIRST_BYTE_GRACE_PERIOD * 2;
    let writing = |key, has_sent_request| Candidate {
        has_partial_request: true,
        ..candidate(key, has_sent_request, start)
    };
    let idle = candidate(3, true, now);
    assert_eq!(
        select(&[writing(1, false), writing(2, true), idle], now, MAX_CONNECTIONS, |_| false),
        Some(3)
    );
    assert_eq!(select(&[writing(1, false), writing(2, true)], now, MAX_CONNECTIONS, |_| false), None);
    let flood: Vec<Candidate> = (0..MAX_CONNECTIONS as u64).map(|key| writing(key, false)).collect();
    assert_eq!(select(&flood, now, MAX_CONNECTIONS, |_| false), Some(0));
}
