//! What single events cost in one decision core: processor time and heap at one size of the fleet.

use crate::cpu::measure_micros;
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

/// The period of the core's regular tick.
const TIMER_PERIOD: Micros = 100_000;
/// The same as a frequency.
const TIMERS_PER_SECOND: f64 = 10.0;
/// When the core starts.
const START: Micros = 1_000_000;
/// When the tenants send their first requests, after the start.
const FIRST_REQUEST_DELAY: Micros = 1_000_000;
/// Time until a server responds.
const SERVER_LATENCY: Micros = 30_000;
/// Time until the counter replies.
const COUNTER_LATENCY: Micros = 1_000;
/// Time between two timed requests.
const REQUEST_INTERVAL: Micros = 570;
/// The use of its quota that responses report of a tenant.
const REPORTED_USAGE: f64 = 0.1;
/// The gateway under test; any of the fleet would do.
const GATEWAY: usize = 0;
/// Batches of a measurement.
const BATCHES: usize = 5;
/// Changes of the endpoint list timed in a batch.
const CHANGES_PER_BATCH: usize = 20;
/// Tenants between two reports of progress.
const TENANTS_PER_STEP: usize = 1_000;

/// A decision core, the simulated time, and the state of its surroundings.
struct CoreUnderTest<'a> {
    /// What is played.
    experiment: &'a Experiment,
    /// The decision core.
    gateway: Gateway,
    /// The simulated time.
    now: Micros,
    /// The number of the last request.
    last_request: u64,
    /// The shared counter's totals.
    totals: BTreeMap<CounterId, f64>,
}

impl<'a> CoreUnderTest<'a> {
    /// A core that has just started.
    fn new(experiment: &'a Experiment) -> Result<Self> {
        let settings = core_settings(experiment, GATEWAY, 0);
        let gateway = Gateway::new(settings, experiment.seed, START)?;
        Ok(CoreUnderTest { experiment, gateway, now: START, last_request: 0, totals: BTreeMap::new() })
    }

    /// Hands an event to the core; the actions that follow.
    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    /// Plays a request with all that follows from it.
    fn play_request(&mut self, tenant: u64) {
        self.last_request += 1;
        let fleet = &self.experiment.fleet;
        let arrival = RequestArrival {
            customer_gateway_count: fleet.gateways_per_tenant.min(fleet.gateways),
            first_gateway: GATEWAY,
            ..request_arrival(RequestId(self.last_request), CustomerId(tenant))
        };
        let actions = self.handle(Event::RequestArrived(arrival));
        self.respond(actions);
    }

    /// Servers and the counter respond, until the core wants nothing more of them.
    fn respond(&mut self, mut actions: Vec<Action>) {
        while let Some(action) = actions.pop() {
            let event = match action {
                Action::Send { id, server, .. } => attempt_served(id, server),
                Action::AddToCounter { counter, amount, .. } => self.add_to_counter(counter, amount),
                _ => continue,
            };
            actions.extend(self.handle(event));
        }
    }

    /// The counter adds an amount and replies.
    fn add_to_counter(&mut self, counter: CounterId, amount: f64) -> Event {
        let total = self.totals.entry(counter).or_default();
        *total += amount;
        Event::CounterReplied { counter, result: CounterResult::Total(*total), elapsed: COUNTER_LATENCY }
    }

    /// The core's periodic timer fires.
    fn fire_timer(&mut self) -> Vec<Action> {
        self.handle(Event::Timer { timer: TimerId::TICK })
    }

    /// Tenants of random requests.
    fn draw_tenants(&self, count: usize, rng: &mut ChaCha8Rng) -> Vec<u64> {
        (0..count).map(|_| rng.random_range(0..self.experiment.fleet.tenants as u64)).collect()
    }
}

