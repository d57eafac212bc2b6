//! The work of a request, a tick and a list change does not grow with the servers, customers and gateways.

mod common;

use common::actions::forwarded_to;
use common::events::{arrival, attempt_report, endpoint_delta, endpoint_snapshot, tick};
use common::fleet_gateway::FleetGateway;
use common::settings::{class, endpoint, plan, settings, settings_with_usage_reports};
use common::{MILLISECOND, SECOND};
use grebehook_core::{
    Action, AttemptReport, AttemptStatus, DeduplicationScope, Endpoint, EndpointState, Event, Gateway,
    Idempotency, Micros, NonZeroMicros, Plan, RequestArrival, RequestId, ServerId, Settings,
};
use std::collections::BTreeSet;

/// Numbers of servers, customers or gateways.
const SIZES: [usize; 6] = [61, 610, 1_830, 6_100, 18_300, 61_000];
/// The class whose requests carry an idempotency key.
const CELL_KEY: usize = 1;
/// How many cells the servers are in.
const CELL_COUNT: u64 = 300;

/// A gateway whose visited entries are counted, with its clock at two seconds.
struct MeasuredGateway {
    /// The gateway.
    gateway: Gateway,
    /// Its clock.
    now: Micros,
    /// The number of the last request.
    last_request: u64,
    /// The actions of the last event.
    actions: Vec<Action>,
}

impl MeasuredGateway {
    /// One of so many gateways before these servers.
    fn new(gateway_count: usize, endpoints: &[Endpoint]) -> MeasuredGateway {
        let key = Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, window: 500 * MILLISECOND };
        let mut settings = settings_with_usage_reports();
        settings.gateway_count = gateway_count;
        settings.gateway_index = 7 % gateway_count;
        settings.capabilities.gossip = true;
        settings.classes.push(class(key));
        settings.plans[0] = Plan { rate: 200.0, burst: 400.0, ..plan() };
        let gateway = Gateway::new(settings, 11, SECOND).expect("valid settings");
        let mut measured = MeasuredGateway { gateway, now: 2 * SECOND, last_request: 0, actions: Vec::new() };
        measured.handle(endpoint_snapshot(endpoints.to_vec()));
        measured
    }

    /// Hands in an event; returns how many entries were visited for it.
    fn handle(&mut self, event: Event) -> u64 {
        let before = self.gateway.entries_visited();
        self.actions.clear();
        self.gateway.handle(self.now, event, &mut self.actions);
        self.gateway.entries_visited() - before
    }

    /// A request arrives 600 µs after the last; returns the entries visited.
    fn request(&mut self, class: usize, customer: u64) -> u64 {
        self.last_request += 1;
        self.now += 600;
        self.handle(Event::RequestArrived(RequestArrival {
            class,
            customer_gateway_count: 4,
            first_gateway: 5,
            ..arrival(self.last_request, customer)
        }))
    }

    /// Where the last event forwarded a request.
    fn forwarded_to(&self) -> ServerId {
        forwarded_to(&self.actions).expect("forwarded")
    }

    /// An attempt of the last request ends; returns the entries visited.
    fn complete(&mut self, attempt: u32, server: ServerId, status: AttemptStatus, usage: f64) -> u64 {
        self.handle(Event::AttemptCompleted(AttemptReport {
            attempt,
            reported_usage: Some(usage),
            ..attempt_report(RequestId(self.last_request), server, status)
        }))
    }

    /// The regular tick after 100 ms; returns the entries visited.
    fn tick(&mut self) -> u64 {
        self.now += 100 * MILLISECOND;
        self.handle(tick())
    }

    /// The most entries visited for any of 60 requests, 20 ticks and 40 changes of the list of so many servers.
    fn measure(&mut self, server_count: usize) -> MaxVisited {
        let mut most = MaxVisited { request: 0, tick: 0, list_change: 0 };
        for k in 0..60 {
            let mut visited = self.request(0, k);
            let server = self.forwarded_to();
            let usage = if k % 10 == 0 { 3.0 } else { 0.1 };
            visited += self.complete(0, server, AttemptStatus::Ok, usage);
            most.request = most.request.max(visited);
            if k % 3 == 0 {
                most.tick = most.tick.max(self.tick());
                let new_server = endpoint(server_count as u64 + 1 + k, 0);
                let added = Endpoint { started_at: NonZeroMicros::new(self.now), ..new_server.clone() };
                most.list_change = most.list_change.max(self.handle(endpoint_delta(vec![added])));
                let removed = Endpoint { state: EndpointState::Removed, ..new_server };
                most.list_change = most.list_change.max(self.handle(endpoint_delta(vec![removed])));
            }
        }
        most
    }
}

