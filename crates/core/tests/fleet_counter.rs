//! Quota over all gateways of a fleet, enforced by the totals of a shared counter.

mod common;

use common::actions::{counter_call, counter_calls, forwarded_to, CounterCall};
use common::counter_fleet::CounterFleet;
use common::events::{attempt_report, counter_total};
use common::fleet_gateway::FleetGateway;
use common::settings::{in_fleet, plan, settings, with_shared_counter};
use common::{MILLISECOND, SECOND};
use grebehook_core::{
    AttemptReport, AttemptStatus, CounterResult, Event, Micros, Plan, RequestArrival, RequestId,
};

/// Customer whose requests are counted.
const CUSTOMER: u64 = 5;
/// Size of the fleet in tests of one of its gateways.
const GATEWAY_COUNT: usize = 160;

/// Time at which a window of the customer's counter begins.
const WINDOW_START: Micros = 1_000 * SECOND;

/// The customer is new to each gateway of a large fleet although peers have spent its bucket. Only the
/// counter's total shows this, and a gateway must account for the time at which the counter's window began.
#[test]
fn customer_new_to_each_of_many_gateways_has_one_bucket_among_them() {
    let mut fleet = CounterFleet::new(60);
    // A window of four seconds begins. The bucket holds four units and is refilled with two per second.
    let forwarded = (0..60)
        .filter(|index| fleet.request(*index, WINDOW_START + *index as u64 * 50 * MILLISECOND))
        .count();
    assert!(
        (8..=11).contains(&forwarded),
        "{forwarded} forwarded; a burst of four and two per second for three seconds are allowed"
    );
}

/// Unused quota overflows the bucket. If the total did not account for the overflow, the next burst would use
/// it.
#[test]
fn burst_after_idle_time_is_limited_to_one_bucket_over_all_gateways() {
    let mut fleet = CounterFleet::with_call_balance(60);
    for (k, idle) in [3_500, 9_000, 30_000].into_iter().enumerate() {
        let from = WINDOW_START + idle * MILLISECOND + k as u64 * 20 * SECOND;
        // One request is followed by thirty within 0.3 s. The bucket holds four units, and about one is
        // refilled meanwhile.
        assert!(fleet.request(59, from - SECOND));
        let forwarded =
            (0..30).filter(|index| fleet.request(*index, from + *index as u64 * 10 * MILLISECOND)).count();
        assert!((3..=6).contains(&forwarded), "{forwarded} forwarded after {idle} ms");
    }
}

/// A counter key lives for at most one minute. The next key starts with the deficit rather than a full
/// bucket.
#[test]
fn bucket_stays_empty_when_its_counter_gets_another_key() {
    let mut fleet = CounterFleet::with_call_balance(60);
    let forwarded =
        (0..700).filter(|k| fleet.request(*k % 60, WINDOW_START + *k as u64 * 100 * MILLISECOND)).count();
    assert!(fleet.totals.len() >= 2, "the counter key has not changed: {:?}", fleet.totals);
    // The bucket holds four units and is refilled with two per second for 70 s.
    assert!((100..=150).contains(&forwarded), "{forwarded} requests forwarded");
}

/// Two gateways that find a total too low at the same time add the same correction. The second reverts its
/// own.
#[test]
fn total_that_two_gateways_correct_at_once_is_corrected_once() {
    let mut fleet = CounterFleet::new(60);
    fleet.request(0, WINDOW_START);
    let now = WINDOW_START + 20 * SECOND;
    let mut pending: Vec<(usize, CounterCall)> = Vec::new();
    for index in [1, 2] {
        let actions = fleet.gateways[index].request(now, 900 + index as u64, CUSTOMER);
        pending.extend(counter_calls(&actions).into_iter().map(|call| (index, call)));
    }
    // The counter applies all pending calls before it replies to the first.
    let mut rounds = 0;
    while !pending.is_empty() {
        let calls = std::mem::take(&mut pending);
        let totals: Vec<_> = calls.iter().map(|(_, call)| fleet.apply_call(*call)).collect();
        for ((index, call), total) in calls.into_iter().zip(totals) {
            let reply = counter_total(call.counter, total, 2 * MILLISECOND);
            let actions = fleet.gateways[index].handle(now + 2 * MILLISECOND, reply);
            pending.extend(counter_calls(&actions).into_iter().map(|call| (index, call)));
        }
        rounds += 1;
        assert!(rounds < 10, "the gateways do not stop correcting the total");
    }
    let forwarded = (3..30).filter(|index| fleet.request(*index, now + 20 * MILLISECOND)).count();
    assert!((1..=2).contains(&forwarded), "{forwarded} requests forwarded; two of four units were left");
}

