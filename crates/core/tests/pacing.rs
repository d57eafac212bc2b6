//! The delay rule, the token bucket and the reported usage, by numbers worked out by hand.

mod common;

use common::actions::{forwarded_to, is_rejected};
use common::events::attempt_report;
use common::settings::{endpoints, settings, settings_with_usage_reports};
use common::test_gateway::{TestGateway, TimedAction};
use common::{MILLISECOND, SECOND};
use grebehook_core::{Action, AttemptReport, AttemptStatus, Event, Settings};

/// The customer whose requests are paced.
const CUSTOMER: u64 = 5;

/// A gateway before so many servers that only the quota decides.
fn quota_gateway(settings: Settings) -> TestGateway {
    TestGateway::new(settings, &endpoints(1..=10))
}

/// What became at once of requests that arrived together.
struct BurstOutcome {
    /// Forwarded.
    forwarded: usize,
    /// Rejected.
    rejected: usize,
    /// Neither: queued.
    queued: usize,
}

/// Sends so many requests of the customer now.
fn send_burst(gateway: &mut TestGateway, count: usize) -> BurstOutcome {
    let responses: Vec<_> = (0..count).map(|_| gateway.request(CUSTOMER).1).collect();
    let forwarded = responses.iter().filter(|actions| forwarded_to(actions).is_some()).count();
    let rejected = responses.iter().filter(|actions| is_rejected(actions)).count();
    BurstOutcome { forwarded, rejected, queued: count - forwarded - rejected }
}

/// The rejections among these actions.
fn rejections(done: &[TimedAction]) -> impl Iterator<Item = &TimedAction> {
    done.iter().filter(|timed| matches!(timed.action, Action::Reject { .. }))
}

/// How many of a hundred requests, one each 100 ms, are forwarded after a burst; `report` completes each attempt.
fn forwarded_in_ten_seconds(settings: Settings, report: impl Fn(AttemptReport) -> AttemptReport) -> usize {
    let mut gateway = quota_gateway(settings);
    send_burst(&mut gateway, 10);
    let mut forwarded = 0;
    for k in 0..100 {
        gateway.run_until(SECOND + (k + 1) * 100 * MILLISECOND);
        let (id, mut done) = gateway.request(CUSTOMER);
        done.extend(gateway.run_for(95 * MILLISECOND));
        if let Some(server) = forwarded_to(&done) {
            forwarded += 1;
            let report = report(attempt_report(id, server, AttemptStatus::Ok));
            gateway.handle(Event::AttemptCompleted(report));
        }
    }
    forwarded
}

#[test]
fn new_customer_starts_with_a_full_bucket_and_no_delay() {
    let mut gateway = quota_gateway(settings());
    // The even share of a burst of 4 over two gateways is full at the first request, which sees all 4.
    let BurstOutcome { forwarded, rejected, queued } = send_burst(&mut gateway, 6);
    assert_eq!((forwarded + rejected, queued), (6, 0), "no delay yet, so none is queued");
    assert!((2..=4).contains(&forwarded), "{forwarded}");
}

#[test]
fn requests_over_the_rate_are_queued_and_uncovered_ones_rejected_one_per_delay() {
    let mut gateway = quota_gateway(settings());
    send_burst(&mut gateway, 20);
    gateway.run_until(SECOND + 500 * MILLISECOND);
    // 20 units in half a second are 40 a second, 39 over the even share of 1. At most 4 are in flight, so the
    // first delay is at least 39 / 5 ms and at most 39 ms (a previous zero counts as one).
    let BurstOutcome { rejected, queued, .. } = send_burst(&mut gateway, 6);
    assert_eq!(rejected, 0, "none is rejected before its delay is over");
    assert!(queued >= 5);
    let done = gateway.run_until(SECOND + 900 * MILLISECOND);
    let times: Vec<_> = rejections(&done).map(|timed| timed.at).collect();
    assert!(times.len() >= 4, "{times:?}");
    assert!(times.windows(2).take(2).all(|pair| pair[1] - pair[0] >= 7 * MILLISECOND), "{times:?}");
    let last = times.iter().max().expect("some rejected");
    assert!(
        *last <= SECOND + 500 * MILLISECOND + 90 * MILLISECOND,
        "a delay is capped at 15% of the latency objective: {last}"
    );
}

#[test]
fn queueing_takes_less_than_half_of_a_client_timeout_below_the_latency_objective() {
    let mut gateway = quota_gateway(settings());
    send_burst(&mut gateway, 40);
    gateway.run_until(SECOND + 500 * MILLISECOND);
    let is_accepted = |actions: &[Action]| !is_rejected(actions);
    let queued =
        (0..6).filter(|_| is_accepted(&gateway.request_in_class(0, CUSTOMER, 100 * MILLISECOND).1)).count();
    assert!(queued >= 5, "{queued}");
    let done = gateway.run_until(SECOND + 500 * MILLISECOND + 50 * MILLISECOND);
    let rejected = rejections(&done).count();
    assert_eq!(rejected, queued, "some are still queued after half of their timeout");
}

#[test]
fn rejection_tells_when_the_bucket_covers_the_request_again() {
    let mut gateway = quota_gateway(settings());
    send_burst(&mut gateway, 4);
    let (_, actions) = gateway.request(CUSTOMER);
    // An empty bucket, one unit, refilled at the even share of one a second.
    assert!(matches!(actions[..], [Action::Reject { retry_after: Some(1_000_000), .. }]), "{actions:?}");
}

#[test]
fn bucket_refills_at_the_even_share_when_no_usage_is_reported() {
    let forwarded = forwarded_in_ten_seconds(settings(), |report| report);
    assert!((9..=11).contains(&forwarded), "ten seconds at one a second: {forwarded}");
}

#[test]
fn bucket_refills_at_the_full_rate_when_all_reported_usage_is_this_gateways() {
    let forwarded = forwarded_in_ten_seconds(settings_with_usage_reports(), |report| AttemptReport {
        reported_usage: Some(0.5),
        ..report
    });
    assert!(forwarded >= 15, "about two a second over ten seconds: {forwarded}");
}
