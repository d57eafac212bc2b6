//! The entries examined for a request, a tick or an endpoint list change are bounded, however many servers,
//! customers and gateways there are.

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

/// Numbers of servers, customers or gateways for which the work is measured.
const SIZES: [usize; 6] = [61, 610, 1_830, 6_100, 18_300, 61_000];
/// Class whose requests carry an idempotency key with cell scope.
const CELL_KEY_CLASS: usize = 1;
/// Number of cells over which the servers are distributed.
const CELL_COUNT: u64 = 300;

/// A gateway whose visited entries are counted. Its clock starts at two seconds.
struct MeasuredGateway {
    core: Gateway,
    /// Current time on the gateway's clock.
    now: Micros,
    /// Id of the most recent request.
    last_request_id: u64,
    /// Actions that the most recent event caused.
    actions: Vec<Action>,
}

impl MeasuredGateway {
    /// Creates one gateway of a fleet of `gateway_count`, with the given endpoint list.
    fn new(gateway_count: usize, endpoints: &[Endpoint]) -> MeasuredGateway {
        let key = Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, window: 500 * MILLISECOND };
        let mut settings = settings_with_usage_reports();
        settings.gateway_count = gateway_count;
        settings.gateway_index = 7 % gateway_count;
        settings.capabilities.gossip = true;
        settings.classes.push(class(key));
        settings.plans[0] = Plan { rate: 200.0, burst: 400.0, ..plan() };
        let core = Gateway::new(settings, 11, SECOND).expect("settings are valid");
        let mut measured = MeasuredGateway { core, now: 2 * SECOND, last_request_id: 0, actions: Vec::new() };
        measured.handle(endpoint_snapshot(endpoints.to_vec()));
        measured
    }

    /// Delivers an event. Returns the number of entries visited for it.
    fn handle(&mut self, event: Event) -> u64 {
        let before = self.core.entries_visited();
        self.actions.clear();
        self.core.handle(self.now, event, &mut self.actions);
        self.core.entries_visited() - before
    }

    /// Delivers a request 600 µs after the previous event. Returns the number of entries visited.
    fn request(&mut self, class: usize, customer: u64) -> u64 {
        self.last_request_id += 1;
        self.now += 600;
        self.handle(Event::RequestArrived(RequestArrival {
            class,
            customer_gateway_count: 4,
            first_gateway: 5,
            ..arrival(self.last_request_id, customer)
        }))
    }

    /// Returns the server to which the most recent event forwarded a request.
    fn forwarded_to(&self) -> ServerId {
        forwarded_to(&self.actions).expect("the last event forwards a request")
    }

    /// Delivers the report of an attempt of the most recent request. Returns the number of entries visited.
    fn complete(&mut self, attempt: u32, server: ServerId, status: AttemptStatus, usage: f64) -> u64 {
        self.handle(Event::AttemptCompleted(AttemptReport {
            attempt,
            reported_usage: Some(usage),
            ..attempt_report(RequestId(self.last_request_id), server, status)
        }))
    }

    /// Delivers the periodic tick after 100 ms. Returns the number of entries visited.
    fn tick(&mut self) -> u64 {
        self.now += 100 * MILLISECOND;
        self.handle(tick())
    }

    /// Delivers 60 requests, 20 ticks and 40 endpoint list changes, where `server_count` servers are listed.
    /// Returns the maximum number of entries visited for each kind of event.
    fn measure(&mut self, server_count: usize) -> MaxEntriesVisited {
        let mut maxima = MaxEntriesVisited { request: 0, tick: 0, list_change: 0 };
        for k in 0..60 {
            let mut visited = self.request(0, k);
            let server = self.forwarded_to();
            let usage = if k % 10 == 0 { 3.0 } else { 0.1 };
            visited += self.complete(0, server, AttemptStatus::Ok, usage);
            maxima.request = maxima.request.max(visited);
            if k % 3 == 0 {
                maxima.tick = maxima.tick.max(self.tick());
                let new_server = endpoint(server_count as u64 + 1 + k, 0);
                let added = Endpoint { started_at: NonZeroMicros::new(self.now), ..new_server.clone() };
                maxima.list_change = maxima.list_change.max(self.handle(endpoint_delta(vec![added])));
                let removed = Endpoint { state: EndpointState::Removed, ..new_server };
                maxima.list_change = maxima.list_change.max(self.handle(endpoint_delta(vec![removed])));
            }
        }
        maxima
    }
}

/// Maximum number of entries visited for one event of each kind.
struct MaxEntriesVisited {
    /// Entries visited for a request and its response.
    request: u64,
    tick: u64,
    /// Entries visited for a delta with one changed endpoint.
    list_change: u64,
}

impl MaxEntriesVisited {
    /// Asserts that no maximum is above its bound.
    fn assert_within(&self, bounds: &MaxEntriesVisited, size: &str) {
        let MaxEntriesVisited { request, tick, list_change } = self;
        assert!(*request <= bounds.request, "{size}: {request} entries for a request");
        assert!(*tick <= bounds.tick, "{size}: {tick} entries for a tick");
        assert!(*list_change <= bounds.list_change, "{size}: {list_change} entries for a list change");
    }
}

