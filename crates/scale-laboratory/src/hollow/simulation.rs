//! The event loop: takes what happens in the order of its times and carries out what the decision cores want.

use super::clients::{Clients, PendingRequest};
use super::counter::Counter;
use super::gateway::{Attempt, HeldRequest, HollowGateway};
use super::network::Network;
use super::queue::{GatewayLife, Occurrence, Queue};
use super::relay::Relay;
use super::servers::Servers;
use super::tally::Tally;
use crate::error::{LaboratoryError, Result};
use crate::experiment::Experiment;
use crate::memory::check_held;
use crate::progress::Progress;
use crate::settings::{core_settings, micros, CONNECT_TIMEOUT, DEADLINE};
use crate::timeline::Ending;
use crate::topology::Topology;
use grebehook_core::{
    Action, AttemptReport, AttemptStatus, CustomerId, Event, Micros, RequestArrival, RequestId, ServerId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Instant;

/// When a simulation begins.
const START: Micros = 1_000_000;
/// Gateways start within this time, so that their rounds are not in step.
const START_SPREAD: Micros = 100_000;
/// An answer may come so long after the client's deadline.
const ANSWER_SLACK: Micros = 100_000;
/// Occurrences between two signs of progress, and between two checks of memory.
const STEP: u64 = 1_024;
const MEMORY_STEP: u64 = 1 << 16;
/// Seconds of wall time between two lines of the log.
const REPORT_SECONDS: u64 = 5;

/// A fleet of hollow gateways and all that surrounds it.
pub struct Simulation {
    pub(super) experiment: Experiment,
    pub(super) topology: Topology,
    pub(super) network: Network,
    pub(super) queue: Queue,
    pub(super) now: Micros,
    pub(super) measure_at: Micros,
    pub(super) ends_at: Micros,
    pub(super) gateways: Vec<HollowGateway>,
    pub(super) servers: Servers,
    pub(super) relay: Relay,
    pub(super) counter: Counter,
    pub(super) clients: Clients,
    pub(super) pending: BTreeMap<RequestId, PendingRequest>,
    pub(super) tally: Tally,
    pub(super) rng: ChaCha8Rng,
    pub(super) discovery_silent: bool,
    pub(super) configuration: u32,
    pub(super) configuration_at: Micros,
    pub(super) hot_units: f64,
    next_request: u64,
    progress: Progress,
}

impl Simulation {
    /// A fleet at its start.
    pub fn new(experiment: Experiment, progress: Progress) -> Result<Simulation> {
        let topology = Topology::new(&experiment.fleet);
        let servers = experiment.fleet.servers();
        let measure_at = START + START_SPREAD + micros(experiment.load.warm_up_seconds * 1e3);
        let ends_at = measure_at + micros(experiment.load.duration_seconds * 1e3);
        let rules = core_settings(&experiment, 0, 0).rules;
        let between_regions = micros(experiment.discovery.region_milliseconds) / 2;
        let mut simulation = Simulation {
            network: Network::new(topology.clone(), between_regions),
            queue: Queue::default(),
            now: START,
            measure_at,
            ends_at,
            gateways: (0..experiment.fleet.gateways).map(HollowGateway::new).collect(),
            servers: Servers::new(servers, &experiment.backend, rules),
            relay: Relay::new(topology.clone(), servers, experiment.discovery.history),
            counter: Counter::new(&experiment.counter),
            clients: Clients::new(&experiment.fleet, &experiment.load),
            pending: BTreeMap::new(),
            tally: Tally::new(measure_at),
            rng: ChaCha8Rng::seed_from_u64(experiment.seed),
            discovery_silent: false,
            configuration: 0,
            configuration_at: START,
            hot_units: 0.0,
            next_request: 1,
            progress,
            topology,
            experiment,
        };
        simulation.schedule_all();
        Ok(simulation)
    }

    fn schedule_all(&mut self) {
        let gateways = self.gateways.len() as u64;
        for gateway in 0..self.gateways.len() {
            let at = START + START_SPREAD * gateway as u64 / gateways;
            self.queue.push(at, Occurrence::GatewayStarts(gateway));
        }
        self.queue.push(START + START_SPREAD, Occurrence::Arrival);
        self.queue.push(self.measure_at, Occurrence::MeasureBegins);
        self.queue.push(self.ends_at, Occurrence::MeasureEnds);
        self.schedule_faults();
    }

    /// Plays to the end of the measured time.
    pub fn run(&mut self) -> Result<()> {
        let (mut steps, mut reported) = (0_u64, Instant::now());
        while let Some((at, occurrence)) = self.queue.pop() {
            // A little longer, so that the last requests have their answers.
            if at > self.ends_at + DEADLINE + 2 * ANSWER_SLACK {
                break;
            }
            self.now = at;
            self.take(occurrence)?;
            steps += 1;
            if steps.is_multiple_of(STEP) {
                self.progress.step()?;
            }
            if steps.is_multiple_of(MEMORY_STEP) {
                check_held(0)?;
            }
            if reported.elapsed().as_secs() >= REPORT_SECONDS {
                reported = Instant::now();
                let simulated = (at - START) as f64 / 1e6;
                tracing::info!(simulated_seconds = simulated, occurrences = steps, "simulating");
            }
        }
        Ok(())
    }

    fn take(&mut self, occurrence: Occurrence) -> Result<()> {
        match occurrence {
            Occurrence::Arrival => self.arrival(),
            Occurrence::MeasureBegins => self.measure_begins(),
            Occurrence::MeasureEnds => self.measure_ends(),
            Occurrence::GatewayTimer(life, timer) => self.event(life, Event::Timer { timer }),
            Occurrence::AttemptEnds(life, id, attempt) => self.attempt_ends(life, id, attempt),
            Occurrence::CounterAnswers(life, counter, asked, end) => {
                self.counter_answers(life, counter, asked, end);
            }
            Occurrence::AgentLearns(gateway, version) => self.agent_learns(gateway, version),
            Occurrence::WatchExpires(life, watch) => self.watch_expires(life, watch),
            Occurrence::ConfigurationArrives(gateway, version) => {
                self.configuration_arrives(gateway, version);
            }
            Occurrence::PeerArrives(to, from, data) => {
                self.event(self.gateways[to].this_life(), Event::GossipReceived { from, message: data });
            }
            Occurrence::MembersChange(servers) => self.members_change(&servers),
            Occurrence::ScheduledChange(server) => self.scheduled_change(server),
            Occurrence::ConfigurationChange => self.publish_configuration(),
            Occurrence::GatewayKilled(gateway) => self.kill_gateway(gateway),
            Occurrence::GatewayStarts(gateway) => self.start_gateway(gateway)?,
            Occurrence::FrontNotices(gateway) => self.front_notices(gateway),
            Occurrence::FaultBegins(fault) => self.fault_begins(fault),
            Occurrence::FaultEnds(fault) => self.fault_ends(fault),
            Occurrence::PatienceEnds(id) => self.patience_ends(id)?,
        }
        Ok(())
    }

    fn measure_begins(&mut self) {
        self.tally.measure();
        self.clients.take_hot_units();
    }

    fn measure_ends(&mut self) {
        self.tally.close();
        self.hot_units = self.clients.take_hot_units();
    }

    fn arrival(&mut self) {
        let Some(gap) = self.clients.next_arrival(&mut self.rng) else { return };
        if self.now + gap < self.ends_at {
            self.queue.push(self.now + gap, Occurrence::Arrival);
        }
        let tenant = self.clients.draw_tenant(&mut self.rng);
        let (first, spread) = self.clients.gateways_of(tenant);
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let hot = self.clients.is_hot(tenant);
        self.tally.sent(self.now, hot);
        let start = self.rng.random_range(0..spread);
        let count = self.gateways.len();
        let set = (0..spread).map(|k| (first + (start + k) % spread) % count);
        let Some(gateway) = set.into_iter().find(|g| !self.gateways[*g].noticed_down) else {
            return self.tally.ended(self.now, Ending::Lost, hot);
        };
        if self.gateways[gateway].core.is_none() {
            return self.tally.ended(self.now, Ending::Lost, hot);
        }
        self.pending.insert(id, PendingRequest { tenant, sent: self.now, gateway, attempted: false });
        self.gateways[gateway].requests.insert(id, HeldRequest::default());
        self.queue.push(self.now + DEADLINE + ANSWER_SLACK, Occurrence::PatienceEnds(id));
        let life = self.gateways[gateway].this_life();
        self.event(
            life,
            Event::RequestArrived(RequestArrival {
                id,
                class: 0,
                plan: 0,
                customer: CustomerId(tenant as u64),
                client_timeout: DEADLINE,
                units: 1.0,
                customer_gateway_count: spread,
                first_gateway: first,
                is_retry: false,
                body_incomplete: false,
            }),
        );
    }

    /// No gateway that runs may leave a request without an answer.
    fn patience_ends(&mut self, id: RequestId) -> Result<()> {
        let Some(request) = self.pending.remove(&id) else { return Ok(()) };
        Err(LaboratoryError::GatewayStalled {
            gateway: request.gateway,
            at_seconds: (self.now.saturating_sub(self.measure_at)) as f64 / 1e6,
            symptom: "a request had no answer by its deadline".to_owned(),
        })
    }

    /// Hands an event to a gateway's core and carries out what it wants.
    pub(super) fn event(&mut self, life: GatewayLife, event: Event) {
        let gateway = &mut self.gateways[life.gateway];
        if !gateway.lives(life) {
            return;
        }
        let Some(core) = &mut gateway.core else { return };
        let mut actions = Vec::new();
        self.tally.counts.gateway_events += 1;
        core.handle(self.now, event, &mut actions);
        if gateway.stalled {
            return;
        }
        for action in actions {
            self.carry_out(life, action);
        }
    }

    fn carry_out(&mut self, life: GatewayLife, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(life, id, server, timeout),
            Action::Reject { id, .. } => self.answer(life, id, Ending::Refused),
            Action::Fail { id } => self.answer(life, id, Ending::Failed),
            Action::Cancel { id, attempt } => self.cancel(life, id, attempt),
            Action::Timer { at, timer } => {
                self.queue.push(at.max(self.now), Occurrence::GatewayTimer(life, timer));
            }
            Action::SendGossip { to, message: data } => self.tell(life, to, data),
            Action::AddToCounter { counter, amount, ttl } => self.count(life, counter, amount, ttl),
            Action::CheckHealth { .. } | Action::PollEndpoints | Action::Log { .. } => {}
        }
    }

    fn send(&mut self, life: GatewayLife, id: RequestId, server: ServerId, timeout: Micros) {
        let server = server.0 as usize;
        let one_way = self.network.to_server(life.gateway, server);
        let reachable = self.servers.get(server).present && self.network.reaches_server(life.gateway, server);
        let (ends, status) = if reachable {
            let service = self.servers.take(self.now + one_way, server, &mut self.rng);
            (service.finishes + one_way, service.status)
        } else {
            (self.now + CONNECT_TIMEOUT, AttemptStatus::ConnectFailed)
        };
        let in_time = ends <= self.now.saturating_add(timeout);
        let (ends, status) =
            if in_time { (ends, status) } else { (self.now + timeout, AttemptStatus::Timeout) };
        let epoch = self.servers.get(server).epoch;
        let attempt = Attempt { server, epoch, sent_at: self.now, timeout, status, in_flight: true };
        let Some(held) = self.gateways[life.gateway].requests.get_mut(&id) else { return };
        held.attempts.push(attempt);
        let number = held.attempts.len() as u32 - 1;
        self.tally.counts.attempts += 1;
        self.tally.senders.insert((server, life.gateway));
        self.queue.push(ends, Occurrence::AttemptEnds(life, id, number));
        if let Some(request) = self.pending.get_mut(&id).filter(|r| !r.attempted) {
            request.attempted = true;
            self.tally.holds.saturating_record(self.now - request.sent);
        }
    }

    fn attempt_ends(&mut self, life: GatewayLife, id: RequestId, number: u32) {
        let gateway = &mut self.gateways[life.gateway];
        if !gateway.lives(life) {
            return;
        }
        let Some(held) = gateway.requests.get_mut(&id) else { return };
        let Some(attempt) = held.attempts.get_mut(number as usize).filter(|a| a.in_flight) else { return };
        let answered = attempt.status == AttemptStatus::Ok;
        let server_gone = self.servers.get(attempt.server).epoch != attempt.epoch;
        if answered && (server_gone || !self.network.reaches_server(life.gateway, attempt.server)) {
            // Nothing comes back: the gateway waits for as long as it meant to.
            attempt.status = AttemptStatus::Timeout;
            let ends = attempt.sent_at.saturating_add(attempt.timeout).max(self.now);
            return self.queue.push(ends, Occurrence::AttemptEnds(life, id, number));
        }
        attempt.in_flight = false;
        let (server, status, sent, over) = (attempt.server, attempt.status, attempt.sent_at, held.over);
        let mut used = None;
        if answered {
            if let Some(tenant) = self.pending.get(&id).map(|r| r.tenant) {
                let region = self.topology.region_of_server(server);
                used = self.clients.used(self.now, tenant, |other| self.network.reaches(region, other));
                self.clients.book(self.now, tenant, region);
            }
        }
        if answered && !over {
            self.answer(life, id, Ending::Served);
        }
        self.event(
            life,
            Event::AttemptCompleted(AttemptReport {
                id,
                attempt: number,
                server: ServerId(server as u64),
                status,
                elapsed: self.now - sent,
                request_finished: answered || over,
                reported_usage: used,
                settled_units: None,
                load_report: None,
            }),
        );
        self.forget_if_over(life.gateway, id);
    }

    fn cancel(&mut self, life: GatewayLife, id: RequestId, number: u32) {
        let Some(held) = self.gateways[life.gateway].requests.get_mut(&id) else { return };
        let Some(attempt) = held.attempts.get_mut(number as usize).filter(|a| a.in_flight) else { return };
        attempt.status = AttemptStatus::Cancelled;
        self.queue.push(self.now, Occurrence::AttemptEnds(life, id, number));
    }

    /// A client has its answer.
    fn answer(&mut self, life: GatewayLife, id: RequestId, ending: Ending) {
        if let Some(request) = self.pending.remove(&id) {
            let hot = self.clients.is_hot(request.tenant);
            self.tally.ended(request.sent, ending, hot);
        }
        if let Some(held) = self.gateways[life.gateway].requests.get_mut(&id) {
            held.over = true;
        }
        if ending != Ending::Served {
            self.forget_if_over(life.gateway, id);
        }
    }

    fn forget_if_over(&mut self, gateway: usize, id: RequestId) {
        let requests = &mut self.gateways[gateway].requests;
        if requests.get(&id).is_some_and(|r| r.over && r.attempts.iter().all(|a| !a.in_flight)) {
            requests.remove(&id);
        }
    }

    fn tell(&mut self, life: GatewayLife, to: usize, data: Vec<u8>) {
        self.tally.counts.peer_messages += 1;
        self.tally.counts.peer_bytes += data.len() as u64;
        let arrives = self.now + self.network.to_gateway(life.gateway, to);
        self.queue.push(arrives, Occurrence::PeerArrives(to, life.gateway, data));
    }
}
