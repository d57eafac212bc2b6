//! Measures the processor time and heap that single events cost in one decision core, at one fleet size.

use crate::cpu::measure_cpu_micros;
use crate::error::Result;
use crate::experiment::Experiment;
use crate::memory::heap_bytes;
use crate::metric::Metric;
use crate::progress::Progress;
use crate::results::Point;
use crate::settings::{core_settings, request_arrival};
use crate::topology::Topology;
use grebehook_core::{
    Action, AttemptReport, AttemptStatus, CounterId, CounterResult, CustomerId, Endpoint, EndpointState,
    Event, Gateway, Micros, NonZeroMicros, RequestArrival, RequestId, ServerId, TimerId, WatchEvent,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Interval of the core's periodic tick, in microseconds.
const TICK_INTERVAL: Micros = 100_000;
/// Frequency of the core's periodic tick.
const TICKS_PER_SECOND: f64 = 10.0;
/// Simulated time at which the core starts, in microseconds.
const START: Micros = 1_000_000;
/// Time from the core's start to the tenants' first requests, in microseconds.
const FIRST_REQUEST_DELAY: Micros = 1_000_000;
/// Response time of a server, in microseconds.
const SERVER_LATENCY: Micros = 30_000;
/// Response time of the shared counter, in microseconds.
const COUNTER_LATENCY: Micros = 1_000;
/// Time between two timed requests, in microseconds.
const REQUEST_INTERVAL: Micros = 570;
/// Quota usage that each response reports for its tenant, as a share of the quota.
const REPORTED_USAGE: f64 = 0.1;
/// Index of the gateway under test; any other of the fleet would do as well.
const GATEWAY: usize = 0;
/// Number of batches per measurement.
const BATCHES: usize = 5;
/// Number of endpoint changes timed per batch.
const CHANGES_PER_BATCH: usize = 20;
/// Number of tenants between two progress reports.
const TENANTS_PER_PROGRESS_STEP: usize = 1_000;

/// A decision core under test, driven on simulated time with simulated servers and a simulated shared
/// counter.
struct CoreUnderTest<'a> {
    experiment: &'a Experiment,
    gateway: Gateway,
    /// Current simulated time, in microseconds.
    now: Micros,
    last_request_id: u64,
    /// Totals of the shared counter by key.
    totals: BTreeMap<CounterId, f64>,
}

impl<'a> CoreUnderTest<'a> {
    /// Returns a core that has just started.
    fn new(experiment: &'a Experiment) -> Result<Self> {
        let settings = core_settings(experiment, GATEWAY, 0);
        let gateway = Gateway::new(settings, experiment.seed, START)?;
        Ok(CoreUnderTest { experiment, gateway, now: START, last_request_id: 0, totals: BTreeMap::new() })
    }

    /// Passes an event to the core and returns the resulting actions.
    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    /// Simulates a request of a tenant, with its attempts and counter calls, until the core issues no more
    /// actions.
    fn simulate_request(&mut self, tenant: u64) {
        self.last_request_id += 1;
        let fleet = &self.experiment.fleet;
        let arrival = RequestArrival {
            customer_gateway_count: fleet.gateways_per_tenant.min(fleet.gateways),
            first_gateway: GATEWAY,
            ..request_arrival(RequestId(self.last_request_id), CustomerId(tenant))
        };
        let actions = self.handle(Event::RequestArrived(arrival));
        self.respond_to_actions(actions);
    }

    /// Responds to the core's attempts and counter calls until it issues no more of them.
    fn respond_to_actions(&mut self, mut actions: Vec<Action>) {
        while let Some(action) = actions.pop() {
            let event = match action {
                Action::Send { id, server, .. } => served_attempt_event(id, server),
                Action::AddToCounter { counter, amount, .. } => self.add_to_counter(counter, amount),
                _ => continue,
            };
            actions.extend(self.handle(event));
        }
    }

