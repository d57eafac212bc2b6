//! Servers that fail are ejected, servers that reject requests are avoided for a time, and both get requests
//! again later.

mod common;

use common::actions::forwarded_to;
use common::events::{arrival, endpoint_delta};
use common::settings::{endpoint, endpoints, plan, settings};
use common::test_gateway::TestGateway;
use common::SECOND;
use grebehook_core::{
    AttemptStatus, Endpoint, EndpointCounts, EndpointState, Event, RequestArrival, ServerId,
};

/// Returns the outcome of attempts by server: `status` at server 1, success at any other.
fn only_server_1(status: AttemptStatus) -> impl Fn(ServerId) -> AttemptStatus {
    move |server| if server == ServerId(1) { status } else { AttemptStatus::Ok }
}

#[test]
fn server_that_returns_errors_is_ejected_and_tried_again_later() {
    let mut gateway = TestGateway::new(settings(), &endpoints(1..=3));
    let attempts_at_server_1 = |k: u64| {
        let servers = gateway.run_request(100 + k, only_server_1(AttemptStatus::Error));
        servers.iter().filter(|server| **server == ServerId(1)).count()
    };
    let failed: usize = (0..60).map(attempts_at_server_1).sum();
    assert!((1..=6).contains(&failed), "{failed} attempts at the failing server");
    gateway.run_until(gateway.now + 20 * SECOND);
    let used_servers: Vec<_> = (0..6).filter_map(|k| forwarded_to(&gateway.request(300 + k).1)).collect();
    assert!(used_servers.contains(&ServerId(1)), "server 1 is not tried again: {used_servers:?}");
}

/// The count that operators see must agree with the ejections that server selection enforces.
#[test]
fn ejected_server_is_counted_for_as_long_as_it_is_avoided() {
    let mut gateway = TestGateway::new(settings(), &endpoints(1..=3));
    gateway.handle(endpoint_delta(vec![Endpoint { state: EndpointState::Draining, ..endpoint(3, 0) }]));
    for k in 0..10 {
        gateway.run_request(100 + k, only_server_1(AttemptStatus::ConnectFailed));
    }
    assert_eq!(gateway.core.endpoint_counts(gateway.now), EndpointCounts { listed: 3, ejected: 1 });
    gateway.run_until(gateway.now + 20 * SECOND);
    assert_eq!(gateway.core.endpoint_counts(gateway.now), EndpointCounts { listed: 3, ejected: 0 });
}

#[test]
fn no_ejection_is_enforced_or_counted_when_most_servers_fail() {
    let mut gateway = TestGateway::new(settings(), &[endpoint(1, 0), endpoint(2, 0)]);
    for k in 0..40 {
        gateway.run_request(100 + k, |_| AttemptStatus::ConnectionReset);
    }
    let counts = gateway.core.endpoint_counts(gateway.now);
    assert_eq!(
        counts,
        EndpointCounts { listed: 2, ejected: 0 },
        "ejections are counted although none is enforced"
    );
    assert!(!gateway.run_request(500, |_| AttemptStatus::Ok).is_empty());
}

#[test]
fn server_that_rejects_one_plan_still_gets_requests_of_other_plans() {
    let mut settings = settings();
    settings.plans.push(plan());
    let mut gateway = TestGateway::new(settings, &[endpoint(1, 0), endpoint(2, 0)]);
    let servers = gateway.run_request(1_000, only_server_1(AttemptStatus::Rejected));
    assert_eq!(servers, [ServerId(1), ServerId(2)], "not rejected by server 1 and then served by server 2");
    // Although server 2 has attempts in flight, requests of the same plan still avoid server 1. A request of
    // another plan is sent there.
    let same_plan: Vec<_> = (0..3).map(|k| forwarded_to(&gateway.request(500 + k).1)).collect();
    assert_eq!(same_plan, [Some(ServerId(2)); 3]);
    let other_plan = RequestArrival { plan: 1, ..arrival(5_000, 900) };
    let actions = gateway.handle(Event::RequestArrived(other_plan));
    assert_eq!(forwarded_to(&actions), Some(ServerId(1)));
    gateway.run_until(gateway.now + 10 * SECOND);
    let retried = forwarded_to(&gateway.request(600).1);
    assert_eq!(retried, Some(ServerId(1)), "server 1 is not tried again after its backoff");
}
