//! Each request gets exactly one final answer, in time, and no action follows it.

mod common;

use common::actions::{forwarded_to, is_rejected};
use common::events::arrival;
use common::settings::{class, endpoint, settings};
use common::test_gateway::{TestGateway, TimedAction};
use common::{MILLISECOND, SECOND};
use grebehook_core::{
    Action, AnswerReason, AttemptStatus, Event, Idempotency, LoadReport, RequestArrival, RequestId, ServerId,
    TimerId,
};

/// Returns the rejections among the actions.
fn rejections(actions: &[TimedAction]) -> Vec<&TimedAction> {
    actions.iter().filter(|timed| matches!(timed.action, Action::Reject { .. })).collect()
}

#[test]
fn unanswered_request_is_cancelled_and_rejected_just_before_its_client_timeout() {
    let mut gateway = TestGateway::new(settings(), &[endpoint(1, 0)]);
    let (id, actions) = gateway.request_in_class(0, 5, 300 * MILLISECOND);
    assert_eq!(forwarded_to(&actions), Some(ServerId(1)));
    let actions = gateway.run_until(2 * SECOND);
    let answers: Vec<_> = actions
        .iter()
        .filter(|timed| matches!(timed.action, Action::Reject { id: rejected, .. } if rejected == id))
        .collect();
    assert_eq!(answers.len(), 1);
    let at = answers[0].at;
    assert!((SECOND + 280 * MILLISECOND..=SECOND + 300 * MILLISECOND).contains(&at));
    assert!(actions.contains(&TimedAction { at, action: Action::Cancel { id, attempt: 0 } }));
    let late = gateway.complete_attempt(id, 0, ServerId(1), AttemptStatus::Cancelled);
    assert!(late.is_empty(), "actions follow the final answer: {late:?}");
}

#[test]
fn request_is_rejected_at_once_when_no_endpoint_is_listed() {
    let mut gateway = TestGateway::new(settings(), &[]);
    let (_, actions) = gateway.request_in_class(0, 5, SECOND);
    assert!(is_rejected(&actions));
}

#[test]
fn no_action_follows_once_the_client_has_disconnected() {
    let mut gateway = TestGateway::new(settings(), &[endpoint(1, 0)]);
    let (id, _) = gateway.request_in_class(0, 5, 300 * MILLISECOND);
    gateway.handle(Event::ClientDisconnected { id });
    let actions = gateway.run_until(3 * SECOND);
    assert!(actions.is_empty(), "{actions:?}");
    assert!(gateway.complete_attempt(id, 0, ServerId(1), AttemptStatus::Error).is_empty());
}

#[test]
fn streaming_response_is_not_timed_out_once_it_has_started() {
    let mut settings = settings();
    settings.classes[0].streaming = true;
    let mut gateway = TestGateway::new(settings, &[endpoint(1, 0)]);
    let (id, _) = gateway.request_in_class(0, 5, 300 * MILLISECOND);
    gateway.handle(Event::ResponseStarted { id });
    assert!(gateway.run_until(3 * SECOND).is_empty());
}

#[test]
fn unknown_ids_and_malformed_gossip_are_ignored_and_requests_still_forwarded() {
    let mut gateway = TestGateway::new(settings(), &[endpoint(1, 0)]);
    let unknown = RequestId(99);
    assert!(gateway.complete_attempt(unknown, 7, ServerId(1), AttemptStatus::Ok).is_empty());
    assert!(gateway.handle(Event::ClientDisconnected { id: unknown }).is_empty());
    assert!(gateway.handle(Event::Timer { timer: TimerId(12345) }).is_empty());
    let load_report = LoadReport {
        in_flight: Some(f64::NAN),
        queued: Some(-1e300),
        utilization: None,
        latency_ms: Some(f64::INFINITY),
    };
    for server in [1, 77] {
        gateway.handle(Event::HealthCheckCompleted {
            server: ServerId(server),
            status: AttemptStatus::Ok,
            load_report: Some(load_report),
        });
    }
    gateway.handle(Event::GossipReceived { from: 9, message: vec![1; 300] });
    gateway.handle(Event::GossipReceived { from: 1, message: vec![0; 3] });
    let request = |class, plan, units| {
        Event::RequestArrived(RequestArrival {
            class,
            plan,
            client_timeout: SECOND,
            units,
            customer_gateway_count: 0,
            first_gateway: 9,
            ..arrival(1000 + class as u64 * 10 + plan as u64, 1)
        })
    };
    assert!(is_rejected(&gateway.handle(request(3, 0, 1.0))));
    assert!(is_rejected(&gateway.handle(request(0, 3, 1.0))));
    assert!(is_rejected(&gateway.handle(request(2, 2, f64::NAN))));
    let forwarded = forwarded_to(&gateway.handle(request(0, 0, 1.0)));
    assert!(forwarded.is_some(), "a valid request is not forwarded");
}

/// The consumed part of a body is not buffered and cannot be sent again, even where the class permits a
/// retry.
#[test]
fn request_is_not_retried_once_part_of_its_body_was_consumed() {
    let mut gateway = TestGateway::new(settings(), &[endpoint(1, 0), endpoint(2, 0)]);
    let (id, actions) = gateway.request(100);
    let server = forwarded_to(&actions).expect("the first attempt is sent");
    gateway.handle(Event::BodyConsumed { id });
    let actions = gateway.complete_attempt(id, 0, server, AttemptStatus::ConnectFailed);
    assert!(matches!(actions[..], [Action::Reject { .. }]), "{actions:?}");
}

