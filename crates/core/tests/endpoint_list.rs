//! Selection of servers after changes of the endpoint list.

mod common;

use common::actions::forwarded_to;
use common::events::{endpoint_delta, endpoint_snapshot};
use common::settings::{endpoint, settings};
use common::test_gateway::TestGateway;
use common::SECOND;
use grebehook_core::{Action, AttemptStatus, Endpoint, EndpointState, Event, ServerId, WatchEvent};

/// Asserts that requests of eight new customers are each sent to server 2 only.
fn assert_all_sent_to_server_2(gateway: &mut TestGateway) {
    for customer in 0..8 {
        assert_eq!(gateway.run_request(customer, |_| AttemptStatus::Ok), [ServerId(2)]);
    }
}

#[test]
fn draining_or_removed_server_gets_no_new_request() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut gateway = TestGateway::new(settings(), &[endpoint(1, 0), endpoint(2, 0)]);
        gateway.handle(endpoint_delta(vec![Endpoint { state, ..endpoint(1, 0) }]));
        assert_all_sent_to_server_2(&mut gateway);
    }
}

#[test]
fn server_missing_from_a_snapshot_gets_no_new_request() {
    let mut gateway = TestGateway::new(settings(), &[endpoint(1, 0), endpoint(2, 0)]);
    gateway.handle(endpoint_snapshot(vec![endpoint(2, 0)]));
    assert_all_sent_to_server_2(&mut gateway);
}

#[test]
fn failed_watch_keeps_the_known_list_and_polls_again() {
    let mut gateway = TestGateway::new(settings(), &[endpoint(1, 0)]);
    let failed = Event::EndpointsChanged { watch_event: WatchEvent::Failed, endpoints: vec![] };
    assert_eq!(gateway.handle(failed), [Action::PollEndpoints]);
    assert!(forwarded_to(&gateway.request_in_class(0, 1, SECOND).1).is_some());
}
