//! Quota of a customer that few gateways serve, corrected by the totals of the shared counter. A total that
//! is written as a sum consists of the units counted before, those of this gateway and those of its peers.

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

/// Customer whose requests are counted.
const CUSTOMER: u64 = 5;
/// Time until the counter replies to a call.
const REPLY_TIME: Micros = 2 * MILLISECOND;

/// Returns the settings of one of four gateways with a shared counter and reports of the usage in the last
/// second.
fn counter_settings() -> Settings {
    let mut settings = with_shared_counter(Settings { gateway_count: 4, ..settings() });
    settings.capabilities.usage_report_period = Some(SECOND);
    settings
}

/// Returns a gateway with one server.
fn counter_gateway() -> TestGateway {
    TestGateway::new(counter_settings(), &[endpoint(1, 0)])
}

/// Delivers the counter's reply to a call, with a total.
fn reply(gateway: &mut TestGateway, counter: CounterId, total: f64) -> Vec<Action> {
    gateway.now += REPLY_TIME;
    gateway.handle(counter_total(counter, total, REPLY_TIME))
}

/// A request that was counted and forwarded, with its gateway.
struct CountedRequest {
    gateway: TestGateway,
    /// Counter key of the customer.
    counter: CounterId,
    id: RequestId,
    /// Server to which the request was forwarded.
    server: ServerId,
}

impl CountedRequest {
    /// Sends the first request, to whose call the counter replies with `total`.
    fn forward(total: f64) -> CountedRequest {
        let mut gateway = counter_gateway();
        let (id, actions) = gateway.request(CUSTOMER);
        let counter = counter_call(&actions).expect("the request makes a counter call").counter;
        let server =
            forwarded_to(&reply(&mut gateway, counter, total)).expect("the counted request is forwarded");
        CountedRequest { gateway, counter, id, server }
    }

    /// Sends another request now.
    fn request(&mut self) -> Vec<Action> {
        self.gateway.request(CUSTOMER).1
    }

    /// Sends another request now, to whose call the counter replies with `total`.
    fn counted_request(&mut self, total: f64) -> Vec<Action> {
        assert!(counter_call(&self.request()).is_some(), "the request makes no counter call");
        self.reply(total)
    }

    /// Delivers the counter's reply with `total`.
    fn reply(&mut self, total: f64) -> Vec<Action> {
        reply(&mut self.gateway, self.counter, total)
    }

    /// Returns the call that adds `amount` to the customer's counter key.
    fn expected_call(&self, amount: f64) -> Option<CounterCall> {
        Some(CounterCall { counter: self.counter, amount })
    }

    /// Delivers the success of the first request's attempt. `report` modifies the default report.
    fn complete(&mut self, report: impl FnOnce(AttemptReport) -> AttemptReport) {
        let default = attempt_report(self.id, self.server, AttemptStatus::Ok);
        self.gateway.handle(Event::AttemptCompleted(report(default)));
    }
}

#[test]
fn request_is_queued_for_the_counters_reply_and_then_forwarded() {
    let mut gateway = counter_gateway();
    let (_, actions) = gateway.request(CUSTOMER);
    let call = counter_call(&actions).expect("the request makes a counter call");
    assert_eq!(call, CounterCall { counter: CounterId(5), amount: 1.0 });
    assert_eq!(forwarded_to(&actions), None);
    assert!(forwarded_to(&reply(&mut gateway, call.counter, 3.0)).is_some());
}

#[test]
fn request_is_rejected_and_its_reservation_returned_when_peers_drained_the_bucket() {
    let mut counted = CountedRequest::forward(1.0);
    counted.gateway.run_for(SECOND);
    let actions = counted.request();
    assert_eq!(counter_call(&actions), counted.expected_call(1.0));
    let actions = counted.reply(1.0 + 1.0 + 5.0);
    assert!(is_rejected(&actions) && forwarded_to(&actions).is_none(), "{actions:?}");
    let later_actions = counted.gateway.run_for(300 * MILLISECOND);
    assert_eq!(counter_call(&later_actions), counted.expected_call(-1.0));
}

/// A total that has decreased shows that the counter lost its state, not that peers returned units.
#[test]
fn bucket_is_not_refilled_when_the_counter_lost_its_total() {
    let mut counted = CountedRequest::forward(100.0);
    // Peers use one unit, then the counter loses its state. The bucket keeps its level.
    for total in [101.0, 103.0, 1.0] {
        counted.gateway.run_for(250 * MILLISECOND);
        let actions = counted.request();
        assert_eq!(counter_call(&actions), counted.expected_call(1.0));
        let mut actions = counted.reply(total);
        actions.extend(counted.gateway.run_for(10 * MILLISECOND));
        assert!(forwarded_to(&actions).is_some(), "not forwarded at a total of {total}: {actions:?}");
    }
    let mut actions = counted.request();
    actions.extend(counted.gateway.run_for(100 * MILLISECOND));
    assert_eq!(forwarded_to(&actions), None, "the bucket was refilled when the counter lost its total");
}

