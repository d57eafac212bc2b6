//! The work of a request, a tick and a change does not grow with the servers, customers and gateways.

mod common;
use common::*;
use grebehook_core::*;
use std::collections::BTreeSet;

const SIZES: [usize; 6] = [61, 610, 1_830, 6_100, 18_300, 61_000];

/// A gateway before so many servers, with its clock at two seconds.
struct Load {
    gateway: Gateway,
    now: Micros,
    requests: u64,
    out: Vec<Action>,
}

impl Load {
    fn new(gateways: usize, servers: &[Endpoint]) -> Load {
        let mut s = settings();
        (s.gateway_count, s.gateway_index) = (gateways, 7 % gateways);
        s.capabilities.usage_report_period = Some(500 * MS);
        s.capabilities.gossip = true;
        s.classes
            .push(class(Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, window: 500 * MS }));
        s.plans[0] = Plan { rate: 200.0, burst: 400.0, ..plan() };
        let gateway = Gateway::new(s, 11, S).expect("sound settings");
        let mut load = Load { gateway, now: 2 * S, requests: 0, out: Vec::new() };
        load.list(WatchEvent::Snapshot, servers.to_vec());
        load
    }

    /// Hands in an event; how many entries were visited for it.
    fn event(&mut self, event: Event) -> u64 {
        let before = self.gateway.entries_visited();
        self.out.clear();
        self.gateway.handle(self.now, event, &mut self.out);
        self.gateway.entries_visited() - before
    }

    fn list(&mut self, kind: WatchEvent, entries: Vec<Endpoint>) -> u64 {
        self.event(Event::EndpointsChanged { watch_event: kind, endpoints: entries })
    }

    fn request(&mut self, class: usize, customer: u64) -> u64 {
        self.requests += 1;
        self.now += 600;
        self.event(Event::RequestArrived(RequestArrival {
            id: RequestId(self.requests),
            class,
            plan: 0,
            customer: CustomerId(customer),
            client_timeout: 2 * S,
            units: 1.0,
            customer_gateway_count: 4,
            first_gateway: 5,
            is_retry: false,
            body_incomplete: false,
        }))
    }

    fn outcome(&mut self, attempt: u32, server: ServerId, status: AttemptStatus, used: f64) -> u64 {
        self.event(Event::AttemptCompleted(AttemptReport {
            id: RequestId(self.requests),
            attempt,
            server,
            status,
            elapsed: 30 * MS,
            request_finished: status == AttemptStatus::Ok,
            reported_usage: Some(used),
            settled_units: None,
            load_report: None,
        }))
    }

    fn tick(&mut self) -> u64 {
        self.now += 100 * MS;
        self.event(Event::Timer { timer: TimerId(u64::MAX) })
    }
}

fn pool(servers: usize) -> Vec<Endpoint> {
    (1..=servers as u64).map(|k| Endpoint { cell: (k % 300) as u32, ..entry(k, (k % 33) as u32) }).collect()
}

/// The most entries visited for a request and its answer, a tick, and a changed member.
fn most_visited(load: &mut Load, servers: usize) -> (u64, u64, u64) {
    let (mut request, mut tick, mut change) = (0, 0, 0);
    for k in 0..60 {
        let mut visited = load.request(0, k);
        let server = sent(&load.out).expect("there is room");
        visited += load.outcome(0, server, AttemptStatus::Ok, if k % 10 == 0 { 3.0 } else { 0.1 });
        request = request.max(visited);
        if k % 3 == 0 {
            tick = tick.max(load.tick());
            let new = Endpoint { started_at: Some(load.now), ..entry(servers as u64 + 1 + k, 0) };
            change = change.max(load.list(WatchEvent::Delta, vec![new]));
            let old = Endpoint { state: EndpointState::Gone, ..entry(servers as u64 + 1 + k, 0) };
            change = change.max(load.list(WatchEvent::Delta, vec![old]));
        }
    }
    (request, tick, change)
}

/// Up to 128 servers are compared for a request, and up to 512 are summed one by one where there are no more.
#[test]
fn work_does_not_grow_with_the_servers() {
    for servers in SIZES {
        for gateways in [2, 100, 2_800] {
            let mut load = Load::new(gateways, &pool(servers));
            let (request, tick, change) = most_visited(&mut load, servers);
            assert!(request <= 160, "{servers} servers, {gateways} gateways: {request} a request");
            assert!(tick <= 600, "{servers} servers, {gateways} gateways: {tick} a tick");
            assert!(change <= 600, "{servers} servers, {gateways} gateways: {change} a change");
            if servers > 600 {
                assert!(tick <= 20, "{servers} servers, {gateways} gateways: {tick} a tick");
                assert!(change <= 20, "{servers} servers, {gateways} gateways: {change} a change");
            }
        }
    }
}

#[test]
fn work_does_not_grow_with_the_customers() {
    for customers in SIZES {
        let mut load = Load::new(2_800, &pool(61));
        for customer in 0..customers as u64 {
            load.request(0, 1_000 + customer);
            let server = sent(&load.out).expect("there is room");
            load.outcome(0, server, AttemptStatus::Ok, 0.1);
        }
        for _ in 0..customers / 1_000 + 2 {
            load.tick();
        }
        let (request, tick, change) = most_visited(&mut load, 61);
        assert!(request <= 160, "{customers} customers: {request} a request");
        // Who came 13 s ago is as good as new: up to 167 for the 100 ms of a tick, since they came 600 µs apart.
        assert!(tick <= 250, "{customers} customers: {tick} a tick");
        assert!(change <= 200, "{customers} customers: {change} a change");
    }
}

