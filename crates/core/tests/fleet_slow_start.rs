//! The overload budget of a server that warms up, which all gateways of a fleet keep together.

mod common;

use common::actions::forwarded_to;
use common::events::{attempt_report, endpoint_delta};
use common::fleet_gateway::FleetGateway;
use common::settings::{endpoint, endpoints, high_rate_plan, in_fleet, settings_with_usage_reports};
use common::{MILLISECOND, SECOND};
use grebehook_core::{
    AttemptReport, AttemptStatus, Endpoint, EndpointState, Event, Micros, NonZeroMicros, ProtocolRules,
    RequestId, ServerId, Settings,
};

/// Number of the server that warms up.
const WARMING_SERVER: u64 = 1_000;
/// Time at which that server starts.
const STARTED_AT: Micros = 4 * SECOND;
/// Interval between two ticks of a gateway.
const TICK_INTERVAL: Micros = 100 * MILLISECOND;
/// Requests offered per second and initial server.
const REQUESTS_PER_SERVER: u64 = 20;

/// A fleet and a set of servers to which one is added.
struct Scenario {
    gateway_count: usize,
    /// Number of servers that are listed from the start.
    server_count: u64,
    /// Whether other servers are replaced meanwhile, which shifts the gateways' subsets.
    servers_change: bool,
}

/// Attempts that the fleet sent.
#[derive(Default)]
struct AttemptLog {
    /// Times of the attempts at the server that warms up.
    to_warming: Vec<Micros>,
    /// Number of attempts at all servers.
    total: u64,
}

/// Returns settings whose quota limits no customer.
fn unlimited_settings() -> Settings {
    let mut settings = settings_with_usage_reports();
    settings.plans[0] = high_rate_plan();
    settings
}

impl Scenario {
    /// Starts all gateways of the fleet.
    fn gateways(&self) -> Vec<FleetGateway> {
        let settings = unlimited_settings();
        let start = |index| {
            let settings = in_fleet(&settings, index, self.gateway_count);
            FleetGateway::start_at(SECOND, settings, 31 * index as u64 + 7, endpoints(0..self.server_count))
        };
        (0..self.gateway_count).map(start).collect()
    }

    /// Returns the changed entries of the endpoint list at a tick.
    fn endpoint_changes(&self, tick: u64) -> Vec<Endpoint> {
        let start_tick = STARTED_AT / TICK_INTERVAL;
        if tick == start_tick {
            return vec![Endpoint {
                started_at: NonZeroMicros::new(STARTED_AT),
                ..endpoint(WARMING_SERVER, 0)
            }];
        }
        if self.servers_change && tick > start_tick && tick.is_multiple_of(3) {
            let removed = endpoint(tick / 3 % (self.server_count / 2), 0);
            let replacement = endpoint(2_000 + tick, 0);
            return vec![Endpoint { state: EndpointState::Removed, ..removed }, replacement];
        }
        Vec::new()
    }

    /// Offers requests from 2 s to 10 s, distributed over the gateways. Returns the attempts that the fleet
    /// sends.
    fn run(&self) -> AttemptLog {
        let mut gateways = self.gateways();
        let interval = SECOND / (REQUESTS_PER_SERVER * self.server_count);
        let mut attempts = AttemptLog::default();
        let mut last_tick = 0;
        let times = (0..).map(|k| 2 * SECOND + k * interval).take_while(|now| *now < 10 * SECOND);
        for (now, id) in times.zip(0..) {
            if now / TICK_INTERVAL != last_tick {
                last_tick = now / TICK_INTERVAL;
                let changes = self.endpoint_changes(last_tick);
                for gateway in &mut gateways {
                    gateway.handle(now, endpoint_delta(changes.clone()));
                    gateway.tick(now);
                }
            }
            let index = (id as usize * 7919) % self.gateway_count;
            attempts.run_request(&mut gateways[index], now, id);
        }
        attempts
    }
}

impl AttemptLog {
    /// Runs a request to its end. The server rejects the first attempt of every fifth request.
    fn run_request(&mut self, gateway: &mut FleetGateway, now: Micros, id: u64) {
        let mut actions = gateway.request(now, id, id);
        let mut attempt = 0;
        while let Some(server) = forwarded_to(&actions) {
            self.total += 1;
            if server == ServerId(WARMING_SERVER) {
                self.to_warming.push(now);
            }
            let is_rejected = attempt == 0 && id.is_multiple_of(5);
            let status = if is_rejected { AttemptStatus::Rejected } else { AttemptStatus::Ok };
            let report = AttemptReport {
                attempt,
                elapsed: 50 * MILLISECOND,
                ..attempt_report(RequestId(id), server, status)
            };
            actions = gateway.handle(now, Event::AttemptCompleted(report));
            attempt += 1;
        }
    }
}

/// Returns the maximum number of attempts that the server that warms up may get within an overload window:
/// its overload budget plus, for random variation, twice the square root of the budget and two more.
fn max_attempts_within_window(from: Micros, rules: &ProtocolRules) -> f64 {
    let warmed_up = (from - STARTED_AT) as f64 / rules.warm_up as f64;
    let capacity = rules.initial_capacity + (1.0 - rules.initial_capacity) * warmed_up;
    let budget =
        rules.overload_multiple * capacity * REQUESTS_PER_SERVER as f64 * rules.overload_window as f64 / 1e6;
    budget + 2.0 * budget.sqrt() + 2.0
}

/// The limit covers first attempts and retries of all gateways together, also while other servers are
/// replaced.
#[test]
fn warming_server_is_not_overloaded_by_twenty_or_by_hundreds_of_gateways() {
    let rules = unlimited_settings().rules;
    for (gateway_count, server_count, servers_change) in
        [(20, 10, false), (30, 10, false), (30, 20, true), (300, 20, true), (300, 60, true)]
    {
        let AttemptLog { to_warming, total } = Scenario { gateway_count, server_count, servers_change }.run();
        assert!(total > REQUESTS_PER_SERVER * server_count * 7, "only {total} attempts in all");
        for (k, from) in to_warming.iter().enumerate() {
            let window_end = from + rules.overload_window;
            let attempts_in_window = to_warming[k..].iter().take_while(|at| **at < window_end).count() as f64;
            let max_attempts = max_attempts_within_window(*from, &rules);
            let age = (from - STARTED_AT) / MILLISECOND;
            assert!(
                attempts_in_window <= max_attempts,
                "{gateway_count} gateways, {server_count} servers: \
                 {attempts_in_window} attempts from {age} ms on, {max_attempts:.1} at most"
            );
        }
        assert!(
            to_warming.len() > 3,
            "{gateway_count} gateways: only {} attempts at the warming server",
            to_warming.len()
        );
    }
}