/// No server runs a request before its body is complete, so neither the client timeout nor the service time
/// counts until then.
#[test]
fn client_timeout_starts_only_when_the_body_is_complete() {
    let mut gateway = TestGateway::new(settings(), &[endpoint(1, 0)]);
    let request =
        RequestArrival { client_timeout: 300 * MILLISECOND, body_incomplete: true, ..arrival(900, 5) };
    let id = request.id;
    let actions = gateway.handle(Event::RequestArrived(request));
    assert_eq!(forwarded_to(&actions), Some(ServerId(1)));
    let actions = gateway.run_until(gateway.now + 3 * SECOND);
    assert!(rejections(&actions).is_empty());
    gateway.handle(Event::BodyComplete { id, age: 0 });
    let completed_at = gateway.now;
    let actions = gateway.run_until(completed_at + SECOND);
    let answers = rejections(&actions);
    assert_eq!(answers.len(), 1);
    assert!((280 * MILLISECOND..=300 * MILLISECOND).contains(&(answers[0].at - completed_at)));
}

/// The time that the last part of a long body waited before it was forwarded must count towards the client
/// timeout.
#[test]
fn age_of_a_long_body_shortens_its_remaining_client_timeout() {
    let mut gateway = TestGateway::new(settings(), &[endpoint(1, 0)]);
    let request = RequestArrival { body_incomplete: true, ..arrival(900, 5) };
    let id = request.id;
    gateway.handle(Event::RequestArrived(request));
    gateway.run_until(gateway.now + SECOND);
    let completed_at = gateway.now;
    gateway.handle(Event::BodyComplete { id, age: 1_200 * MILLISECOND });
    let actions = gateway.run_until(completed_at + 2 * SECOND);
    let answers = rejections(&actions);
    assert_eq!(answers.len(), 1);
    assert!((780 * MILLISECOND..=800 * MILLISECOND).contains(&(answers[0].at - completed_at)));
}

/// Requests that arrive after the shutdown event are also answered by the deadline.
#[test]
fn every_open_request_is_answered_by_the_shutdown_deadline() {
    let mut settings = settings();
    settings.classes.push(class(Idempotency::NonIdempotent));
    let mut gateway = TestGateway::new(settings, &[endpoint(1, 0)]);
    let (idempotent, first_actions) = gateway.request(1);
    let (non_idempotent, second_actions) = gateway.request_in_class(1, 2, 2 * SECOND);
    assert!(forwarded_to(&first_actions).is_some() && forwarded_to(&second_actions).is_some());
    let deadline = gateway.now + 500 * MILLISECOND;
    gateway.handle(Event::Shutdown { deadline });
    gateway.now += 100 * MILLISECOND;
    let (late, late_actions) = gateway.request(3);
    assert!(forwarded_to(&late_actions).is_some());
    assert!(gateway
        .run_until(deadline - 1)
        .iter()
        .all(|timed| !matches!(timed.action, Action::Reject { .. } | Action::Fail { .. })));
    let answers: Vec<_> = gateway.run_until(deadline).into_iter().map(|timed| timed.action).collect();
    for id in [idempotent, late] {
        let is_answer =
            |action: &Action| matches!(action, Action::Reject { id: rejected, .. } if *rejected == id);
        assert!(answers.iter().any(is_answer));
    }
    assert!(
        answers.contains(&Action::Fail { id: non_idempotent, reason: AnswerReason::Deadline }),
        "a request that may have run is not answered with a failure"
    );
    gateway.now += MILLISECOND;
    assert!(is_rejected(&gateway.request(4).1), "request admitted after the shutdown deadline");
}

/// The time that a request waited before it was read counts towards the client timeout, which leaves the rest
/// for the answer.
#[test]
fn age_of_a_request_shortens_its_remaining_client_timeout() {
    let mut gateway = TestGateway::new(settings(), &[endpoint(1, 0)]);
    let arrived_at = gateway.now;
    let actions =
        gateway.handle(Event::RequestArrived(RequestArrival { age: 1_200 * MILLISECOND, ..arrival(900, 5) }));
    assert_eq!(forwarded_to(&actions), Some(ServerId(1)));
    let actions = gateway.run_until(arrived_at + 2 * SECOND);
    let answers = rejections(&actions);
    assert_eq!(answers.len(), 1);
    assert!((780 * MILLISECOND..=800 * MILLISECOND).contains(&(answers[0].at - arrived_at)));
}

#[test]
fn request_older_than_its_client_timeout_is_rejected_unsent() {
    let mut gateway = TestGateway::new(settings(), &[endpoint(1, 0)]);
    for (id, age) in [(900, 2 * SECOND), (901, 3 * SECOND)] {
        let actions = gateway.handle(Event::RequestArrived(RequestArrival { age, ..arrival(id, 5) }));
        assert!(is_rejected(&actions) && forwarded_to(&actions).is_none(), "{actions:?}");
    }
}
