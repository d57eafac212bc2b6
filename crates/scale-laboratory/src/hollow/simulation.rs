//! Event loop of the simulation, which dispatches events in chronological order and carries out the actions
//! of the decision cores.

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
use crate::settings::{core_settings, micros_from_milliseconds, micros_from_seconds, DEADLINE};
use crate::timeline::Outcome;
use crate::topology::Topology;
use grebehook_core::{Action, Event, Micros, RequestId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Simulated time at the start of a simulation, in microseconds.
const START: Micros = 1_000_000;
/// Period over which the starts of the gateways are spread, so that their ticks do not coincide; in
/// microseconds.
const START_SPREAD: Micros = 100_000;
/// Time that a gateway may take to respond after the deadline of a request, in microseconds.
pub(super) const RESPONSE_SLACK: Micros = 100_000;
/// Simulated time after the measurement period in which its last requests get their responses, in
/// microseconds.
const DRAIN_TIME: Micros = DEADLINE + 2 * RESPONSE_SLACK;
/// Number of events between two progress steps.
const EVENTS_PER_PROGRESS_STEP: u64 = 1_024;
/// Number of events between two memory checks.
const EVENTS_PER_MEMORY_CHECK: u64 = 1 << 16;
/// Wall-clock time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Fleet of hollow gateways with the network, servers, discovery, shared counter and clients around it.
pub struct Simulation {
    /// Experiment that is simulated.
    pub(super) experiment: Experiment,
    /// Placement of servers and gateways.
    pub(super) topology: Topology,
    /// Network between servers, gateways and the home region.
    pub(super) network: Network,
    /// Future events.
    pub(super) queue: EventQueue,
    /// Current simulated time, in microseconds.
    pub(super) now: Micros,
    /// Start of the measurement period, in microseconds.
    pub(super) measurement_start: Micros,
    /// End of the measurement period, in microseconds.
    pub(super) measurement_end: Micros,
    /// Gateways by index.
    pub(super) gateways: Vec<HollowGateway>,
    /// Servers that the gateways send attempts to.
    pub(super) servers: Servers,
    /// Endpoint list at the origin of discovery.
    pub(super) endpoints: EndpointHistory,
    /// Shared counter that the gateways call.
    pub(super) counter: SharedCounter,
    /// Clients of all tenants.
    pub(super) clients: Clients,
    /// Requests without a response.
    pub(super) pending: BTreeMap<RequestId, PendingRequest>,
    /// Measurements of the simulation so far.
    pub(super) measurements: Measurements,
    /// Random numbers of everything outside the decision cores.
    pub(super) rng: ChaCha8Rng,
    /// Whether discovery leaves calls unanswered.
    pub(super) discovery_unresponsive: bool,
    /// Newest version of the configuration.
    pub(super) configuration_version: u32,
    /// Time at which the newest configuration was published, in microseconds.
    pub(super) configuration_published_at: Micros,
    /// Id of the newest request; ids are consecutive.
    pub(super) last_request_id: u64,
    /// Progress shared with the thread that watches the run.
    progress: Progress,
}

impl Simulation {
    /// Returns a simulation at its start.
    pub fn new(experiment: Experiment, progress: Progress) -> Result<Simulation> {
        let topology = Topology::new(&experiment.fleet);
        let servers = experiment.fleet.servers();
        let measurement_start = START + START_SPREAD + micros_from_seconds(experiment.load.warm_up_seconds);
        let rules = core_settings(&experiment, 0, 0).rules;
        let inter_region_delay = micros_from_milliseconds(experiment.discovery.region_milliseconds) / 2;
        let mut simulation = Simulation {
            network: Network::new(topology.clone(), inter_region_delay),
            queue: EventQueue::default(),
            now: START,
            measurement_start,
            measurement_end: measurement_start + micros_from_seconds(experiment.load.duration_seconds),
            gateways: (0..experiment.fleet.gateways).map(HollowGateway::new).collect(),
            servers: Servers::new(servers, &experiment.backend, rules),
            endpoints: EndpointHistory::new(topology.clone(), servers, experiment.discovery.history),
            counter: SharedCounter::new(&experiment.counter),
            clients: Clients::new(&experiment.fleet, &experiment.load),
            pending: BTreeMap::new(),
            measurements: Measurements::new(measurement_start),
            rng: ChaCha8Rng::seed_from_u64(experiment.seed),
            discovery_unresponsive: false,
            configuration_version: 0,
            configuration_published_at: START,
            last_request_id: 0,
            progress,
            topology,
            experiment,
        };
        simulation.schedule_initial_events();
        Ok(simulation)
    }

    /// Schedules the events that are known in advance.
    fn schedule_initial_events(&mut self) {
        let gateways = self.gateways.len() as u64;
        for gateway in 0..self.gateways.len() {
            let at = START + START_SPREAD * gateway as u64 / gateways;
            self.queue.push(at, SimulationEvent::StartGateway { gateway });
        }
        self.queue.push(START + START_SPREAD, SimulationEvent::RequestArrived);
        self.queue.push(self.measurement_start, SimulationEvent::BeginMeasurement);
        self.queue.push(self.measurement_end, SimulationEvent::EndMeasurement);
        self.schedule_faults();
    }

    /// Runs to the end of the measurement period and for `DRAIN_TIME` longer, so that the last requests get
    /// their responses.
    pub fn run(&mut self) -> Result<()> {
        let mut events = 0_u64;
        let mut logged_at = Instant::now();
        while let Some((at, event)) = self.queue.pop() {
            if at > self.measurement_end + DRAIN_TIME {
                break;
            }
            self.now = at;
            self.dispatch(event)?;
            events += 1;
            if events.is_multiple_of(EVENTS_PER_PROGRESS_STEP) {
                self.progress.step()?;
            }
            if events.is_multiple_of(EVENTS_PER_MEMORY_CHECK) {
                check_memory(0)?;
            }
            if logged_at.elapsed() >= LOG_INTERVAL {
                logged_at = Instant::now();
                let simulated_seconds = (at - START) as f64 / 1e6;
                tracing::info!(simulated_seconds, events, "simulation in progress");
            }
        }
        Ok(())
    }

    /// Dispatches an event to its handler.
    fn dispatch(&mut self, event: SimulationEvent) -> Result<()> {
        match event {
            SimulationEvent::RequestArrived => self.handle_request_arrival(),
            SimulationEvent::BeginMeasurement => self.begin_measurement(),
            SimulationEvent::EndMeasurement => self.end_measurement(),
            SimulationEvent::TimerFired { incarnation, timer } => {
                self.deliver(incarnation, Event::Timer { timer });
            }
            SimulationEvent::AttemptEnded { incarnation, request, attempt } => {
                self.handle_attempt_end(incarnation, request, attempt);
            }
            SimulationEvent::CounterReplied { incarnation, counter, called_at, result } => {
                self.handle_counter_reply(incarnation, counter, called_at, result);
            }
            SimulationEvent::AgentUpdated { gateway, version } => self.handle_agent_update(gateway, version),
            SimulationEvent::WatchTimedOut { incarnation, watch } => {
                self.handle_watch_timeout(incarnation, watch);
            }
            SimulationEvent::ConfigurationArrived { gateway, version } => {
                self.handle_configuration_arrival(gateway, version);
            }
            SimulationEvent::GossipArrived { to, from, message } => {
                self.deliver(self.gateways[to].incarnation(), Event::GossipReceived { from, message });
            }
            SimulationEvent::PublishServers { servers } => self.publish_servers(&servers),
            SimulationEvent::RestartServer { server } => self.restart_servers(&[server]),
            SimulationEvent::PublishConfiguration => self.publish_configuration(),
            SimulationEvent::KillGateway { gateway } => self.kill_gateway(gateway),
            SimulationEvent::StartGateway { gateway } => self.start_gateway(gateway)?,
            SimulationEvent::UpdateLoadBalancer { gateway } => self.update_load_balancer(gateway),
            SimulationEvent::BeginFault { fault } => self.begin_fault(fault),
            SimulationEvent::EndFault { fault } => self.end_fault(fault),
            SimulationEvent::ClientTimedOut { request } => self.handle_client_timeout(request)?,
        }
        Ok(())
    }

    /// Begins the measurement period and discards the counts of the warm-up.
    fn begin_measurement(&mut self) {
        self.measurements.begin();
        self.clients.take_hot_units();
    }

    /// Ends the measurement period and records the units served to hot tenants in it.
    fn end_measurement(&mut self) {
        let hot_units = self.clients.take_hot_units();
        self.measurements.end(hot_units);
    }

    /// Passes an event to a gateway's decision core and carries out the resulting actions.
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

    /// Carries out an action of a decision core.
    fn perform(&mut self, incarnation: Incarnation, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send_attempt(incarnation, id, server, timeout),
            Action::Reject { id, .. } => self.respond(incarnation, id, Outcome::Rejected),
            Action::Fail { id, .. } => self.respond(incarnation, id, Outcome::Failed),
            Action::Cancel { id, attempt } => self.cancel_attempt(incarnation, id, attempt),
            Action::Timer { at, timer } => {
                self.queue.push(at.max(self.now), SimulationEvent::TimerFired { incarnation, timer });
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
        self.queue.push(arrives_at, SimulationEvent::GossipArrived { to, from, message });
    }
}
