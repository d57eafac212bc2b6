//! Tests of [`LineLimiter`].

use super::*;
use std::time::Duration;

#[test]
fn a_burst_is_admitted_and_then_lines_at_the_rate() {
    let limiter = LineLimiter::default();
    let start = Instant::now();
    let admitted = (0..1_000).filter(|_| limiter.admit(start).is_some()).count();
    assert_eq!(admitted, MAX_BURST_LINES as usize);
    let later = start + Duration::from_secs(1);
    assert_eq!(limiter.admit(later), Some(1_000 - MAX_BURST_LINES as u64));
    assert_eq!((1..1_000).filter(|_| limiter.admit(later).is_some()).count() + 1, LINES_PER_SECOND as usize);
}
