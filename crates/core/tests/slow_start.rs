//! Slow start: the requests that a server gets while it warms up, beside warm servers.

mod common;

use common::actions::forwarded_to;
use common::events::endpoint_delta;
use common::settings::{endpoint, endpoints, settings};
use common::test_gateway::TestGateway;
use common::{MILLISECOND, SECOND};
use grebehook_core::{AttemptStatus, Endpoint, NonZeroMicros, ServerId, Settings};
use std::collections::VecDeque;

/// Starts server 2 beside a warm server. Returns the number of requests that it gets within the overload
/// window after its start, at `offered_per_window` offered requests per window.
fn requests_to_warming_server(offered_per_window: u64) -> usize {
    let mut gateway = TestGateway::new(Settings { gateway_count: 1, ..settings() }, &[endpoint(1, 0)]);
    let mut to_warming = 0;
    let mut in_flight = VecDeque::new();
    for k in 0..3 * offered_per_window {
        gateway.run_until(SECOND + k * 1_500 * MILLISECOND / offered_per_window);
        if k == 2 * offered_per_window {
            let started = Endpoint { started_at: NonZeroMicros::new(gateway.now), ..endpoint(2, 0) };
            gateway.handle(endpoint_delta(vec![started]));
        }
        let (id, actions) = gateway.request(100 + k);
        let Some(server) = forwarded_to(&actions) else { continue };
        to_warming += usize::from(server == ServerId(2));
        in_flight.push_back((id, server));
        if in_flight.len() as u64 > 2 + k / 40 {
            let (id, server) = in_flight.pop_front().expect("a request is in flight");
            gateway.complete_attempt(id, 0, server, AttemptStatus::Ok);
        }
    }
    to_warming
}

#[test]
fn warming_server_gets_requests_but_fewer_than_its_overload_budget() {
    let to_warming = requests_to_warming_server(150);
    // The budget is 3 times the capacity in the middle of the window: 0.2 + 0.8 * 0.075 of the 150 requests
    // that a warm server takes.
    assert!(
        to_warming >= 1 && (to_warming as f64) < 3.0 * 0.26 * 150.0,
        "{to_warming} requests to the warming server"
    );
}

/// While most servers warm up, their capacity must be estimated from the warm servers. A mean over all
/// servers would leave nearly all requests to the warm ones.
#[test]
fn warming_servers_take_their_share_when_most_servers_restart_at_once() {
    let servers = endpoints(1..=60);
    let mut gateway = TestGateway::new(Settings { gateway_count: 100, ..settings() }, &servers);
    let is_restarted = |server: u64| server % 10 > 1;
    let mut to_warming = 0;
    let mut total = 0;
    for k in 0..600 {
        gateway.run_until(SECOND + k * 10 * MILLISECOND);
        if k == 300 {
            for server in (1..=60).filter(|server| is_restarted(*server)) {
                let started = Endpoint { started_at: NonZeroMicros::new(gateway.now), ..endpoint(server, 0) };
                gateway.handle(endpoint_delta(vec![started]));
            }
        }
        let (id, actions) = gateway.request(100 + k);
        let Some(server) = forwarded_to(&actions) else { continue };
        gateway.complete_attempt(id, 0, server, AttemptStatus::Ok);
        if k >= 300 {
            total += 1;
            to_warming += usize::from(is_restarted(server.0));
        }
    }
    assert!(
        to_warming * 20 > total * 7,
        "{to_warming} of {total} requests to warming servers; by the mean over all servers, a third"
    );
}