/// Returns `count` servers in 33 zones and 300 cells.
fn servers(count: usize) -> Vec<Endpoint> {
    let server = |k| Endpoint { cell: (k % CELL_COUNT) as u32, ..endpoint(k, (k % 33) as u32) };
    (1..=count as u64).map(server).collect()
}

/// A request compares up to 128 servers. A tick and an endpoint list change sum over all servers one by one
/// only for up to 512 servers.
#[test]
fn work_does_not_grow_with_the_servers() {
    for server_count in SIZES {
        for gateway_count in [2, 100, 2_800] {
            let mut gateway = MeasuredGateway::new(gateway_count, &servers(server_count));
            let maxima = gateway.measure(server_count);
            let bound = if server_count > 600 { 20 } else { 600 };
            maxima.assert_within(
                &MaxEntriesVisited { request: 160, tick: bound, list_change: bound },
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
        // A tick evicts customers that were idle for 13 s. These are up to 167 per tick of 100 ms, because
        // they arrived 600 µs apart.
        gateway.measure(61).assert_within(
            &MaxEntriesVisited { request: 160, tick: 250, list_change: 200 },
            &format!("{customer_count} customers"),
        );
    }
}

/// A tick examines up to 1,000 of the customers whose usage is still to be reported to the shared counter.
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
            let before = gateway.core.entries_visited();
            gateway.tick(now + k * 100 * MILLISECOND);
            let visited = gateway.core.entries_visited() - before;
            assert!(visited <= 1_200, "{customer_count} customers: {visited} entries visited for a tick");
        }
    }
}

#[test]
fn work_does_not_grow_with_the_gateways() {
    for gateway_count in SIZES {
        let mut gateway = MeasuredGateway::new(gateway_count, &servers(61));
        gateway.measure(61).assert_within(
            &MaxEntriesVisited { request: 160, tick: 160, list_change: 200 },
            &format!("{gateway_count} gateways"),
        );
    }
}

/// When a quarter of the servers restart at once, the gateway's whole subset among them, a warm server
/// outside the subset is found in a bounded number of steps.
#[test]
fn warm_server_is_found_in_few_steps_when_many_neighbours_are_warming_up() {
    for server_count in SIZES.into_iter().filter(|count| *count >= 6_100) {
        let mut gateway = MeasuredGateway::new(2_800, &servers(server_count));
        // The gateway's subset begins at a fraction of 0.326 of the endpoint list.
        let from = server_count as u64 * 3 / 10;
        let restarted: Vec<Endpoint> = (from..from + server_count as u64 / 4)
            .map(|k| Endpoint { started_at: NonZeroMicros::new(gateway.now), ..endpoint(k, 0) })
            .collect();
        let warming: BTreeSet<ServerId> = restarted.iter().map(|endpoint| endpoint.server).collect();
        gateway.handle(endpoint_delta(restarted));
        let visited = gateway.request(0, 5);
        assert!(!warming.contains(&gateway.forwarded_to()), "a server that warms up gets the request");
        assert!(visited <= 2_600, "{server_count} servers: {visited} entries visited");
    }
}

/// A request that may have run must be retried in the cell of its first attempt, whose servers drop the
/// duplicate. That cell is one of hundreds.
#[test]
fn retry_with_a_cell_scoped_key_finds_its_cell_in_few_steps() {
    for server_count in SIZES.into_iter().filter(|count| *count >= 1_830) {
        let mut gateway = MeasuredGateway::new(2_800, &servers(server_count));
        // The retry budget covers five retries.
        for customer in 0..5 {
            gateway.request(CELL_KEY_CLASS, customer);
            let first_server = gateway.forwarded_to();
            let visited = gateway.complete(0, first_server, AttemptStatus::Error, 0.1);
            let retry_server = gateway.forwarded_to();
            assert!(
                retry_server != first_server && retry_server.0 % CELL_COUNT == first_server.0 % CELL_COUNT,
                "first attempt at {first_server:?}, retry at {retry_server:?}"
            );
            assert!(visited <= 600, "{server_count} servers: {visited} entries visited");
        }
    }
}

/// Few gateways use all servers of a large pool evenly, although candidates are drawn at random.
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
    let is_failing = |server: ServerId| server.0.is_multiple_of(5);
    let mut late_failures = 0;
    for k in 0..4_000 {
        gateway.request(0, k);
        let server = gateway.forwarded_to();
        let status = if is_failing(server) { AttemptStatus::ConnectFailed } else { AttemptStatus::Ok };
        gateway.complete(0, server, status, 0.1);
        late_failures += u32::from(k >= 3_000 && is_failing(server));
        if let Some(server) = forwarded_to(&gateway.actions) {
            gateway.complete(1, server, AttemptStatus::Ok, 0.1);
        }
    }
    assert!(
        late_failures <= 50,
        "{late_failures} of the last 1,000 requests went to the failing fifth of the servers"
    );
}