/// The most entries visited for one event of each kind.
struct MaxVisited {
    /// A request and its response.
    request: u64,
    /// A tick.
    tick: u64,
    /// A changed entry of the endpoint list.
    list_change: u64,
}

impl MaxVisited {
    /// None is above its bound.
    fn assert_within(&self, bounds: &MaxVisited, size: &str) {
        let MaxVisited { request, tick, list_change } = self;
        assert!(*request <= bounds.request, "{size}: {request} a request");
        assert!(*tick <= bounds.tick, "{size}: {tick} a tick");
        assert!(*list_change <= bounds.list_change, "{size}: {list_change} a list change");
    }
}

/// So many servers in 33 zones and 300 cells.
fn servers(count: usize) -> Vec<Endpoint> {
    let server = |k| Endpoint { cell: (k % CELL_COUNT) as u32, ..endpoint(k, (k % 33) as u32) };
    (1..=count as u64).map(server).collect()
}

/// Up to 128 servers are compared for a request, and up to 512 are summed one by one where there are no more.
#[test]
fn work_does_not_grow_with_the_servers() {
    for server_count in SIZES {
        for gateway_count in [2, 100, 2_800] {
            let mut gateway = MeasuredGateway::new(gateway_count, &servers(server_count));
            let most = gateway.measure(server_count);
            let for_all_servers = if server_count > 600 { 20 } else { 600 };
            most.assert_within(
                &MaxVisited { request: 160, tick: for_all_servers, list_change: for_all_servers },
                &format!("{server_count} servers, {gateway_count} gateways"),
            );
        }
    }
}

#[test]
fn work_does_not_grow_with_the_customers() {
    for customer_count in SIZES {
        let mut gateway = MeasuredGateway::new(2_800, &servers(61));
        for customer in 0..customer_count as u64 {
            gateway.request(0, 1_000 + customer);
            let server = gateway.forwarded_to();
            gateway.complete(0, server, AttemptStatus::Ok, 0.1);
        }
        for _ in 0..customer_count / 1_000 + 2 {
            gateway.tick();
        }
        // A tick forgets customers idle for 13 s: up to 167 in its 100 ms, since they arrived 600 µs apart.
        gateway.measure(61).assert_within(
            &MaxVisited { request: 160, tick: 250, list_change: 200 },
            &format!("{customer_count} customers"),
        );
    }
}

/// A tick examines a thousand of the customers whose usage waits for a counter call.
#[test]
fn tick_examines_a_bounded_number_of_changed_customers() {
    for customer_count in SIZES {
        let mut settings = Settings { gateway_count: 100, ..settings() };
        settings.capabilities.shared_counter = true;
        let mut gateway = FleetGateway::start_at(SECOND, settings, 11, servers(61));
        let now = 2 * SECOND;
        for k in 0..customer_count as u64 {
            let request = RequestArrival { first_gateway: 5, ..gateway.arrival(k, k) };
            let actions = gateway.handle(now, Event::RequestArrived(request));
            if let Some(server) = forwarded_to(&actions) {
                let report = attempt_report(RequestId(k), server, AttemptStatus::Ok);
                gateway.handle(now, Event::AttemptCompleted(report));
            }
        }
        for k in 1..4 {
            let before = gateway.gateway.entries_visited();
            gateway.tick(now + k * 100 * MILLISECOND);
            let visited = gateway.gateway.entries_visited() - before;
            assert!(visited <= 1_200, "{customer_count} customers: {visited}");
        }
    }
}

