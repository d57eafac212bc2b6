//! Retries and final answers that the idempotency of a class permits.

mod common;

use common::actions::{forwarded_to, is_failed, is_rejected};
use common::events::{arrival, endpoint_delta, endpoint_snapshot};
use common::settings::{class, endpoint, settings};
use common::test_gateway::TestGateway;
use common::{MILLISECOND, SECOND};
use grebehook_core::{
    Action, AnswerReason, AttemptStatus, DeduplicationScope, Endpoint, EndpointState, Event, Idempotency,
    NonZeroMicros, RequestArrival, RequestId, ServerId,
};

/// Idempotency key that the servers of one zone remember together for half a second.
const ZONE_KEY: Idempotency =
    Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, window: 500 * MILLISECOND };
/// Idempotency key that the servers of one cell remember together for half a second.
const CELL_KEY: Idempotency =
    Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, window: 500 * MILLISECOND };
/// Idempotency key that all servers remember together for half a second.
const GLOBAL_KEY: Idempotency =
    Idempotency::IdempotencyKey { scope: DeduplicationScope::All, window: 500 * MILLISECOND };

/// A request whose first attempt is in flight, with its gateway. Servers of even and of odd number are in
/// different zones.
struct FirstAttempt {
    gateway: TestGateway,
    id: RequestId,
    /// Server of the first attempt.
    server: ServerId,
}

impl FirstAttempt {
    /// Sends the first attempt of a request whose class has the given idempotency.
    fn send(idempotency: Idempotency) -> FirstAttempt {
        let mut settings = settings();
        settings.classes = vec![class(idempotency)];
        let endpoints = [endpoint(1, 0), endpoint(2, 1), endpoint(3, 0), endpoint(4, 1)];
        let mut gateway = TestGateway::new(settings, &endpoints);
        let (id, actions) = gateway.request(5);
        let server = forwarded_to(&actions).expect("the request is forwarded at once");
        FirstAttempt { gateway, id, server }
    }

    /// Ends the first attempt with the given status and returns the gateway's actions.
    fn complete(&mut self, status: AttemptStatus) -> Vec<Action> {
        self.gateway.complete_attempt(self.id, 0, self.server, status)
    }
}

#[test]
fn non_idempotent_request_that_may_have_run_fails_without_a_retry() {
    for status in [
        AttemptStatus::Error,
        AttemptStatus::Timeout,
        AttemptStatus::ConnectionReset,
        AttemptStatus::Cancelled,
    ] {
        let actions = FirstAttempt::send(Idempotency::NonIdempotent).complete(status);
        assert!(
            is_failed(&actions) && forwarded_to(&actions).is_none() && !is_rejected(&actions),
            "{status:?}: {actions:?}"
        );
    }
}

#[test]
fn non_idempotent_request_is_retried_elsewhere_when_it_never_ran() {
    for status in [AttemptStatus::Rejected, AttemptStatus::ConnectFailed] {
        let mut first = FirstAttempt::send(Idempotency::NonIdempotent);
        let retried_at = forwarded_to(&first.complete(status));
        assert!(retried_at.is_some_and(|server| server != first.server), "{status:?}");
    }
}

#[test]
fn non_idempotent_request_in_flight_at_its_deadline_fails() {
    let FirstAttempt { mut gateway, id, .. } = FirstAttempt::send(Idempotency::NonIdempotent);
    let timed_actions = gateway.run_until(4 * SECOND);
    assert!(timed_actions
        .iter()
        .any(|timed| timed.action == Action::Fail { id, reason: AnswerReason::Deadline }));
    assert!(!timed_actions.iter().any(|timed| matches!(timed.action, Action::Reject { .. })));
}

#[test]
fn idempotent_request_is_retried_at_another_server_after_an_error() {
    let mut first = FirstAttempt::send(Idempotency::Idempotent);
    let retried_at = forwarded_to(&first.complete(AttemptStatus::Error));
    assert!(retried_at.is_some_and(|server| server != first.server));
}

#[test]
fn request_with_a_zone_scoped_key_is_retried_within_its_zone() {
    let mut first = FirstAttempt::send(ZONE_KEY);
    let retried_at = forwarded_to(&first.complete(AttemptStatus::Error)).expect("the request is retried");
    assert_ne!(retried_at, first.server);
    assert_eq!(retried_at.0 % 2, first.server.0 % 2, "the retry is in another zone than the first attempt");
}

