//! What single events cost in one decision core: processor time and heap at one size of the fleet.

use crate::cpu::measure_micros;
use crate::error::Result;
use crate::experiment::Experiment;
use crate::memory::heap_bytes;
use crate::metric::Metric;
use crate::progress::Progress;
use crate::results::Point;
use crate::settings::{core_settings, DEADLINE};
use crate::topology::Topology;
use grebehook_core::{
    Action, AttemptReport, AttemptStatus, CounterId, CounterResult, CustomerId, Endpoint, EndpointState,
    Event, Gateway, Micros, RequestArrival, RequestId, ServerId, TimerId, WatchEvent,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// The timer of the core's periodic round, as the core sets it.
const ROUND_TIMER: TimerId = TimerId(u64::MAX);
/// Time between two rounds.
const ROUND: Micros = 100_000;
/// Rounds a second.
const ROUNDS_PER_SECOND: f64 = 10.0;
/// When the core starts.
const START: Micros = 1_000_000;
/// Time of a server's answer.
const SERVER_ANSWER: Micros = 30_000;
/// Time of the counter's answer.
const COUNTER_ANSWER: Micros = 1_000;
/// Time between two timed requests.
const REQUEST_GAP: Micros = 570;
/// The use of its quota that answers tell of a tenant.
const USED: f64 = 0.1;
/// Gateway under test; any of the fleet would do.
const GATEWAY: usize = 0;
/// Batches of a measurement; its figure is that of the middle one.
const BATCHES: usize = 5;
/// Changes timed in a batch.
const CHANGES: usize = 20;
/// Tenants between two signs of progress.
const STEP: usize = 1_000;

/// A decision core, the time it is told, and what its surroundings remember.
struct CoreUnderTest<'a> {
    experiment: &'a Experiment,
    gateway: Gateway,
    now: Micros,
    next_request: u64,
    totals: BTreeMap<CounterId, f64>,
}

impl<'a> CoreUnderTest<'a> {
    fn new(experiment: &'a Experiment) -> Result<Self> {
        let settings = core_settings(experiment, GATEWAY, 0);
        let gateway = Gateway::new(settings, experiment.seed, START)?;
        Ok(CoreUnderTest { experiment, gateway, now: START, next_request: 1, totals: BTreeMap::new() })
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    /// A request with all that follows from it.
    fn serve(&mut self, tenant: u64) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let spread = self.experiment.fleet.gateways_per_tenant.min(self.experiment.fleet.gateways);
        let actions = self.handle(Event::RequestArrived(RequestArrival {
            id,
            class: 0,
            plan: 0,
            customer: CustomerId(tenant),
            client_timeout: DEADLINE,
            units: 1.0,
            customer_gateway_count: spread,
            first_gateway: GATEWAY,
            is_retry: false,
            body_incomplete: false,
        }));
        self.answer(actions);
    }

    /// Servers and the counter answer, until the core wants nothing more of them.
    fn answer(&mut self, mut actions: Vec<Action>) {
        while let Some(action) = actions.pop() {
            let event = match action {
                Action::Send { id, server, .. } => served(id, server),
                Action::AddToCounter { counter, amount, .. } => {
                    let total = self.totals.entry(counter).or_default();
                    *total += amount;
                    Event::CounterReplied {
                        counter,
                        result: CounterResult::Total(*total),
                        elapsed: COUNTER_ANSWER,
                    }
                }
                _ => continue,
            };
            actions.extend(self.handle(event));
        }
    }

    fn round(&mut self) -> Vec<Action> {
        self.handle(Event::Timer { timer: ROUND_TIMER })
    }
}

fn served(id: RequestId, server: ServerId) -> Event {
    Event::AttemptCompleted(AttemptReport {
        id,
        attempt: 0,
        server,
        status: AttemptStatus::Ok,
        elapsed: SERVER_ANSWER,
        request_finished: true,
        reported_usage: Some(USED),
        settled_units: None,
        load_report: None,
    })
}

fn entry(topology: &Topology, server: usize, started_at: Option<Micros>) -> Endpoint {
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

/// The middle one of the batches' figures: what disturbs a few of them does not show.
fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures[figures.len() / 2]
}

/// Measures one size.
pub fn measure(experiment: &Experiment, size: Option<u64>, progress: &Progress) -> Result<Point> {
    let mut rng = ChaCha8Rng::seed_from_u64(experiment.seed);
    let mut point = Point { size, ..Point::default() };
    let empty_heap = heap_bytes();
    let mut core = CoreUnderTest::new(experiment)?;
    point.metrics.insert(Metric::BaseHeap, heap_bytes().saturating_sub(empty_heap) as f64);
    take_list(&mut core, &mut point);
    progress.step()?;
    take_tenants(&mut core, &mut point, progress)?;
    time_requests(&mut core, &mut point, &mut rng, progress)?;
    time_rounds(&mut core, &mut point, &mut rng, progress)?;
    time_changes(&mut core, &mut point, &mut rng, progress)?;
    Ok(point)
}

