//! Quota of a customer with few gateways, as the totals of the shared counter correct it.

mod common;

use common::actions::{counter_call, forwarded_to, is_rejected, CounterCall};
use common::events::{attempt_report, counter_total};
use common::settings::{endpoint, settings, with_shared_counter};
use common::test_gateway::TestGateway;
use common::{MILLISECOND, SECOND};
use grebehook_core::{
    Action, AttemptReport, AttemptStatus, CounterId, CounterResult, Event, Micros, RequestId, ServerId,
    Settings,
};

/// The customer whose requests are counted.
const CUSTOMER: u64 = 5;
/// How long the counter takes to reply.
const REPLY_TIME: Micros = 2 * MILLISECOND;

/// Four gateways with a shared counter and the usage of each second reported.
fn counter_settings() -> Settings {
    let mut settings = with_shared_counter(Settings { gateway_count: 4, ..settings() });
    settings.capabilities.usage_report_period = Some(SECOND);
    settings
}

/// A gateway before one server.
fn counter_gateway() -> TestGateway {
    TestGateway::new(counter_settings(), &[endpoint(1, 0)])
}

/// The counter replies to a call with a total.
fn reply(gateway: &mut TestGateway, counter: CounterId, total: f64) -> Vec<Action> {
    gateway.now += REPLY_TIME;
    gateway.handle(counter_total(counter, total, REPLY_TIME))
}

/// A gateway whose first request was counted and forwarded.
struct CountedRequest {
    /// The gateway.
    gateway: TestGateway,
    /// The customer's counter.
    counter: CounterId,
    /// The request.
    id: RequestId,
    /// Where it was forwarded.
    server: ServerId,
}

impl CountedRequest {
    /// Sends the request; the counter replies with `total`.
    fn forward(total: f64) -> CountedRequest {
        let mut gateway = counter_gateway();
        let (id, actions) = gateway.request(CUSTOMER);
        let counter = counter_call(&actions).expect("a call").counter;
        let server = forwarded_to(&reply(&mut gateway, counter, total)).expect("forwarded");
        CountedRequest { gateway, counter, id, server }
    }

    /// Another request now.
    fn request(&mut self) -> Vec<Action> {
        self.gateway.request(CUSTOMER).1
    }

    /// Another request now, which is counted; the counter replies with `total`.
    fn counted_request(&mut self, total: f64) -> Vec<Action> {
        assert!(counter_call(&self.request()).is_some(), "a call");
        self.reply(total)
    }

    /// The counter replies with `total`.
    fn reply(&mut self, total: f64) -> Vec<Action> {
        reply(&mut self.gateway, self.counter, total)
    }

    /// A call that adds `amount` to the customer's counter.
    fn call_of(&self, amount: f64) -> Option<CounterCall> {
        Some(CounterCall { counter: self.counter, amount })
    }

    /// The request's attempt succeeds; `report` changes the default report.
    fn complete(&mut self, report: impl FnOnce(AttemptReport) -> AttemptReport) {
        let default = attempt_report(self.id, self.server, AttemptStatus::Ok);
        self.gateway.handle(Event::AttemptCompleted(report(default)));
    }
}

#[test]
fn request_is_queued_for_the_counters_reply_and_then_forwarded() {
    let mut gateway = counter_gateway();
    let (_, actions) = gateway.request(CUSTOMER);
    let call = counter_call(&actions).expect("a call");
    assert_eq!(call, CounterCall { counter: CounterId(5), amount: 1.0 });
    assert_eq!(forwarded_to(&actions), None);
    assert!(forwarded_to(&reply(&mut gateway, call.counter, 3.0)).is_some());
}

