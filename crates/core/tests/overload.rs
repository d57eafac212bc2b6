//! Load shedding: the requests that are admitted while the servers are overloaded.

mod common;

use common::actions::forwarded_to;
use common::events::attempt_report;
use common::settings::{class, endpoint, endpoints, settings};
use common::test_gateway::TestGateway;
use common::{MILLISECOND, SECOND};
use grebehook_core::{AttemptReport, AttemptStatus, Class, Event, Idempotency, Micros, Settings};

/// Class with the lower priority weight.
const LOW_PRIORITY: usize = 0;
/// Class with the higher priority weight.
const HIGH_PRIORITY: usize = 1;

/// Returns how many requests of new customers are forwarded before the first that is not. None gets a
/// response.
fn admitted_before_shedding(gateway: &mut TestGateway, class: usize) -> usize {
    let admitted = |k: &u64| forwarded_to(&gateway.request_in_class(class, 1000 + k, 2 * SECOND).1).is_some();
    (0..200).take_while(admitted).count()
}

/// Returns the only gateway of a fleet, with four servers and a class each of low and of high priority.
fn single_gateway() -> TestGateway {
    let mut settings = Settings { gateway_count: 1, ..settings() };
    settings.classes = vec![
        class(Idempotency::Idempotent),
        Class { priority_weight: 4.0, ..class(Idempotency::Idempotent) },
    ];
    TestGateway::new(settings, &endpoints(1..=4))
}

#[test]
fn attempts_in_flight_are_limited_when_no_server_responds() {
    let admitted = admitted_before_shedding(&mut single_gateway(), HIGH_PRIORITY);
    assert!((8..=30).contains(&admitted), "{admitted} attempts in flight");
}

#[test]
fn low_priority_class_is_shed_before_high_priority_class() {
    let low = admitted_before_shedding(&mut single_gateway(), LOW_PRIORITY);
    let high = admitted_before_shedding(&mut single_gateway(), HIGH_PRIORITY);
    assert!(low < high && low > 0, "{low} of low and {high} of high priority admitted");
}

/// Returns how many requests are admitted before shedding, after sixty that took `elapsed` each.
fn admitted_after_responses(elapsed: Micros) -> usize {
    let mut gateway = single_gateway();
    for customer in 0..60 {
        let (id, actions) = gateway.request_in_class(HIGH_PRIORITY, customer, 2 * SECOND);
        let server = forwarded_to(&actions).expect("there is capacity for one request");
        let report = AttemptReport { elapsed, ..attempt_report(id, server, AttemptStatus::Ok) };
        gateway.handle(Event::AttemptCompleted(report));
    }
    gateway.run_until(20 * SECOND);
    admitted_before_shedding(&mut gateway, HIGH_PRIORITY)
}

#[test]
fn fewer_requests_are_admitted_before_shedding_after_slow_responses() {
    let fast = admitted_after_responses(20 * MILLISECOND);
    let slow = admitted_after_responses(500 * MILLISECOND);
    assert!(slow < fast && slow > 0, "{slow} admitted after slow and {fast} after fast responses");
}

/// The response time that is assumed before the first response must not shed a request, however short its
/// latency objective.
#[test]
fn first_request_is_admitted_when_its_latency_objective_is_very_short() {
    let short = Class {
        latency_objective: 20 * MILLISECOND,
        deadline: 80 * MILLISECOND,
        ..class(Idempotency::Idempotent)
    };
    let settings = Settings { classes: vec![short], ..settings() };
    let mut gateway = TestGateway::new(settings, &[endpoint(1, 0), endpoint(2, 0)]);
    assert!(forwarded_to(&gateway.request_in_class(0, 1, 80 * MILLISECOND).1).is_some());
}
