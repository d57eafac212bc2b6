//! The overload budget of a server that warms up, kept by all gateways of a fleet together.

mod common;

use common::actions::forwarded_to;
use common::events::{attempt_report, endpoint_delta};
use common::fleet_gateway::FleetGateway;
use common::settings::{ample_plan, endpoint, endpoints, in_fleet, settings_with_usage_reports};
use common::{MILLISECOND, SECOND};
use grebehook_core::{
    AttemptReport, AttemptStatus, Endpoint, EndpointState, Event, Micros, NonZeroMicros, ProtocolRules,
    RequestId, ServerId, Settings,
};

/// The server that warms up.
const WARMING: u64 = 1_000;
/// When it starts.
const STARTED_AT: Micros = 4 * SECOND;
/// The gateways' ticks.
const TICK: Micros = 100 * MILLISECOND;
/// Requests a second offered for each server that is there from the start.
const REQUESTS_PER_SERVER: u64 = 20;

/// A fleet before which a server starts.
struct Scenario {
    /// How many gateways.
    gateway_count: usize,
    /// How many servers are there from the start.
    server_count: u64,
    /// Whether other servers are replaced meanwhile, which moves the gateways' subsets.
    servers_change: bool,
}

/// What the fleet sent.
#[derive(Default)]
struct Attempts {
    /// When attempts were sent to the server that warms up.
    to_warming: Vec<Micros>,
    /// How many were sent to all servers.
    total: u64,
}

/// Settings whose quota limits no customer.
fn unlimited_settings() -> Settings {
    let mut settings = settings_with_usage_reports();
    settings.plans[0] = ample_plan();
    settings
}

impl Scenario {
    /// Starts the gateways.
    fn gateways(&self) -> Vec<FleetGateway> {
        let settings = unlimited_settings();
        let start = |index| {
            let settings = in_fleet(&settings, index, self.gateway_count);
            FleetGateway::start_at(SECOND, settings, 31 * index as u64 + 7, endpoints(0..self.server_count))
        };
        (0..self.gateway_count).map(start).collect()
    }

    /// What changes in the endpoint list at a tick.
    fn list_changes(&self, tick: u64) -> Vec<Endpoint> {
        let start_tick = STARTED_AT / TICK;
        if tick == start_tick {
            return vec![Endpoint { started_at: NonZeroMicros::new(STARTED_AT), ..endpoint(WARMING, 0) }];
        }
        if self.servers_change && tick > start_tick && tick.is_multiple_of(3) {
            let removed = endpoint(tick / 3 % (self.server_count / 2), 0);
            let replacement = endpoint(2_000 + tick, 0);
            return vec![Endpoint { state: EndpointState::Removed, ..removed }, replacement];
        }
        Vec::new()
    }

    /// Offers requests from 2 s to 10 s, spread over the gateways.
    fn run(&self) -> Attempts {
        let mut gateways = self.gateways();
        let interval = SECOND / (REQUESTS_PER_SERVER * self.server_count);
        let mut attempts = Attempts::default();
        let mut last_tick = 0;
        let times = (0..).map(|k| 2 * SECOND + k * interval).take_while(|now| *now < 10 * SECOND);
        for (now, id) in times.zip(0..) {
            if now / TICK != last_tick {
                last_tick = now / TICK;
                let changes = self.list_changes(last_tick);
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

impl Attempts {
    /// Runs a request to its end; the first attempt of every fifth is rejected by the server.
    fn run_request(&mut self, gateway: &mut FleetGateway, now: Micros, id: u64) {
        let mut actions = gateway.request(now, id, id);
        let mut attempt = 0;
        while let Some(server) = forwarded_to(&actions) {
            self.total += 1;
            if server == ServerId(WARMING) {
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

/// The most attempts that the server that warms up may get within an overload window: its overload budget, and
/// for random variation twice the root of it and two more.
fn max_attempts_within_window(from: Micros, rules: &ProtocolRules) -> f64 {
    let warmed_up = (from - STARTED_AT) as f64 / rules.warm_up as f64;
    let capacity = rules.initial_capacity + (1.0 - rules.initial_capacity) * warmed_up;
    let budget =
        rules.overload_multiple * capacity * REQUESTS_PER_SERVER as f64 * rules.overload_window as f64 / 1e6;
    budget + 2.0 * budget.sqrt() + 2.0
}

/// First attempts and retries of all gateways together, also while other servers are replaced.
#[test]
fn warming_server_is_not_overloaded_by_twenty_or_by_hundreds_of_gateways() {
    let rules = unlimited_settings().rules;
    for (gateway_count, server_count, servers_change) in
        [(20, 10, false), (30, 10, false), (30, 20, true), (300, 20, true), (300, 60, true)]
    {
        let Attempts { to_warming, total } = Scenario { gateway_count, server_count, servers_change }.run();
        assert!(total > REQUESTS_PER_SERVER * server_count * 7, "{total}");
        for (k, from) in to_warming.iter().enumerate() {
            let window_end = from + rules.overload_window;
            let got = to_warming[k..].iter().take_while(|at| **at < window_end).count() as f64;
            let most = max_attempts_within_window(*from, &rules);
            let age = (from - STARTED_AT) / MILLISECOND;
            assert!(
                got <= most,
                "{gateway_count} gateways, {server_count} servers: {got} from {age} ms on, {most:.1} at most"
            );
        }
        assert!(to_warming.len() > 3, "{gateway_count} gateways: only {} in all", to_warming.len());
    }
}