/// Customers whose use waits for a call of the counter are looked at a thousand a tick.
#[test]
fn a_tick_looks_at_a_bounded_number_of_changed_customers() {
    for customers in SIZES {
        let mut s = settings();
        s.gateway_count = 100;
        s.capabilities.shared_counter = true;
        let mut gateway = Gateway::new(s, 11, S).expect("sound settings");
        let mut out = Vec::new();
        gateway.handle(
            S,
            Event::EndpointsChanged { watch_event: WatchEvent::Snapshot, endpoints: pool(61) },
            &mut out,
        );
        for k in 0..customers as u64 {
            let request = Event::RequestArrived(RequestArrival {
                id: RequestId(k),
                class: 0,
                plan: 0,
                customer: CustomerId(k),
                client_timeout: 2 * S,
                units: 1.0,
                customer_gateway_count: 100,
                first_gateway: 5,
                is_retry: false,
                body_incomplete: false,
            });
            out.clear();
            gateway.handle(2 * S, request, &mut out);
            if let Some(server) = sent(&out) {
                let end = Event::AttemptCompleted(AttemptReport {
                    id: RequestId(k),
                    attempt: 0,
                    server,
                    status: AttemptStatus::Ok,
                    elapsed: 30 * MS,
                    request_finished: true,
                    reported_usage: None,
                    settled_units: None,
                    load_report: None,
                });
                gateway.handle(2 * S, end, &mut out);
            }
        }
        for k in 1..4 {
            let before = gateway.entries_visited();
            gateway.handle(2 * S + k * 100 * MS, Event::Timer { timer: TimerId(u64::MAX) }, &mut out);
            let visited = gateway.entries_visited() - before;
            assert!(visited <= 1_200, "{customers} customers: {visited}");
        }
    }
}

#[test]
fn work_does_not_grow_with_the_gateways() {
    for gateways in SIZES {
        let mut load = Load::new(gateways, &pool(61));
        let (request, tick, change) = most_visited(&mut load, 61);
        assert!(request <= 160, "{gateways} gateways: {request} a request");
        assert!(tick <= 160, "{gateways} gateways: {tick} a tick");
        assert!(change <= 200, "{gateways} gateways: {change} a change");
    }
}

/// A zone comes up cold at once where the subset lies: warm servers elsewhere take the work, found in few steps.
#[test]
fn many_cold_servers_in_a_row_are_passed_over_in_few_steps() {
    for servers in SIZES.into_iter().filter(|n| *n >= 6_100) {
        let mut load = Load::new(2_800, &pool(servers));
        // This gateway's subset begins at 0.326 of the list.
        let from = servers as u64 * 3 / 10;
        let restarted =
            (from..from + servers as u64 / 4).map(|k| Endpoint { started_at: Some(load.now), ..entry(k, 0) });
        let restarted: Vec<Endpoint> = restarted.collect();
        let cold: BTreeSet<ServerId> = restarted.iter().map(|e| e.server).collect();
        load.list(WatchEvent::Delta, restarted);
        let visited = load.request(0, 5);
        let server = sent(&load.out).expect("warm servers are left");
        assert!(!cold.contains(&server), "none of them has a budget yet");
        assert!(visited <= 2_600, "{servers} servers: {visited}");
    }
}

/// What may have run goes again to a server that drops the repeat, though it is one of some hundreds of cells.
#[test]
fn a_keyed_request_finds_its_cell_in_few_steps() {
    for servers in SIZES.into_iter().filter(|n| *n >= 1_830) {
        let mut load = Load::new(2_800, &pool(servers));
        // As many as the budget of repeats pays for.
        for k in 0..5 {
            load.request(1, k);
            let first = sent(&load.out).expect("goes at once");
            let visited = load.outcome(0, first, AttemptStatus::Error, 0.1);
            let again = sent(&load.out).expect("the cell has others");
            assert!(again != first && again.0 % 300 == first.0 % 300, "{first:?} then {again:?}");
            assert!(visited <= 600, "{servers} servers: {visited}");
        }
    }
}

/// Drawn candidates: few gateways use all servers and lean on none.
#[test]
fn requests_spread_over_a_large_pool() {
    let servers = 2_000;
    let mut load = Load::new(2, &pool(servers));
    let mut used = BTreeSet::new();
    for k in 0..1_500 {
        load.request(0, k);
        let server = sent(&load.out).expect("there is room");
        assert!(used.insert(server), "{server:?} holds a request while others are idle");
        if k % 10 == 9 {
            load.tick();
        }
    }
}

/// Few of a large pool fail: they are tried and left.
#[test]
fn failing_servers_of_a_large_pool_are_left() {
    let mut load = Load::new(2, &pool(2_000));
    let fails = |server: ServerId| server.0.is_multiple_of(5);
    let mut late = 0;
    for k in 0..4_000 {
        load.request(0, k);
        let server = sent(&load.out).expect("there is room");
        let status = if fails(server) { AttemptStatus::ConnectFailed } else { AttemptStatus::Ok };
        load.outcome(0, server, status, 0.1);
        late += u32::from(k >= 3_000 && fails(server));
        if let Some(server) = sent(&load.out) {
            load.outcome(1, server, AttemptStatus::Ok, 0.1);
        }
    }
    assert!(late <= 50, "{late} of 1,000 went to a fifth that fails");
}