    /// Adds an amount to a counter key and returns the counter's reply.
    fn add_to_counter(&mut self, counter: CounterId, amount: f64) -> Event {
        let total = self.totals.entry(counter).or_default();
        *total += amount;
        Event::CounterReplied { counter, result: CounterResult::Total(*total), elapsed: COUNTER_LATENCY }
    }

    /// Fires the core's periodic tick and returns the resulting actions.
    fn tick(&mut self) -> Vec<Action> {
        self.handle(Event::Timer { timer: TimerId::TICK })
    }

    /// Returns the tenants of `count` random requests.
    fn sample_tenants(&self, count: usize, rng: &mut ChaCha8Rng) -> Vec<u64> {
        (0..count).map(|_| rng.random_range(0..self.experiment.fleet.tenants as u64)).collect()
    }
}

/// Returns the event of a successful first attempt of a request.
fn served_attempt_event(id: RequestId, server: ServerId) -> Event {
    Event::AttemptCompleted(AttemptReport {
        id,
        attempt: 0,
        server,
        status: AttemptStatus::Ok,
        elapsed: SERVER_LATENCY,
        request_finished: true,
        reported_usage: Some(REPORTED_USAGE),
        settled_units: None,
        load_report: None,
    })
}

/// Returns the endpoint list entry of a server in the ready state.
fn ready_endpoint(topology: &Topology, server: usize, started_at: Option<NonZeroMicros>) -> Endpoint {
    let zone = topology.zone_of_server(server) as u32;
    Endpoint {
        server: ServerId(server as u64),
        state: EndpointState::Ready,
        started_at,
        relative_size: 1.0,
        zone,
        cell: zone,
    }
}

/// Measures the costs at one fleet size.
pub fn measure(experiment: &Experiment, size: Option<u64>, progress: &Progress) -> Result<Point> {
    let rng = ChaCha8Rng::seed_from_u64(experiment.seed);
    let heap_before = heap_bytes();
    let core = CoreUnderTest::new(experiment)?;
    let base_heap = heap_bytes().saturating_sub(heap_before);
    let mut measurement = Measurement { core, rng, progress, point: Point { size, ..Point::default() } };
    measurement.record(Metric::BaseHeap, base_heap as f64);
    measurement.measure_endpoint_list();
    progress.step()?;
    measurement.measure_tenants()?;
    measurement.measure_requests()?;
    measurement.measure_ticks()?;
    measurement.measure_endpoint_changes()?;
    Ok(measurement.point)
}

/// Cost of one batch.
struct BatchCost {
    /// Processor time, in microseconds.
    cpu_us: f64,
    /// Number of entries visited in the core's stores.
    entries: u64,
}

/// Cost of all batches of a measurement.
struct BatchesCost {
    /// Processor time of the median batch, in microseconds; a few disturbed batches do not affect the median.
    median_cpu_us: f64,
    /// Number of entries visited in all batches.
    entries: u64,
}

/// Measurement of all costs at one fleet size.
struct Measurement<'a> {
    core: CoreUnderTest<'a>,
    /// Random numbers that select tenants and servers.
    rng: ChaCha8Rng,
    /// Progress shared with the thread that watches the run.
    progress: &'a Progress,
    /// Metrics measured so far.
    point: Point,
}

