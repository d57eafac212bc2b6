//! What a process hands over to its successor.

mod common;

use common::actions::forwarded_to;
use common::settings::{endpoint, endpoints, plan, settings, with_shared_counter};
use common::test_gateway::TestGateway;
use common::{MILLISECOND, SECOND};
use grebehook_core::{AttemptStatus, Endpoint, EndpointCounts, NonZeroMicros, Plan, ServerId, Settings};

/// The customer that spends its quota.
const CUSTOMER: u64 = 5;

/// A gateway that has just started, with these servers listed.
fn fresh_gateway(servers: &[Endpoint]) -> TestGateway {
    TestGateway::new(settings(), servers)
}

/// Spends the customer's burst of four units.
fn spend_burst(gateway: &mut TestGateway) {
    for _ in 0..4 {
        gateway.run_request(CUSTOMER, |_| AttemptStatus::Ok);
    }
}

#[test]
fn successor_keeps_spent_quota_and_ejections() {
    let servers = endpoints(1..=3);
    let mut old = fresh_gateway(&servers);
    let only_server_1_fails = |server| match server {
        ServerId(1) => AttemptStatus::ConnectFailed,
        _ => AttemptStatus::Ok,
    };
    for k in 0..10 {
        old.run_request(100 + k, only_server_1_fails);
    }
    spend_burst(&mut old);
    let text = old.gateway.hand_over(SECOND);
    let mut new = fresh_gateway(&servers);
    assert!(
        forwarded_to(&fresh_gateway(&servers).request(CUSTOMER).1).is_some(),
        "without the hand-over the customer is new"
    );
    new.gateway.take_over(SECOND, &text).expect("its own text");
    assert_eq!(new.gateway.endpoint_counts(SECOND), EndpointCounts { listed: 3, ejected: 1 });
    assert_eq!(forwarded_to(&new.request(CUSTOMER).1), None);
    assert!(forwarded_to(&new.request(6).1).is_some(), "another customer is not affected");
}

/// A text of another version, truncated or out of range.
#[test]
fn invalid_text_is_refused_by_line_and_leaves_the_state_unchanged() {
    let mut old = fresh_gateway(&[endpoint(1, 0)]);
    spend_burst(&mut old);
    let text = old.gateway.hand_over(SECOND);
    let last_line = text.lines().count();
    let invalid = [
        (String::new(), 1),
        (text.replacen("-2", "-1", 1), 1),
        (text.replacen("customer 5 0 ", "customer 5 7 ", 1), last_line),
        (text.replacen("customer 5 0 ", "customer 5 0 0 ", 1), last_line),
        (text.replacen("customer", "client", 1), last_line),
        (text.trim_end().rsplit_once(' ').expect("words").0.to_owned(), last_line),
        (text.replacen("server 1 1 ", "server 1 NaN ", 1), 4),
        (text.replacen("clock ", "clock -", 1), 2),
    ];
    for (text, line) in invalid {
        let mut new = fresh_gateway(&[endpoint(1, 0)]);
        let read = new.gateway.take_over(SECOND, &text).map_err(|error| error.line);
        assert_eq!(read, Err(line), "{text}");
        assert!(forwarded_to(&new.request(CUSTOMER).1).is_some());
    }
}

/// The settings and servers of the gateway of commit 222f98f that wrote `data/handover_222f98f.txt` at 8 s.
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

/// Customers of few and of many gateways, with and without a total of the shared counter, servers that fail,
/// reject and warm up: read, and written again, byte for byte as the version that wrote it does.
#[test]
fn text_of_the_previous_version_is_read_in_full() {
    let mut gateway = gateway_of_222f98f().gateway;
    gateway.take_over(9 * SECOND, include_str!("data/handover_222f98f.txt")).expect("its own format");
    assert_eq!(gateway.hand_over(9 * SECOND), include_str!("data/handover_222f98f_read_again.txt"));
}