#[test]
fn request_is_rejected_and_its_reservation_returned_when_peers_drained_the_bucket() {
    let mut counted = CountedRequest::forward(1.0);
    counted.gateway.run_for(SECOND);
    let actions = counted.request();
    assert_eq!(counter_call(&actions), counted.call_of(1.0));
    let actions = counted.reply(1.0 + 1.0 + 5.0);
    assert!(is_rejected(&actions) && forwarded_to(&actions).is_none(), "{actions:?}");
    let later = counted.gateway.run_for(300 * MILLISECOND);
    assert_eq!(counter_call(&later), counted.call_of(-1.0));
}

/// A total that fell means that the counter lost its state; no usage was returned.
#[test]
fn bucket_is_not_refilled_when_the_counter_lost_its_total() {
    let mut counted = CountedRequest::forward(100.0);
    // Others use a unit, then the counter loses its state: the bucket keeps its level.
    for total in [101.0, 103.0, 1.0] {
        counted.gateway.run_for(250 * MILLISECOND);
        let actions = counted.request();
        assert_eq!(counter_call(&actions), counted.call_of(1.0));
        let mut done = counted.reply(total);
        done.extend(counted.gateway.run_for(10 * MILLISECOND));
        assert!(forwarded_to(&done).is_some(), "{total}: {done:?}");
    }
    let mut done = counted.request();
    done.extend(counted.gateway.run_for(100 * MILLISECOND));
    assert_eq!(forwarded_to(&done), None, "the bucket was refilled");
}

/// Without a deficit for what peers took beyond the bucket, each gateway would spend the whole refill.
#[test]
fn units_that_peers_took_beyond_the_bucket_leave_a_deficit() {
    let mut counted = CountedRequest::forward(1.0);
    counted.gateway.run_for(250 * MILLISECOND);
    assert!(is_rejected(&counted.counted_request(1.0 + 1.0 + 6.0)));
    let later = counted.gateway.run_for(150 * MILLISECOND);
    assert_eq!(counter_call(&later), counted.call_of(-1.0));
    counted.reply(1.0 + 6.0);
    counted.gateway.run_for(700 * MILLISECOND);
    let actions = counted.request();
    assert_eq!(counter_call(&actions), None, "a deficit of two units is not refilled yet");
    assert_eq!(forwarded_to(&actions), None, "a deficit of two units is not refilled yet");
}

/// Most of what peers took while the counter was unavailable went beyond the quota and leaves no deficit.
#[test]
fn deficit_is_bounded_by_what_the_age_of_the_total_explains() {
    let mut counted = CountedRequest::forward(1.0);
    counted.gateway.run_for(250 * MILLISECOND);
    assert!(is_rejected(&counted.counted_request(1.0 + 1.0 + 100.0)));
    counted.gateway.run_for(150 * MILLISECOND);
    counted.reply(1.0 + 100.0);
    counted.gateway.run_for(SECOND);
    assert!(counter_call(&counted.request()).is_some(), "two units a second have refilled it by now");
}

/// A slightly old total suffices while the bucket is ample; when it is low, all gateways see the same rest.
#[test]
fn counter_is_called_again_only_when_the_bucket_runs_low() {
    let mut counted = CountedRequest::forward(1.0);
    let ample = counted.request();
    assert!(
        counter_call(&ample).is_none() && forwarded_to(&ample).is_some(),
        "three units of four are left: {ample:?}"
    );
    counted.request();
    let low = counted.request();
    assert!(
        counter_call(&low).is_some() && forwarded_to(&low).is_none(),
        "one unit of four is left: {low:?}"
    );
}

/// Peers that use less than the rate while this gateway is idle take nothing from a full bucket.
#[test]
fn overflow_of_a_full_bucket_covers_the_usage_of_peers() {
    let mut counted = CountedRequest::forward(1.0);
    counted.gateway.run_for(5 * SECOND);
    let actions = counted.counted_request(1.0 + 1.0 + 6.0);
    assert!(
        forwarded_to(&actions).is_some(),
        "six units in five seconds are less than the rate: {actions:?}"
    );
}

