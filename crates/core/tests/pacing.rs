//! The pacing delay, the token bucket and reported usage, checked against numbers calculated by hand.

mod common;

use common::actions::{forwarded_to, is_rejected};
use common::events::attempt_report;
use common::settings::{endpoints, settings, settings_with_usage_reports};
use common::test_gateway::{TestGateway, TimedAction};
use common::{MILLISECOND, SECOND};
use grebehook_core::{Action, AttemptReport, AttemptStatus, Event, Settings};

/// Customer whose requests are paced.
const CUSTOMER: u64 = 5;

/// Returns a gateway with enough servers that only the quota limits requests.
fn quota_gateway(settings: Settings) -> TestGateway {
    TestGateway::new(settings, &endpoints(1..=10))
}

/// Numbers of requests of a burst by the gateway's immediate decision.
struct BurstOutcome {
    forwarded: usize,
    rejected: usize,
    /// Requests neither forwarded nor rejected.
    queued: usize,
}

/// Sends `count` requests of [`CUSTOMER`] now.
fn send_burst(gateway: &mut TestGateway, count: usize) -> BurstOutcome {
    let burst_actions: Vec<_> = (0..count).map(|_| gateway.request(CUSTOMER).1).collect();
    let forwarded = burst_actions.iter().filter(|actions| forwarded_to(actions).is_some()).count();
    let rejected = burst_actions.iter().filter(|actions| is_rejected(actions)).count();
    BurstOutcome { forwarded, rejected, queued: count - forwarded - rejected }
}

/// Returns the rejections among the actions.
fn rejections(actions: &[TimedAction]) -> impl Iterator<Item = &TimedAction> {
    actions.iter().filter(|timed| matches!(timed.action, Action::Reject { .. }))
}

/// Sends a burst and then a hundred requests, one each 100 ms. Returns how many of the hundred are forwarded.
/// `report` modifies the report of each attempt.
fn forwarded_in_ten_seconds(settings: Settings, report: impl Fn(AttemptReport) -> AttemptReport) -> usize {
    let mut gateway = quota_gateway(settings);
    send_burst(&mut gateway, 10);
    let mut forwarded = 0;
    for k in 0..100 {
        gateway.run_until(SECOND + (k + 1) * 100 * MILLISECOND);
        let (id, mut actions) = gateway.request(CUSTOMER);
        actions.extend(gateway.run_for(95 * MILLISECOND));
        if let Some(server) = forwarded_to(&actions) {
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
    // The even share of a burst of 4 over two gateways is full at the first request, for which all 4 units
    // are available.
    let BurstOutcome { forwarded, rejected, queued } = send_burst(&mut gateway, 6);
    assert_eq!((forwarded + rejected, queued), (6, 0), "requests are queued although there is no delay yet");
    assert!((2..=4).contains(&forwarded), "{forwarded} requests forwarded");
}

#[test]
fn requests_over_the_rate_are_queued_and_uncovered_ones_rejected_one_per_delay() {
    let mut gateway = quota_gateway(settings());
    send_burst(&mut gateway, 20);
    gateway.run_until(SECOND + 500 * MILLISECOND);
    // 20 units in half a second are 40 per second, 39 above the even share of 1. At most 4 requests are in
    // flight, so the first delay is at least 39 / 5 ms and at most 39 ms. A previous delay of zero counts as
    // one millisecond.
    let BurstOutcome { rejected, queued, .. } = send_burst(&mut gateway, 6);
    assert_eq!(rejected, 0, "requests are rejected before their delay has passed");
    assert!(queued >= 5);
    let actions = gateway.run_until(SECOND + 900 * MILLISECOND);
    let times: Vec<_> = rejections(&actions).map(|timed| timed.at).collect();
    assert!(times.len() >= 4, "rejected at {times:?}");
    assert!(
        times.windows(2).take(2).all(|pair| pair[1] - pair[0] >= 7 * MILLISECOND),
        "rejected at {times:?}"
    );
    let last = times.iter().max().expect("some requests are rejected");
    assert!(
        *last <= SECOND + 500 * MILLISECOND + 90 * MILLISECOND,
        "a delay exceeds 15% of the latency objective: rejected at {last}"
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
    assert!(queued >= 5, "{queued} requests queued");
    let actions = gateway.run_until(SECOND + 500 * MILLISECOND + 50 * MILLISECOND);
    let rejected = rejections(&actions).count();
    assert_eq!(rejected, queued, "requests are still queued after half of their client timeout");
}

#[test]
fn rejection_advises_a_retry_when_the_bucket_covers_the_request_again() {
    let mut gateway = quota_gateway(settings());
    send_burst(&mut gateway, 4);
    let (_, actions) = gateway.request(CUSTOMER);
    // The bucket is empty and is refilled at the even share of one unit per second; the request needs one
    // unit.
    assert!(matches!(actions[..], [Action::Reject { retry_after: Some(1_000_000), .. }]), "{actions:?}");
}

#[test]
fn bucket_refills_at_the_even_share_when_no_usage_is_reported() {
    let forwarded = forwarded_in_ten_seconds(settings(), |report| report);
    assert!((9..=11).contains(&forwarded), "{forwarded} requests forwarded in ten seconds at one per second");
}

#[test]
fn bucket_refills_at_the_full_rate_when_all_reported_usage_is_this_gateways() {
    let forwarded = forwarded_in_ten_seconds(settings_with_usage_reports(), |report| AttemptReport {
        reported_usage: Some(0.5),
        ..report
    });
    assert!(forwarded >= 15, "{forwarded} requests forwarded in ten seconds at about two per second");
}
