use super::{select, Candidate, SETTLE_TIME};
use std::time::{Duration, Instant};

const LIMIT: usize = 300;

fn candidate(key: u64, has_asked: bool, at: Instant) -> Candidate {
    Candidate { key, has_sent_request: has_asked, has_begun: false, last_heard: at, idle_since: at }
}

/// Connections whose age falls with their key: the first is the oldest.
fn crowd(count: u64, has_asked: bool, start: Instant) -> Vec<Candidate> {
    (0..count).map(|key| candidate(key, has_asked, start + Duration::from_millis(key))).collect()
}

/// A system call for every idle connection at every accepted one used up the processor under a crowd, and requests
/// waited in the listen queue for seconds.
#[test]
fn only_the_connections_that_are_about_to_close_are_asked_for_unread_input() {
    let start = Instant::now();
    let now = start + Duration::from_secs(1);
    for count in [10, 100, 300, 1_000] {
        for has_asked in [false, true] {
            let mut asked = Vec::new();
            let candidates = crowd(count, has_asked, start);
            let evicted = select(&candidates, now, LIMIT, |key| {
                asked.push(key);
                key < 2
            });
            assert_eq!(evicted, Some(2), "{count} connections, has asked: {has_asked}");
            assert_eq!(asked, [0, 1, 2], "{count} connections, has asked: {has_asked}");
        }
    }
}

#[test]
fn a_silent_newcomer_goes_before_a_usual_client() {
    let start = Instant::now();
    let usual = candidate(1, true, start);
    let silent = candidate(2, false, start + Duration::from_millis(1));
    let now = start + SETTLE_TIME * 2;
    assert_eq!(select(&[usual, silent], now, LIMIT, |_| false), Some(2));
    assert_eq!(select(&[usual, silent], now, LIMIT, |key| key == 2), Some(1));
}

#[test]
fn usual_clients_are_kept_while_many_newcomers_have_had_no_time_to_ask() {
    let start = Instant::now();
    let now = start + SETTLE_TIME;
    let mut candidates: Vec<Candidate> = (1..=75).map(|key| candidate(key, false, now)).collect();
    candidates.push(candidate(0, true, start));
    assert_eq!(select(&candidates, now, LIMIT, |_| false), None);
    candidates.remove(1);
    assert_eq!(select(&candidates, now, LIMIT, |_| false), Some(0));
    assert_eq!(select(&[], now, LIMIT, |_| false), None);
}

/// Its client would never learn what became of it.
#[test]
fn a_client_in_the_middle_of_a_request_goes_only_where_newcomers_are_a_crowd() {
    let start = Instant::now();
    let now = start + SETTLE_TIME * 2;
    let writing = |key, has_asked| Candidate { has_begun: true, ..candidate(key, has_asked, start) };
    let idle = candidate(3, true, now);
    assert_eq!(select(&[writing(1, false), writing(2, true), idle], now, LIMIT, |_| false), Some(3));
    assert_eq!(select(&[writing(1, false), writing(2, true)], now, LIMIT, |_| false), None);
    let crowd: Vec<Candidate> = (0..LIMIT as u64).map(|key| writing(key, false)).collect();
    assert_eq!(select(&crowd, now, LIMIT, |_| false), Some(0));
}