/// To a gateway that has just started every customer is new, though it may have spent its quota: where the first
/// reported usage is at the quota, the bucket holds no more than the counted total leaves of it.
#[test]
fn new_customer_does_not_start_with_a_full_bucket_when_its_reported_usage_is_at_the_quota() {
    for (total, used, is_forwarded) in [(50.0, 0.6, true), (50.0, 1.2, false), (2.0, 1.2, true)] {
        let mut counted = CountedRequest::forward(total);
        counted.complete(|report| AttemptReport {
            elapsed: 2 * MILLISECOND,
            reported_usage: Some(used),
            ..report
        });
        let mut done = counted.request();
        if counter_call(&done).is_some() {
            done.extend(counted.reply(total + 1.0));
        }
        assert_eq!(forwarded_to(&done).is_some(), is_forwarded, "{total} counted, {used:?} used: {done:?}");
    }
}

/// Peers learn the settled units from the counter only.
#[test]
fn difference_to_the_settled_units_is_added_to_the_counter() {
    let mut counted = CountedRequest::forward(1.0);
    counted.complete(|report| AttemptReport {
        elapsed: 10 * MILLISECOND,
        settled_units: Some(2.5),
        ..report
    });
    let later = counted.gateway.run_for(SECOND);
    assert_eq!(counter_call(&later), counted.call_of(1.5));
}

/// Two gateways that read the same total must not both correct it: each adds only its usage.
#[test]
fn gateways_that_call_the_counter_at_once_add_no_more_than_their_usage() {
    let mut gateways = [counter_gateway(), counter_gateway()];
    let mut total = 0.0;
    for round in 0..20 {
        for gateway in &mut gateways {
            gateway.run_until((1_000 + round) * SECOND);
        }
        let mut calls: Vec<_> =
            gateways.iter_mut().map(|gateway| counter_call(&gateway.request(CUSTOMER).1)).collect();
        // Both calls are added before either is replied to, and so are those that follow from the replies.
        while calls.iter().any(Option::is_some) {
            let mut totals = [None; 2];
            for (call, total_after) in calls.iter().zip(&mut totals) {
                let Some(CounterCall { amount, .. }) = *call else { continue };
                assert!(amount.abs() <= 1.0, "{amount} added for a request of one unit");
                total += amount;
                *total_after = Some(total);
            }
            calls = (gateways.iter_mut().zip(calls).zip(totals))
                .map(|((gateway, call), total)| counter_call(&reply(gateway, call?.counter, total?)))
                .collect();
        }
    }
    assert!(total <= 40.0, "{total} counted for 40 requests of one unit");
}

#[test]
fn silent_counter_delays_no_request_beyond_the_queueing_limit_and_is_called_less() {
    let mut gateway = counter_gateway();
    let mut calls = 0;
    for k in 0..100 {
        let (id, mut done) = gateway.request(1_000 + k);
        let call = counter_call(&done);
        done.extend(gateway.run_for(90 * MILLISECOND));
        let server =
            forwarded_to(&done).expect("forwarded within the queueing limit, as the customer is new");
        gateway.complete_attempt(id, 0, server, AttemptStatus::Ok);
        if let Some(CounterCall { counter, .. }) = call {
            calls += 1;
            gateway.handle(Event::CounterReplied {
                counter,
                result: CounterResult::Unknown,
                elapsed: 80 * MILLISECOND,
            });
        }
    }
    assert!((5..=40).contains(&calls), "{calls}");
}

/// A distant counter is called like a close one while it replies well within the timeout.
#[test]
fn counter_that_replies_in_time_is_called_for_every_new_customer() {
    let mut gateway = counter_gateway();
    for k in 0..100 {
        let (_, actions) = gateway.request(1_000 + k);
        let call = counter_call(&actions).expect("a call");
        gateway.run_for(12 * MILLISECOND);
        gateway.handle(counter_total(call.counter, call.amount, 12 * MILLISECOND));
        gateway.run_for(50 * MILLISECOND);
    }
}