fn take_list(core: &mut CoreUnderTest, point: &mut Point) {
    let fleet = &core.experiment.fleet;
    let topology = Topology::new(fleet);
    let before = heap_bytes();
    let entries = (0..fleet.servers()).map(|server| entry(&topology, server, None)).collect();
    let event = Event::EndpointsChanged { watch_event: WatchEvent::Snapshot, endpoints: entries };
    let cpu = measure_micros(|| drop(core.handle(event)));
    point.metrics.insert(Metric::ListCpu, cpu);
    point.metrics.insert(Metric::ListHeap, heap_bytes().saturating_sub(before) as f64);
}

/// Each tenant sends one request: its state stays.
fn take_tenants(core: &mut CoreUnderTest, point: &mut Point, progress: &Progress) -> Result<()> {
    let before = heap_bytes();
    core.now += 1_000_000;
    for tenant in 0..core.experiment.fleet.tenants {
        core.serve(tenant as u64);
        if tenant.is_multiple_of(STEP) {
            progress.step()?;
        }
    }
    point.metrics.insert(Metric::TenantHeap, heap_bytes().saturating_sub(before) as f64);
    Ok(())
}

fn draw_tenants(experiment: &Experiment, count: usize, rng: &mut ChaCha8Rng) -> Vec<u64> {
    (0..count).map(|_| rng.random_range(0..experiment.fleet.tenants as u64)).collect()
}

fn time_requests(
    core: &mut CoreUnderTest,
    point: &mut Point,
    rng: &mut ChaCha8Rng,
    progress: &Progress,
) -> Result<()> {
    let count = core.experiment.load.timed_requests;
    let (mut figures, mut entries) = (Vec::new(), 0);
    for _ in 0..BATCHES {
        let tenants = draw_tenants(core.experiment, count, rng);
        let visited = core.gateway.entries_visited();
        let cpu = measure_micros(|| {
            for tenant in tenants {
                core.now += REQUEST_GAP;
                core.serve(tenant);
            }
        });
        figures.push(cpu / count as f64);
        entries += core.gateway.entries_visited() - visited;
        let actions = core.round();
        core.answer(actions);
        progress.step()?;
    }
    point.metrics.insert(Metric::RequestCpu, median(figures));
    point.metrics.insert(Metric::RequestEntries, entries as f64 / (BATCHES * count) as f64);
    Ok(())
}

fn time_rounds(
    core: &mut CoreUnderTest,
    point: &mut Point,
    rng: &mut ChaCha8Rng,
    progress: &Progress,
) -> Result<()> {
    let between = (core.experiment.load.requests_per_second / ROUNDS_PER_SECOND) as usize;
    let (mut figures, mut entries) = (Vec::new(), 0);
    for _ in 0..BATCHES {
        for tenant in draw_tenants(core.experiment, between, rng) {
            core.serve(tenant);
        }
        core.now += ROUND;
        let mut actions = Vec::new();
        let visited = core.gateway.entries_visited();
        figures.push(measure_micros(|| actions = core.round()));
        entries += core.gateway.entries_visited() - visited;
        core.answer(actions);
        progress.step()?;
    }
    point.metrics.insert(Metric::RoundCpu, median(figures));
    point.metrics.insert(Metric::RoundEntries, entries as f64 / BATCHES as f64);
    Ok(())
}

/// Changes of one member each: it has started again.
fn time_changes(
    core: &mut CoreUnderTest,
    point: &mut Point,
    rng: &mut ChaCha8Rng,
    progress: &Progress,
) -> Result<()> {
    let topology = Topology::new(&core.experiment.fleet);
    let servers = core.experiment.fleet.servers();
    let mut figures = Vec::new();
    for _ in 0..BATCHES {
        let changed: Vec<Endpoint> =
            (0..CHANGES).map(|_| entry(&topology, rng.random_range(0..servers), Some(core.now))).collect();
        let cpu = measure_micros(|| {
            for entry in changed {
                core.handle(Event::EndpointsChanged {
                    watch_event: WatchEvent::Delta,
                    endpoints: vec![entry],
                });
            }
        });
        figures.push(cpu / CHANGES as f64);
        progress.step()?;
    }
    point.metrics.insert(Metric::ChangeCpu, median(figures));
    Ok(())
}
