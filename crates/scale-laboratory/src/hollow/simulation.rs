//! The event loop: plays events in the order of their times and carries out the actions of the decision cores.

use super::clients::{Clients, PendingRequest};
use super::endpoint_history::EndpointHistory;
use super::event_queue::{EventQueue, Incarnation, SimulationEvent};
use super::gateway::HollowGateway;
use super::measurements::Measurements;
use super::network::Network;
use super::servers::Servers;
use super::shared_counter::SharedCounter;
use crate::error::Result;
use crate::experiment::Experiment;
use crate::memory::check_memory;
use crate::progress::Progress;
use crate::settings::{core_settings, micros, micros_of_seconds, DEADLINE};
use crate::timeline::Outcome;
use crate::topology::Topology;
use grebehook_core::{Action, Event, Micros, RequestId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// When a simulation begins.
const START: Micros = 1_000_000;
/// Gateways start within this time, so that their periodic timers do not coincide.
const START_SPREAD: Micros = 100_000;
/// A response may come so long after the client's deadline.
pub(super) const RESPONSE_SLACK: Micros = 100_000;
/// Time after the measurement in which its last requests get their responses.
const DRAIN_TIME: Micros = DEADLINE + 2 * RESPONSE_SLACK;
/// Events between two reports of progress.
const PROGRESS_EVENTS: u64 = 1_024;
/// Events between two checks of memory.
const MEMORY_CHECK_EVENTS: u64 = 1 << 16;
/// Wall time between two lines of the log.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// A fleet of hollow gateways and all that surrounds it.
pub struct Simulation {
    /// What is played.
    pub(super) experiment: Experiment,
    /// Where servers and gateways stand.
    pub(super) topology: Topology,
    /// The network between them.
    pub(super) network: Network,
    /// Events to come.
    pub(super) queue: EventQueue,
    /// The simulated time.
    pub(super) now: Micros,
    /// When the measured time begins.
    pub(super) measure_from: Micros,
    /// When it ends.
    pub(super) measure_until: Micros,
    /// The gateways by their numbers.
    pub(super) gateways: Vec<HollowGateway>,
    /// The servers.
    pub(super) servers: Servers,
    /// The endpoint list of the origin of discovery.
    pub(super) endpoints: EndpointHistory,
    /// The shared counter.
    pub(super) counter: SharedCounter,
    /// The clients.
    pub(super) clients: Clients,
    /// Requests whose clients wait for a response.
    pub(super) pending: BTreeMap<RequestId, PendingRequest>,
    /// What is measured.
    pub(super) measurements: Measurements,
    /// All random numbers.
    pub(super) rng: ChaCha8Rng,
    /// Discovery answers no calls.
    pub(super) discovery_silent: bool,
    /// The newest version of the configuration.
    pub(super) configuration_version: u32,
    /// When it was published.
    pub(super) configuration_published_at: Micros,
    /// The number of the last request.
    pub(super) last_request: u64,
    /// Shared with the watcher of the run.
    progress: Progress,
}

impl Simulation {
    /// A fleet at its start.
    pub fn new(experiment: Experiment, progress: Progress) -> Result<Simulation> {
        let topology = Topology::new(&experiment.fleet);
        let servers = experiment.fleet.servers();
        let measure_from = START + START_SPREAD + micros_of_seconds(experiment.load.warm_up_seconds);
        let rules = core_settings(&experiment, 0, 0).rules;
        let between_regions = micros(experiment.discovery.region_milliseconds) / 2;
        let mut simulation = Simulation {
            network: Network::new(topology.clone(), between_regions),
            queue: EventQueue::default(),
            now: START,
            measure_from,
            measure_until: measure_from + micros_of_seconds(experiment.load.duration_seconds),
            gateways: (0..experiment.fleet.gateways).map(HollowGateway::new).collect(),
            servers: Servers::new(servers, &experiment.backend, rules),
            endpoints: EndpointHistory::new(topology.clone(), servers, experiment.discovery.history),
            counter: SharedCounter::new(&experiment.counter),
            clients: Clients::new(&experiment.fleet, &experiment.load),
            pending: BTreeMap::new(),
            measurements: Measurements::new(measure_from),
            rng: ChaCha8Rng::seed_from_u64(experiment.seed),
            discovery_silent: false,
            configuration_version: 0,
            configuration_published_at: START,
            last_request: 0,
            progress,
            topology,
            experiment,
        };
        simulation.schedule_all();
        Ok(simulation)
    }

    /// Schedules what is known beforehand.
    fn schedule_all(&mut self) {
        let gateways = self.gateways.len() as u64;
        for gateway in 0..self.gateways.len() {
            let at = START + START_SPREAD * gateway as u64 / gateways;
            self.queue.push(at, SimulationEvent::GatewayStarts { gateway });
        }
        self.queue.push(START + START_SPREAD, SimulationEvent::RequestArrives);
        self.queue.push(self.measure_from, SimulationEvent::MeasurementBegins);
        self.queue.push(self.measure_until, SimulationEvent::MeasurementEnds);
        self.schedule_faults();
    }

    /// Plays to the end of the measured time and a little longer, so that the last requests get their responses.
    pub fn run(&mut self) -> Result<()> {
        let mut events = 0_u64;
        let mut logged_at = Instant::now();
        while let Some((at, event)) = self.queue.pop() {
            if at > self.measure_until + DRAIN_TIME {
                break;
            }
            self.now = at;
            self.play(event)?;
            events += 1;
            if events.is_multiple_of(PROGRESS_EVENTS) {
                self.progress.step()?;
            }
            if events.is_multiple_of(MEMORY_CHECK_EVENTS) {
                check_memory(0)?;
            }
            if logged_at.elapsed() >= LOG_INTERVAL {
                logged_at = Instant::now();
                let simulated_seconds = (at - START) as f64 / 1e6;
                tracing::info!(simulated_seconds, events, "simulating");
            }
        }
        Ok(())
    }

    /// Plays one event.
    fn play(&mut self, event: SimulationEvent) -> Result<()> {
        match event {
            SimulationEvent::RequestArrives => self.request_arrives(),
            SimulationEvent::MeasurementBegins => self.begin_measurement(),
            SimulationEvent::MeasurementEnds => self.end_measurement(),
            SimulationEvent::TimerFires { incarnation, timer } => {
                self.deliver(incarnation, Event::Timer { timer });
            }
            SimulationEvent::AttemptEnds { incarnation, request, attempt } => {
                self.attempt_ends(incarnation, request, attempt);
            }
            SimulationEvent::CounterReplies { incarnation, counter, called_at, result } => {
                self.counter_replied(incarnation, counter, called_at, result);
            }
            SimulationEvent::AgentUpdated { gateway, version } => self.agent_updated(gateway, version),
            SimulationEvent::WatchTimesOut { incarnation, watch } => self.watch_timed_out(incarnation, watch),
            SimulationEvent::ConfigurationArrives { gateway, version } => {
                self.configuration_arrived(gateway, version);
            }
            SimulationEvent::GossipArrives { to, from, message } => {
                self.deliver(self.gateways[to].incarnation(), Event::GossipReceived { from, message });
            }
            SimulationEvent::ServersChange { servers } => self.servers_change(&servers),
            SimulationEvent::ServerRestarts { server } => self.restart_servers(&[server]),
            SimulationEvent::ConfigurationChanges => self.publish_configuration(),
            SimulationEvent::GatewayKilled { gateway } => self.kill_gateway(gateway),
            SimulationEvent::GatewayStarts { gateway } => self.start_gateway(gateway)?,
            SimulationEvent::LoadBalancerChecks { gateway } => self.load_balancer_checks(gateway),
            SimulationEvent::FaultBegins { fault } => self.begin_fault(fault),
            SimulationEvent::FaultEnds { fault } => self.end_fault(fault),
            SimulationEvent::ClientTimesOut { request } => self.client_times_out(request)?,
        }
        Ok(())
    }

    /// The measured time begins.
    fn begin_measurement(&mut self) {
        self.measurements.begin();
        self.clients.take_hot_units();
    }

    /// The measured time ends.
    fn end_measurement(&mut self) {
        let hot_units = self.clients.take_hot_units();
        self.measurements.end(hot_units);
    }

    /// Hands an event to a gateway's decision core and carries out the actions that follow.
    pub(super) fn deliver(&mut self, incarnation: Incarnation, event: Event) {
        let gateway = &mut self.gateways[incarnation.gateway];
        if !gateway.is_running(incarnation) {
            return;
        }
        let Some(core) = &mut gateway.core else { return };
        let mut actions = Vec::new();
        self.measurements.counts.gateway_events += 1;
        core.handle(self.now, event, &mut actions);
        if gateway.stalled {
            return;
        }
        for action in actions {
            self.perform(incarnation, action);
        }
    }

    /// Carries out an action.
    fn perform(&mut self, incarnation: Incarnation, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send_attempt(incarnation, id, server, timeout),
            Action::Reject { id, .. } => self.respond(incarnation, id, Outcome::Rejected),
            Action::Fail { id } => self.respond(incarnation, id, Outcome::Failed),
            Action::Cancel { id, attempt } => self.cancel_attempt(incarnation, id, attempt),
            Action::Timer { at, timer } => {
                self.queue.push(at.max(self.now), SimulationEvent::TimerFires { incarnation, timer });
            }
            Action::SendGossip { to, message } => self.send_gossip(incarnation.gateway, to, message),
            Action::AddToCounter { counter, amount, ttl } => {
                self.call_counter(incarnation, counter, amount, ttl);
            }
            Action::CheckHealth { .. } | Action::PollEndpoints | Action::Log { .. } => {}
        }
    }

    /// Sends a gossip message to another gateway.
    fn send_gossip(&mut self, from: usize, to: usize, message: Vec<u8>) {
        self.measurements.counts.gossip_messages += 1;
        self.measurements.counts.gossip_bytes += message.len() as u64;
        let arrives_at = self.now + self.network.delay_to_gateway(from, to);
        self.queue.push(arrives_at, SimulationEvent::GossipArrives { to, from, message });
    }
}