impl Measurement<'_> {
    fn record(&mut self, metric: Metric, value: f64) {
        self.point.metrics.insert(metric, value);
    }

    /// Runs all batches of a measurement.
    fn run_batches(
        &mut self,
        mut batch: impl FnMut(&mut CoreUnderTest, &mut ChaCha8Rng) -> BatchCost,
    ) -> Result<BatchesCost> {
        let mut cpu_us = Vec::new();
        let mut entries = 0;
        for _ in 0..BATCHES {
            let cost = batch(&mut self.core, &mut self.rng);
            cpu_us.push(cost.cpu_us);
            entries += cost.entries;
            self.progress.step()?;
        }
        cpu_us.sort_by(f64::total_cmp);
        Ok(BatchesCost { median_cpu_us: cpu_us[BATCHES / 2], entries })
    }

    /// Measures the cost of processing a complete endpoint list.
    fn measure_endpoint_list(&mut self) {
        let fleet = &self.core.experiment.fleet;
        let topology = Topology::new(fleet);
        let before = heap_bytes();
        let endpoints = (0..fleet.servers()).map(|server| ready_endpoint(&topology, server, None)).collect();
        let event = Event::EndpointsChanged { watch_event: WatchEvent::Snapshot, endpoints };
        let cpu_us = measure_cpu_micros(|| drop(self.core.handle(event)));
        let heap = heap_bytes().saturating_sub(before);
        self.record(Metric::ListCpu, cpu_us);
        self.record(Metric::ListHeap, heap as f64);
    }

    /// Measures the heap of the tenants' state, which the core keeps after one request of each tenant.
    fn measure_tenants(&mut self) -> Result<()> {
        let before = heap_bytes();
        self.core.now += FIRST_REQUEST_DELAY;
        for tenant in 0..self.core.experiment.fleet.tenants {
            self.core.simulate_request(tenant as u64);
            if tenant.is_multiple_of(TENANTS_PER_PROGRESS_STEP) {
                self.progress.step()?;
            }
        }
        let heap = heap_bytes().saturating_sub(before);
        self.record(Metric::TenantHeap, heap as f64);
        Ok(())
    }

    /// Measures the cost of requests of random tenants.
    fn measure_requests(&mut self) -> Result<()> {
        let count = self.core.experiment.load.timed_requests;
        let cost = self.run_batches(|core, rng| {
            let tenants = core.sample_tenants(count, rng);
            let visited_before = core.gateway.entries_visited();
            let cpu_us = measure_cpu_micros(|| {
                for tenant in tenants {
                    core.now += REQUEST_INTERVAL;
                    core.simulate_request(tenant);
                }
            });
            let entries = core.gateway.entries_visited() - visited_before;
            let actions = core.tick();
            core.respond_to_actions(actions);
            BatchCost { cpu_us: cpu_us / count as f64, entries }
        })?;
        self.record(Metric::RequestCpu, cost.median_cpu_us);
        self.record(Metric::RequestEntries, cost.entries as f64 / (BATCHES * count) as f64);
        Ok(())
    }

    /// Measures the cost of the periodic tick, each after as many requests as arrive between two ticks.
    fn measure_ticks(&mut self) -> Result<()> {
        let requests = (self.core.experiment.load.requests_per_second / TICKS_PER_SECOND) as usize;
        let cost = self.run_batches(|core, rng| {
            for tenant in core.sample_tenants(requests, rng) {
                core.simulate_request(tenant);
            }
            core.now += TICK_INTERVAL;
            let mut actions = Vec::new();
            let visited_before = core.gateway.entries_visited();
            let cpu_us = measure_cpu_micros(|| actions = core.tick());
            let entries = core.gateway.entries_visited() - visited_before;
            core.respond_to_actions(actions);
            BatchCost { cpu_us, entries }
        })?;
        self.record(Metric::TickCpu, cost.median_cpu_us);
        self.record(Metric::TickEntries, cost.entries as f64 / BATCHES as f64);
        Ok(())
    }

    /// Measures the cost of deltas with a single endpoint, which has restarted.
    fn measure_endpoint_changes(&mut self) -> Result<()> {
        let topology = Topology::new(&self.core.experiment.fleet);
        let servers = self.core.experiment.fleet.servers();
        let cost = self.run_batches(|core, rng| {
            let mut changed =
                || ready_endpoint(&topology, rng.random_range(0..servers), NonZeroMicros::new(core.now));
            let changed: Vec<Endpoint> = (0..CHANGES_PER_BATCH).map(|_| changed()).collect();
            let cpu_us = measure_cpu_micros(|| {
                for endpoint in changed {
                    let endpoints = vec![endpoint];
                    core.handle(Event::EndpointsChanged { watch_event: WatchEvent::Delta, endpoints });
                }
            });
            BatchCost { cpu_us: cpu_us / CHANGES_PER_BATCH as f64, entries: 0 }
        })?;
        self.record(Metric::ChangeCpu, cost.median_cpu_us);
        Ok(())
    }
}
