//! Slow start: what a server that warms up gets beside warm ones.

mod common;

use common::actions::forwarded_to;
use common::events::endpoint_delta;
use common::settings::{endpoint, endpoints, settings};
use common::test_gateway::TestGateway;
use common::{MILLISECOND, SECOND};
use grebehook_core::{AttemptStatus, Endpoint, ServerId, Settings};
use std::collections::VecDeque;

/// Requests to server 2 within the overload window after its start beside a warm server.
fn requests_to_warming_server(offered: u64) -> usize {
    let mut gateway = TestGateway::new(Settings { gateway_count: 1, ..settings() }, &[endpoint(1, 0)]);
    let mut to_warming = 0;
    let mut in_flight = VecDeque::new();
    for k in 0..3 * offered {
        gateway.run_until(SECOND + k * 1_500 * MILLISECOND / offered);
        if k == 2 * offered {
            let started = Endpoint { started_at: Some(gateway.now), ..endpoint(2, 0) };
            gateway.handle(endpoint_delta(vec![started]));
        }
        let (id, actions) = gateway.request(100 + k);
        let Some(server) = forwarded_to(&actions) else { continue };
        to_warming += usize::from(server == ServerId(2));
        in_flight.push_back((id, server));
        if in_flight.len() as u64 > 2 + k / 40 {
            let (id, server) = in_flight.pop_front().expect("not empty");
            gateway.complete_attempt(id, 0, server, AttemptStatus::Ok);
        }
    }
    to_warming
}

#[test]
fn warming_server_gets_requests_but_fewer_than_its_overload_budget() {
    let got = requests_to_warming_server(150);
    // Capacity at the middle of the window: 0.2 + 0.8 * 0.075 of the 150 that a warm server takes, times 3.
    assert!(got >= 1 && (got as f64) < 3.0 * 0.26 * 150.0, "{got}");
}

/// While most servers warm up, their capacity is estimated from the warm ones: the mean over all servers would
/// leave nearly all requests to those.
#[test]
fn warming_servers_take_their_share_when_most_servers_restart_at_once() {
    let servers = endpoints(1..=60);
    let mut gateway = TestGateway::new(Settings { gateway_count: 100, ..settings() }, &servers);
    let restarts = |server: u64| server % 10 > 1;
    let mut to_warming = 0;
    let mut total = 0;
    for k in 0..600 {
        gateway.run_until(SECOND + k * 10 * MILLISECOND);
        if k == 300 {
            for server in (1..=60).filter(|server| restarts(*server)) {
                let started = Endpoint { started_at: Some(gateway.now), ..endpoint(server, 0) };
                gateway.handle(endpoint_delta(vec![started]));
            }
        }
        let (id, actions) = gateway.request(100 + k);
        let Some(server) = forwarded_to(&actions) else { continue };
        gateway.complete_attempt(id, 0, server, AttemptStatus::Ok);
        if k >= 300 {
            total += 1;
            to_warming += usize::from(restarts(server.0));
        }
    }
    assert!(to_warming * 20 > total * 7, "{to_warming} of {total}; by the mean of all it would be a third");
}