/// A server responded to the first attempt of a request.
fn attempt_served(id: RequestId, server: ServerId) -> Event {
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

/// The entry of a server that is ready.
fn endpoint(topology: &Topology, server: usize, started_at: Option<NonZeroMicros>) -> Endpoint {
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

/// Measures one size.
pub fn measure(experiment: &Experiment, size: Option<u64>, progress: &Progress) -> Result<Point> {
    let rng = ChaCha8Rng::seed_from_u64(experiment.seed);
    let heap_before = heap_bytes();
    let core = CoreUnderTest::new(experiment)?;
    let base_heap = heap_bytes().saturating_sub(heap_before);
    let mut measurement = Measurement { core, rng, progress, point: Point { size, ..Point::default() } };
    measurement.record(Metric::BaseHeap, base_heap as f64);
    measurement.measure_list();
    progress.step()?;
    measurement.measure_tenants()?;
    measurement.measure_requests()?;
    measurement.measure_timers()?;
    measurement.measure_changes()?;
    Ok(measurement.point)
}

/// What one batch cost.
struct BatchCost {
    /// Processor time, microseconds.
    cpu_us: f64,
    /// Entries of the core's stores that were visited.
    entries: u64,
}

/// What all batches cost.
struct BatchesCost {
    /// Processor time of the median batch, microseconds: what disturbs a few of them does not show.
    median_cpu_us: f64,
    /// Entries that all batches visited.
    entries: u64,
}

/// The measurement of one size.
struct Measurement<'a> {
    /// The core under test.
    core: CoreUnderTest<'a>,
    /// Random tenants and servers.
    rng: ChaCha8Rng,
    /// Shared with the watcher of the run.
    progress: &'a Progress,
    /// What was measured so far.
    point: Point,
}

impl Measurement<'_> {
    /// Records a value.
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

    /// The core takes in the complete endpoint list.
    fn measure_list(&mut self) {
        let fleet = &self.core.experiment.fleet;
        let topology = Topology::new(fleet);
        let before = heap_bytes();
        let endpoints = (0..fleet.servers()).map(|server| endpoint(&topology, server, None)).collect();
        let event = Event::EndpointsChanged { watch_event: WatchEvent::Snapshot, endpoints };
        let cpu_us = measure_micros(|| drop(self.core.handle(event)));
        let heap = heap_bytes().saturating_sub(before);
        self.record(Metric::ListCpu, cpu_us);
        self.record(Metric::ListHeap, heap as f64);
    }

    /// Each tenant sends one request, whose state stays.
    fn measure_tenants(&mut self) -> Result<()> {
        let before = heap_bytes();
        self.core.now += FIRST_REQUEST_DELAY;
        for tenant in 0..self.core.experiment.fleet.tenants {
            self.core.play_request(tenant as u64);
            if tenant.is_multiple_of(TENANTS_PER_STEP) {
                self.progress.step()?;
            }
        }
        let heap = heap_bytes().saturating_sub(before);
        self.record(Metric::TenantHeap, heap as f64);
        Ok(())
    }

    /// Requests of random tenants.
    fn measure_requests(&mut self) -> Result<()> {
        let count = self.core.experiment.load.timed_requests;
        let cost = self.run_batches(|core, rng| {
            let tenants = core.draw_tenants(count, rng);
            let visited_before = core.gateway.entries_visited();
            let cpu_us = measure_micros(|| {
                for tenant in tenants {
                    core.now += REQUEST_INTERVAL;
                    core.play_request(tenant);
                }
            });
            let entries = core.gateway.entries_visited() - visited_before;
            let actions = core.fire_timer();
            core.respond(actions);
            BatchCost { cpu_us: cpu_us / count as f64, entries }
        })?;
        self.record(Metric::RequestCpu, cost.median_cpu_us);
        self.record(Metric::RequestEntries, cost.entries as f64 / (BATCHES * count) as f64);
        Ok(())
    }

    /// The periodic timer, after as many requests as come between two.
    fn measure_timers(&mut self) -> Result<()> {
        let requests = (self.core.experiment.load.requests_per_second / TIMERS_PER_SECOND) as usize;
        let cost = self.run_batches(|core, rng| {
            for tenant in core.draw_tenants(requests, rng) {
                core.play_request(tenant);
            }
            core.now += TIMER_PERIOD;
            let mut actions = Vec::new();
            let visited_before = core.gateway.entries_visited();
            let cpu_us = measure_micros(|| actions = core.fire_timer());
            let entries = core.gateway.entries_visited() - visited_before;
            core.respond(actions);
            BatchCost { cpu_us, entries }
        })?;
        self.record(Metric::TickCpu, cost.median_cpu_us);
        self.record(Metric::TickEntries, cost.entries as f64 / BATCHES as f64);
        Ok(())
    }

    /// Deltas of one endpoint each, which has restarted.
    fn measure_changes(&mut self) -> Result<()> {
        let topology = Topology::new(&self.core.experiment.fleet);
        let servers = self.core.experiment.fleet.servers();
        let cost = self.run_batches(|core, rng| {
            let mut changed =
                || endpoint(&topology, rng.random_range(0..servers), NonZeroMicros::new(core.now));
            let changed: Vec<Endpoint> = (0..CHANGES_PER_BATCH).map(|_| changed()).collect();
            let cpu_us = measure_micros(|| {
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