#[test]
fn request_with_a_zone_scoped_key_fails_once_its_deduplication_window_is_over() {
    let mut first = FirstAttempt::send(ZONE_KEY);
    first.gateway.now += 501 * MILLISECOND;
    let actions = first.complete(AttemptStatus::Error);
    assert!(is_failed(&actions) && forwarded_to(&actions).is_none());
}

#[test]
fn request_with_a_globally_scoped_key_is_rejected_once_its_deduplication_window_is_over() {
    let mut first = FirstAttempt::send(GLOBAL_KEY);
    first.gateway.now += 501 * MILLISECOND;
    assert!(is_rejected(&first.complete(AttemptStatus::Error)));
}

#[test]
fn request_is_rejected_after_its_last_permitted_attempt() {
    let FirstAttempt { mut gateway, id, mut server } = FirstAttempt::send(Idempotency::Idempotent);
    for attempt in 0..3 {
        let actions = gateway.complete_attempt(id, attempt, server, AttemptStatus::Error);
        server = forwarded_to(&actions).expect("a further attempt is permitted");
    }
    let actions = gateway.complete_attempt(id, 3, server, AttemptStatus::Error);
    assert!(is_rejected(&actions) && forwarded_to(&actions).is_none());
}

/// Breaks the connection of each attempt until no further one is sent. Each time, discovery reports that the
/// server of the first attempt is absent, and then that nothing has changed. Returns the servers of the retries.
fn retries_without_first_server(first: &mut FirstAttempt, absence: &Event) -> Vec<ServerId> {
    let mut server = first.server;
    let mut retries = Vec::new();
    loop {
        first.gateway.handle(absence.clone());
        let attempt = retries.len() as u32;
        let reset = AttemptStatus::ConnectionReset;
        let actions = first.gateway.complete_attempt(first.id, attempt, server, reset);
        first.gateway.handle(endpoint_delta(Vec::new()));
        let Some(next) = forwarded_to(&actions) else { return retries };
        retries.push(next);
        server = next;
    }
}

/// Guards against a retry outside the zone or cell in which an attempt may have run, once the list no longer
/// contains the server of that attempt.
#[test]
fn retries_stay_at_the_site_of_a_first_server_that_left_the_list() {
    for idempotency in [ZONE_KEY, CELL_KEY] {
        let first = FirstAttempt::send(idempotency).server;
        let others = (1..=4).filter(|server| *server != first.0);
        let others: Vec<_> = others.map(|server| endpoint(server, 1 - server as u32 % 2)).collect();
        let removed = Endpoint { state: EndpointState::Removed, ..endpoint(first.0, 1 - first.0 as u32 % 2) };
        let moved = Endpoint { started_at: NonZeroMicros::new(7), ..endpoint(first.0, first.0 as u32 % 2) };
        for absence in [
            endpoint_snapshot(others),
            endpoint_delta(vec![removed.clone()]),
            endpoint_delta(vec![Endpoint { state: EndpointState::Draining, ..removed }]),
            endpoint_delta(vec![moved]),
        ] {
            let mut request = FirstAttempt::send(idempotency);
            assert_eq!(request.server, first, "the choice of the first server is deterministic");
            let retries = retries_without_first_server(&mut request, &absence);
            assert!(!retries.is_empty(), "{idempotency:?}, {absence:?}: no retry");
            let is_at_site = |server: &ServerId| *server != first && server.0 % 2 == first.0 % 2;
            assert!(
                retries.iter().all(is_at_site),
                "{idempotency:?}, {absence:?}: {first:?} then {retries:?}"
            );
        }
    }
}

/// Guards against a rejection of a request whose client is still sending its body, and whose client timeout has not
/// begun.
#[test]
fn request_with_an_incomplete_body_is_retried_after_more_than_its_client_timeout() {
    let mut gateway = TestGateway::new(settings(), &[endpoint(1, 0), endpoint(2, 0)]);
    let arrival = RequestArrival { body_incomplete: true, ..arrival(1, 5) };
    let (id, client_timeout) = (arrival.id, arrival.client_timeout);
    let actions = gateway.handle(Event::RequestArrived(arrival));
    let first = forwarded_to(&actions).expect("the request is forwarded at once");
    gateway.now += 2 * client_timeout;
    let actions = gateway.complete_attempt(id, 0, first, AttemptStatus::Rejected);
    assert!(forwarded_to(&actions).is_some_and(|server| server != first), "{actions:?}");
}
