//! Start times of servers, which service discovery reports by the fleet's clock. The gateway's clock may
//! differ by seconds or hours, since its wall clock may be stepped before the process starts.

mod common;

use common::actions::forwarded_to;
use common::events::endpoint_delta;
use common::settings::{endpoint, settings};
use common::test_gateway::TestGateway;
use common::SECOND;
use grebehook_core::{AttemptStatus, Endpoint, Micros, NonZeroMicros, ServerId, Settings};
use std::collections::VecDeque;

/// One hour of the gateway's clock, in microseconds.
const HOUR: Micros = 3_600 * SECOND;
/// Requests offered per second.
const REQUESTS_PER_SECOND: u64 = 100;
/// Maximum number of requests in flight.
const MAX_IN_FLIGHT: usize = 6;
/// Number of requests by which two runs may differ because servers are sampled at random.
const MAX_RANDOM_DIFFERENCE: usize = 5;
/// Number of requests between two empty deltas from service discovery.
const REQUESTS_PER_DELTA: u64 = REQUESTS_PER_SECOND / 2;

/// Numbers of requests that a restarted server gets.
struct RequestsAfterStart {
    /// Requests in the three seconds from its start.
    after_start: usize,
    /// Requests in three seconds one minute later.
    one_minute_later: usize,
}

/// Restarts server 2 beside two warm servers. The gateway's clock is ahead of the fleet's by `clock_offset`
/// microseconds, or behind it if that is negative.
fn requests_after_start(clock_offset: i64) -> RequestsAfterStart {
    let endpoints = [endpoint(1, 0), endpoint(3, 0)];
    let mut gateway = TestGateway::new(Settings { gateway_count: 1, ..settings() }, &endpoints);
    gateway.run_until(2 * HOUR);
    let traffic_starts_at = gateway.now;
    let fleet_time = |now: Micros| now.saturating_add_signed(-clock_offset);
    let mut counts = RequestsAfterStart { after_start: 0, one_minute_later: 0 };
    let mut in_flight = VecDeque::new();
    for k in 0..64 * REQUESTS_PER_SECOND {
        gateway.run_until(traffic_starts_at + k * SECOND / REQUESTS_PER_SECOND);
        if k % REQUESTS_PER_DELTA == 0 {
            gateway.handle(endpoint_delta(Vec::new()));
        }
        if k == REQUESTS_PER_SECOND {
            let started =
                Endpoint { started_at: NonZeroMicros::new(fleet_time(gateway.now)), ..endpoint(2, 0) };
            gateway.handle(endpoint_delta(vec![started]));
        }
        let (id, actions) = gateway.request(100 + k);
        let Some(server) = forwarded_to(&actions) else { continue };
        in_flight.push_back((id, server));
        if in_flight.len() > MAX_IN_FLIGHT {
            let (id, server) = in_flight.pop_front().expect("a request is in flight");
            gateway.complete_attempt(id, 0, server, AttemptStatus::Ok);
        }
        let to_restarted = usize::from(server == ServerId(2));
        match k / REQUESTS_PER_SECOND {
            1..=3 => counts.after_start += to_restarted,
            61..=63 => counts.one_minute_later += to_restarted,
            _ => {}
        }
    }
    counts
}

/// A server that has just started must warm up according to the time that has actually passed, whatever the
/// gateway's clock shows.
#[test]
fn clock_offset_neither_skips_nor_prolongs_the_slow_start_of_a_server() {
    let RequestsAfterStart { after_start: cold, one_minute_later: warm } = requests_after_start(0);
    assert!(0 < cold && cold < warm, "{cold} requests at first, {warm} a minute later");
    let minute = 60 * SECOND as i64;
    let hour = HOUR as i64;
    for offset in [hour, minute, -minute, -hour] {
        let RequestsAfterStart { after_start, one_minute_later } = requests_after_start(offset);
        assert!(
            after_start <= cold + MAX_RANDOM_DIFFERENCE,
            "clock offset {offset}: {after_start} requests to a cold server, {cold} by a correct clock"
        );
        assert!(
            one_minute_later >= warm - warm / 4,
            "clock offset {offset}: {one_minute_later} requests to a warm server, {warm} by a correct clock"
        );
    }
}
