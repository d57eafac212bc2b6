//! Discovery reports starts of servers by the fleet's clock. The gateway's clock may be off by seconds or hours,
//! since the wall clock may be stepped before the process starts.

mod common;

use common::actions::forwarded_to;
use common::events::endpoint_delta;
use common::settings::{endpoint, settings};
use common::test_gateway::TestGateway;
use common::SECOND;
use grebehook_core::{AttemptStatus, Endpoint, Micros, ServerId, Settings};
use std::collections::VecDeque;

/// An hour of the gateway's clock.
const HOUR: Micros = 3_600 * SECOND;
/// Requests offered a second.
const REQUESTS_PER_SECOND: u64 = 100;
/// Requests in flight.
const IN_FLIGHT: usize = 6;
/// Requests by which two runs may differ because servers are drawn at random.
const RANDOM_DIFFERENCE: usize = 5;
/// An empty delta arrives from discovery after each so many requests.
const REQUESTS_PER_DELTA: u64 = REQUESTS_PER_SECOND / 2;

/// Requests that a restarted server got.
struct RequestsAfterStart {
    /// In the three seconds from its start.
    at_first: usize,
    /// In three seconds a minute later.
    a_minute_later: usize,
}

/// Restarts server 2 beside two warm servers. The gateway's clock is ahead of the fleet's by `clock_offset`
/// microseconds, or behind it.
fn requests_after_start(clock_offset: i64) -> RequestsAfterStart {
    let endpoints = [endpoint(1, 0), endpoint(3, 0)];
    let mut gateway = TestGateway::new(Settings { gateway_count: 1, ..settings() }, &endpoints);
    gateway.run_until(2 * HOUR);
    let begin = gateway.now;
    let fleet_time = |now: Micros| now.saturating_add_signed(-clock_offset);
    let mut counts = RequestsAfterStart { at_first: 0, a_minute_later: 0 };
    let mut in_flight = VecDeque::new();
    for k in 0..64 * REQUESTS_PER_SECOND {
        gateway.run_until(begin + k * SECOND / REQUESTS_PER_SECOND);
        if k % REQUESTS_PER_DELTA == 0 {
            gateway.handle(endpoint_delta(Vec::new()));
        }
        if k == REQUESTS_PER_SECOND {
            let started = Endpoint { started_at: Some(fleet_time(gateway.now)), ..endpoint(2, 0) };
            gateway.handle(endpoint_delta(vec![started]));
        }
        let (id, actions) = gateway.request(100 + k);
        let Some(server) = forwarded_to(&actions) else { continue };
        in_flight.push_back((id, server));
        if in_flight.len() > IN_FLIGHT {
            let (id, server) = in_flight.pop_front().expect("not empty");
            gateway.complete_attempt(id, 0, server, AttemptStatus::Ok);
        }
        let to_restarted = usize::from(server == ServerId(2));
        match k / REQUESTS_PER_SECOND {
            1..=3 => counts.at_first += to_restarted,
            61..=63 => counts.a_minute_later += to_restarted,
            _ => {}
        }
    }
    counts
}

/// A server that has just started warms up by the time that has really passed.
#[test]
fn clock_offset_neither_skips_nor_prolongs_the_slow_start_of_a_server() {
    let RequestsAfterStart { at_first: cold, a_minute_later: warm } = requests_after_start(0);
    assert!(0 < cold && cold < warm, "{cold} at first, {warm} a minute later");
    let minute = 60 * SECOND as i64;
    let hour = HOUR as i64;
    for offset in [hour, minute, -minute, -hour] {
        let RequestsAfterStart { at_first, a_minute_later } = requests_after_start(offset);
        assert!(
            at_first <= cold + RANDOM_DIFFERENCE,
            "{offset}: {at_first} to a cold server, {cold} by a correct clock"
        );
        assert!(
            a_minute_later >= warm - warm / 4,
            "{offset}: {a_minute_later} to a warm server, {warm} by a correct clock"
        );
    }
}
