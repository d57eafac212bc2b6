//! Hand-over of a gateway's state to the successor process.

mod common;

use common::actions::forwarded_to;
use common::settings::{endpoint, endpoints, plan, settings, with_shared_counter};
use common::test_gateway::TestGateway;
use common::{MILLISECOND, SECOND};
use grebehook_core::{AttemptStatus, Endpoint, EndpointCounts, NonZeroMicros, Plan, ServerId, Settings};

/// Customer that spends its quota.
const CUSTOMER: u64 = 5;

/// Returns a gateway that has just started and has received the given endpoint list.
fn started_gateway(servers: &[Endpoint]) -> TestGateway {
    TestGateway::new(settings(), servers)
}

/// Spends the burst of four units of [`CUSTOMER`].
fn spend_burst(gateway: &mut TestGateway) {
    for _ in 0..4 {
        gateway.run_request(CUSTOMER, |_| AttemptStatus::Ok);
    }
}

#[test]
fn successor_keeps_spent_quota_and_ejections() {
    let servers = endpoints(1..=3);
    let mut predecessor = started_gateway(&servers);
    let only_server_1_fails = |server| match server {
        ServerId(1) => AttemptStatus::ConnectFailed,
        _ => AttemptStatus::Ok,
    };
    for k in 0..10 {
        predecessor.run_request(100 + k, only_server_1_fails);
    }
    spend_burst(&mut predecessor);
    let text = predecessor.core.hand_over(SECOND);
    let mut successor = started_gateway(&servers);
    assert!(
        forwarded_to(&started_gateway(&servers).request(CUSTOMER).1).is_some(),
        "without the hand-over the customer is not treated as new"
    );
    successor.core.take_over(SECOND, &text).expect("the predecessor's text is accepted");
    assert_eq!(successor.core.endpoint_counts(SECOND), EndpointCounts { listed: 3, ejected: 1 });
    assert_eq!(forwarded_to(&successor.request(CUSTOMER).1), None);
    assert!(forwarded_to(&successor.request(6).1).is_some(), "the hand-over limits another customer");
}

/// The hand-over text is of another version, is truncated, or has a malformed or out-of-range value.
#[test]
fn invalid_text_is_rejected_by_line_and_leaves_the_state_unchanged() {
    let mut predecessor = started_gateway(&[endpoint(1, 0)]);
    spend_burst(&mut predecessor);
    let text = predecessor.core.hand_over(SECOND);
    let last_line = text.lines().count();
    let invalid = [
        (String::new(), 1),
        (text.replacen("-2", "-1", 1), 1),
        (text.replacen("customer 5 0 ", "customer 5 7 ", 1), last_line),
        (text.replacen("customer 5 0 ", "customer 5 0 0 ", 1), last_line),
        (text.replacen("customer", "client", 1), last_line),
        (text.trim_end().rsplit_once(' ').expect("the last line has several words").0.to_owned(), last_line),
        (text.replacen("server 1 1 ", "server 1 NaN ", 1), 4),
        (text.replacen("clock ", "clock -", 1), 2),
    ];
    for (text, line) in invalid {
        let mut successor = started_gateway(&[endpoint(1, 0)]);
        let result = successor.core.take_over(SECOND, &text).map_err(|error| error.line);
        assert_eq!(result, Err(line), "{text}");
        assert!(forwarded_to(&successor.request(CUSTOMER).1).is_some());
    }
}

/// Returns a gateway with the settings and servers of the one that wrote `data/handover_222f98f.txt` at 8 s,
/// which ran commit 222f98f.
fn gateway_of_222f98f() -> TestGateway {
    let mut settings = with_shared_counter(Settings { gateway_count: 20, ..settings() });
    settings.capabilities.usage_report_period = Some(500 * MILLISECOND);
    settings.plans.push(Plan {
        rate: 5.0,
        burst: 12.5,
        hard_limit_rate: 30.0,
        hard_limit_burst: 60.0,
        hard_limit_overdraft: 5.0,
        ..plan()
    });
    let started_at = |server| NonZeroMicros::new(SECOND / 2).filter(|_| server == 6);
    let server = |number| Endpoint { started_at: started_at(number), ..endpoint(number, number as u32 % 2) };
    TestGateway::new(settings, &(1..=6).map(server).collect::<Vec<_>>())
}

/// The text contains customers that are served by few and by many gateways, with and without a total of the
/// shared counter, and servers that fail, reject and warm up. A gateway that has read it must write it again
/// byte for byte as the version that wrote it does.
#[test]
fn text_of_the_previous_version_is_read_in_full() {
    let mut gateway = gateway_of_222f98f().core;
    gateway
        .take_over(9 * SECOND, include_str!("data/handover_222f98f.txt"))
        .expect("the text of the previous version is accepted");
    assert_eq!(gateway.hand_over(9 * SECOND), include_str!("data/handover_222f98f_read_again.txt"));
}