/// Once the call budget has grown, customers of every plan are counted.
#[test]
fn scarce_counter_calls_go_to_the_plan_with_the_highest_overage_cost() {
    let mut settings = with_shared_counter(settings());
    settings.plans.push(Plan { overage_cost: 0.2, ..plan() });
    settings.plans.push(Plan { overage_cost: 0.0, ..plan() });
    let mut gateway = FleetGateway::start(in_fleet(&settings, 0, GATEWAY_COUNT), 3);
    let mut calls_counter = |id: u64, plan: usize, customer: u64| {
        let request = RequestArrival { plan, ..gateway.arrival(id, customer) };
        let actions = gateway.handle(WINDOW_START, Event::RequestArrived(request));
        counter_call(&actions).is_some()
    };
    // The call budget starts with two calls.
    let calls_on_initial_budget =
        [calls_counter(1, 2, 1_001), calls_counter(2, 1, 1_002), calls_counter(3, 0, 1_003)];
    assert_eq!(calls_on_initial_budget, [false, false, true]);
    // Requests that are queued behind a call in flight make no call, and each adds to the call budget.
    for id in 10..40 {
        assert!(!calls_counter(id, 0, 1_003));
    }
    let calls_on_larger_budget =
        [calls_counter(50, 2, 1_004), calls_counter(51, 1, 1_005), calls_counter(52, 0, 1_006)];
    assert_eq!(calls_on_larger_budget, [true, true, true]);
}

/// Returns how many counter calls a gateway of a fleet makes for ten new customers just after its start.
fn calls_for_ten_new_customers(gateway_count: usize) -> usize {
    let mut fleet = CounterFleet::new(gateway_count);
    let calls = |k| counter_calls(&fleet.gateways[0].request(2 * SECOND, k, 100 + k)).len();
    (0..10).map(calls).sum()
}

/// Hundreds of gateways that start at once must not each spend a full budget of counter calls.
#[test]
fn gateways_of_a_large_fleet_start_with_a_small_budget_of_counter_calls() {
    assert_eq!(
        calls_for_ten_new_customers(3),
        10,
        "a gateway of a small fleet does not call for each new customer"
    );
    let calls = calls_for_ten_new_customers(100);
    assert!((2..=5).contains(&calls), "{calls} counter calls for ten new customers");
}

/// Returns a gateway of a large fleet in which responses settle the units of requests.
fn settling_gateway() -> FleetGateway {
    let mut settings = with_shared_counter(settings());
    settings.capabilities.settles_units = true;
    FleetGateway::start(in_fleet(&settings, 0, GATEWAY_COUNT), 3)
}

/// In a large fleet the counter serves about one call per request. Settled units therefore wait for the next
/// request that makes a call. An unused reservation is returned at once because it makes peers reject
/// requests.
#[test]
fn settled_units_wait_for_the_next_call_and_an_unused_reservation_is_returned_at_once() {
    let mut gateway = settling_gateway();
    let now = 2 * SECOND;
    let reply_time = 5 * MILLISECOND;
    let call = counter_calls(&gateway.request(now, 1, CUSTOMER))[0];
    assert_eq!(call.amount, 1.0);
    // Since the window of the key began, the bucket was refilled with four units, which overflowed.
    let actions = gateway.handle(now, counter_total(call.counter, 5.0, reply_time));
    let server = forwarded_to(&actions).expect("the first request is within the quota");
    // The response settles the request at three units instead of one.
    let report = AttemptReport {
        elapsed: 50 * MILLISECOND,
        settled_units: Some(3.0),
        ..attempt_report(RequestId(1), server, AttemptStatus::Ok)
    };
    gateway.handle(now, Event::AttemptCompleted(report));
    for k in 1..5 {
        let actions = gateway.tick(now + k * 100 * MILLISECOND);
        assert!(counter_calls(&actions).is_empty(), "counter called although no request waits for the total");
    }
    let now = now + SECOND;
    let call = counter_calls(&gateway.request(now, 2, CUSTOMER))[0];
    assert_eq!(call.amount, 3.0, "the call does not add the settled difference");
    // The client disconnects. The two settled units stay counted, and the reserved one is returned.
    gateway.handle(now, Event::ClientDisconnected { id: RequestId(2) });
    let actions = gateway.handle(now, counter_total(call.counter, 8.0, reply_time));
    assert_eq!(counter_calls(&actions), [CounterCall { counter: call.counter, amount: -1.0 }]);
    assert!(counter_calls(&gateway.tick(now)).is_empty(), "the reservation is returned twice");
}

/// A request that is forwarded although the counter refused its call is counted later.
#[test]
fn uncounted_usage_is_added_to_the_counter_once_the_call_budget_has_a_surplus() {
    let settings = in_fleet(&with_shared_counter(settings()), 0, GATEWAY_COUNT);
    let mut gateway = FleetGateway::start(settings, 3);
    let now = 2 * SECOND;
    // Requests queued behind the first one wait for its call, and each adds to the call budget.
    for id in 10..18 {
        gateway.request(now, id, 8);
    }
    let call = counter_call(&gateway.request(now, 1, 6)).expect("the request makes a counter call");
    let refused = Event::CounterReplied {
        counter: call.counter,
        result: CounterResult::Refused,
        elapsed: 5 * MILLISECOND,
    };
    assert!(forwarded_to(&gateway.handle(now, refused)).is_some(), "not forwarded though within the quota");
    let actions = gateway.tick(now + 100 * MILLISECOND);
    assert!(counter_calls(&actions).is_empty(), "counter called although no request waits for the total");
    for id in 20..50 {
        gateway.request(now + 100 * MILLISECOND, id, 8);
    }
    let calls = counter_calls(&gateway.tick(now + 200 * MILLISECOND));
    let amounts: Vec<_> = calls.iter().map(|call| call.amount).collect();
    assert_eq!(amounts, [1.0]);
}