/// Without a deficit for the units that peers used beyond the bucket, each gateway would spend the whole
/// refill.
#[test]
fn units_that_peers_took_beyond_the_bucket_leave_a_deficit() {
    let mut counted = CountedRequest::forward(1.0);
    counted.gateway.run_for(250 * MILLISECOND);
    assert!(is_rejected(&counted.counted_request(1.0 + 1.0 + 6.0)));
    let later_actions = counted.gateway.run_for(150 * MILLISECOND);
    assert_eq!(counter_call(&later_actions), counted.expected_call(-1.0));
    counted.reply(1.0 + 6.0);
    counted.gateway.run_for(700 * MILLISECOND);
    let actions = counted.request();
    assert_eq!(counter_call(&actions), None, "counter called before a deficit of two units is refilled");
    assert_eq!(forwarded_to(&actions), None, "forwarded before a deficit of two units is refilled");
}

/// Most units that peers used while the counter was unavailable exceeded the quota and leave no deficit.
#[test]
fn deficit_is_bounded_by_what_the_age_of_the_total_explains() {
    let mut counted = CountedRequest::forward(1.0);
    counted.gateway.run_for(250 * MILLISECOND);
    assert!(is_rejected(&counted.counted_request(1.0 + 1.0 + 100.0)));
    counted.gateway.run_for(150 * MILLISECOND);
    counted.reply(1.0 + 100.0);
    counted.gateway.run_for(SECOND);
    assert!(
        counter_call(&counted.request()).is_some(),
        "the deficit exceeds the refill of two units per second"
    );
}

/// A slightly outdated total suffices while the bucket is nearly full. When the bucket runs low, a current
/// total is needed because all gateways see the same remaining units.
#[test]
fn counter_is_called_again_only_when_the_bucket_runs_low() {
    let mut counted = CountedRequest::forward(1.0);
    let nearly_full = counted.request();
    assert!(
        counter_call(&nearly_full).is_none() && forwarded_to(&nearly_full).is_some(),
        "not forwarded without a call while three units of four are left: {nearly_full:?}"
    );
    counted.request();
    let running_low = counted.request();
    assert!(
        counter_call(&running_low).is_some() && forwarded_to(&running_low).is_none(),
        "forwarded without a call while one unit of four is left: {running_low:?}"
    );
}

/// Usage of peers below the rate, while this gateway is idle, does not reduce a full bucket.
#[test]
fn overflow_of_a_full_bucket_covers_the_usage_of_peers() {
    let mut counted = CountedRequest::forward(1.0);
    counted.gateway.run_for(5 * SECOND);
    let actions = counted.counted_request(1.0 + 1.0 + 6.0);
    assert!(
        forwarded_to(&actions).is_some(),
        "not forwarded although six units in five seconds are below the rate: {actions:?}"
    );
}

/// Every customer is new to a gateway that has just started, although it may have spent its quota. If the
/// first reported usage is at the quota, the bucket must hold no more than the counted total leaves of it.
#[test]
fn new_customer_does_not_start_with_a_full_bucket_when_its_reported_usage_is_at_the_quota() {
    for (total, used, is_forwarded) in [(50.0, 0.6, true), (50.0, 1.2, false), (2.0, 1.2, true)] {
        let mut counted = CountedRequest::forward(total);
        counted.complete(|report| AttemptReport {
            elapsed: 2 * MILLISECOND,
            reported_usage: Some(used),
            ..report
        });
        let mut actions = counted.request();
        if counter_call(&actions).is_some() {
            actions.extend(counted.reply(total + 1.0));
        }
        assert_eq!(
            forwarded_to(&actions).is_some(),
            is_forwarded,
            "total {total}, usage {used:?}: {actions:?}"
        );
    }
}

/// Peers receive settled units only through the counter.
#[test]
fn difference_to_the_settled_units_is_added_to_the_counter() {
    let mut counted = CountedRequest::forward(1.0);
    counted.complete(|report| AttemptReport {
        elapsed: 10 * MILLISECOND,
        settled_units: Some(2.5),
        ..report
    });
    let later_actions = counted.gateway.run_for(SECOND);
    assert_eq!(counter_call(&later_actions), counted.expected_call(1.5));
}

/// Two gateways that read the same total must not both correct it. Each adds only its own usage.
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
        // The counter applies both calls before it replies to either, and does the same with the calls that
        // the replies cause.
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
fn unresponsive_counter_delays_no_request_beyond_the_queueing_limit_and_is_called_less() {
    let mut gateway = counter_gateway();
    let mut calls = 0;
    for k in 0..100 {
        let (id, mut actions) = gateway.request(1_000 + k);
        let call = counter_call(&actions);
        actions.extend(gateway.run_for(90 * MILLISECOND));
        let server =
            forwarded_to(&actions).expect("a new customer's request is forwarded within the queueing limit");
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
    assert!((5..=40).contains(&calls), "{calls} counter calls");
}

/// A distant counter is called as often as a close one while it replies well within the timeout.
#[test]
fn counter_that_replies_in_time_is_called_for_every_new_customer() {
    let mut gateway = counter_gateway();
    for k in 0..100 {
        let (_, actions) = gateway.request(1_000 + k);
        let call = counter_call(&actions).expect("the request makes a counter call");
        gateway.run_for(12 * MILLISECOND);
        gateway.handle(counter_total(call.counter, call.amount, 12 * MILLISECOND));
        gateway.run_for(50 * MILLISECOND);
    }
}