#[test]
fn work_does_not_grow_with_the_gateways() {
    for gateway_count in SIZES {
        let mut gateway = MeasuredGateway::new(gateway_count, &servers(61));
        gateway.measure(61).assert_within(
            &MaxVisited { request: 160, tick: 160, list_change: 200 },
            &format!("{gateway_count} gateways"),
        );
    }
}

/// A zone where this gateway's subset lies restarts at once: warm servers elsewhere are found in few steps.
#[test]
fn warm_server_is_found_in_few_steps_when_many_neighbours_are_warming_up() {
    for server_count in SIZES.into_iter().filter(|count| *count >= 6_100) {
        let mut gateway = MeasuredGateway::new(2_800, &servers(server_count));
        // This gateway's subset begins at 0.326 of the list.
        let from = server_count as u64 * 3 / 10;
        let restarted: Vec<Endpoint> = (from..from + server_count as u64 / 4)
            .map(|k| Endpoint { started_at: NonZeroMicros::new(gateway.now), ..endpoint(k, 0) })
            .collect();
        let warming: BTreeSet<ServerId> = restarted.iter().map(|endpoint| endpoint.server).collect();
        gateway.handle(endpoint_delta(restarted));
        let visited = gateway.request(0, 5);
        assert!(!warming.contains(&gateway.forwarded_to()), "none of them has a budget yet");
        assert!(visited <= 2_600, "{server_count} servers: {visited}");
    }
}

/// A request that may have run is retried at a server that drops the repeat, in one of hundreds of cells.
#[test]
fn retry_with_a_cell_scoped_key_finds_its_cell_in_few_steps() {
    for server_count in SIZES.into_iter().filter(|count| *count >= 1_830) {
        let mut gateway = MeasuredGateway::new(2_800, &servers(server_count));
        // As many as the retry budget covers.
        for customer in 0..5 {
            gateway.request(CELL_KEY, customer);
            let first = gateway.forwarded_to();
            let visited = gateway.complete(0, first, AttemptStatus::Error, 0.1);
            let second = gateway.forwarded_to();
            assert!(
                second != first && second.0 % CELL_COUNT == first.0 % CELL_COUNT,
                "{first:?} then {second:?}"
            );
            assert!(visited <= 600, "{server_count} servers: {visited}");
        }
    }
}

/// Servers are drawn at random: few gateways use all of them evenly.
#[test]
fn requests_spread_over_a_large_pool_without_loading_any_server_twice() {
    let mut gateway = MeasuredGateway::new(2, &servers(2_000));
    let mut used = BTreeSet::new();
    for k in 0..1_500 {
        gateway.request(0, k);
        let server = gateway.forwarded_to();
        assert!(used.insert(server), "{server:?} has a request in flight while others are idle");
        if k % 10 == 9 {
            gateway.tick();
        }
    }
}

#[test]
fn failing_servers_of_a_large_pool_are_ejected_after_few_attempts() {
    let mut gateway = MeasuredGateway::new(2, &servers(2_000));
    let fails = |server: ServerId| server.0.is_multiple_of(5);
    let mut late = 0;
    for k in 0..4_000 {
        gateway.request(0, k);
        let server = gateway.forwarded_to();
        let status = if fails(server) { AttemptStatus::ConnectFailed } else { AttemptStatus::Ok };
        gateway.complete(0, server, status, 0.1);
        late += u32::from(k >= 3_000 && fails(server));
        if let Some(server) = forwarded_to(&gateway.actions) {
            gateway.complete(1, server, AttemptStatus::Ok, 0.1);
        }
    }
    assert!(late <= 50, "{late} of 1,000 went to a fifth that fails");
}
