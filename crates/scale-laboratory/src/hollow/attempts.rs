//! Attempts in the event loop, from their send to their end.

use super::event_queue::{Incarnation, SimulationEvent};
use super::gateway::Attempt;
use super::servers::ServerResponse;
use super::simulation::Simulation;
use crate::settings::CONNECT_TIMEOUT;
use crate::timeline::Outcome;
use grebehook_core::{AttemptReport, AttemptStatus, Event, Micros, RequestId, ServerId};

impl Simulation {
    /// Sends an attempt; how and when it ends is known at once, unless the server stops before.
    pub(super) fn send_attempt(
        &mut self,
        incarnation: Incarnation,
        id: RequestId,
        server: ServerId,
        timeout: Micros,
    ) {
        let server = server.0 as usize;
        let response = self.response(incarnation.gateway, server, timeout);
        let Some(request) = self.gateways[incarnation.gateway].requests.get_mut(&id) else { return };
        request.attempts.push(Attempt {
            server,
            server_incarnation: self.servers.get(server).incarnation,
            sent_at: self.now,
            timeout,
            status: response.status,
            in_flight: true,
        });
        let attempt = request.attempts.len() as u32 - 1;
        self.measurements.record_attempt(server, incarnation.gateway);
        self.queue.push(response.at, SimulationEvent::AttemptEnds { incarnation, request: id, attempt });
        if let Some(pending) = self.pending.get_mut(&id).filter(|pending| !pending.attempted) {
            pending.attempted = true;
            self.measurements.record_queueing_time(self.now - pending.sent_at);
        }
    }

    /// What the gateway sees of an attempt that it sends now.
    fn response(&mut self, gateway: usize, server: usize, timeout: Micros) -> ServerResponse {
        let delay = self.network.delay_to_server(gateway, server);
        let reachable = self.servers.get(server).running && self.network.reaches_server(gateway, server);
        let response = if reachable {
            let response = self.servers.serve(self.now + delay, server, &mut self.rng);
            ServerResponse { at: response.at + delay, ..response }
        } else {
            ServerResponse { at: self.now + CONNECT_TIMEOUT, status: AttemptStatus::ConnectFailed }
        };
        if response.at > self.now.saturating_add(timeout) {
            return ServerResponse { at: self.now + timeout, status: AttemptStatus::Timeout };
        }
        response
    }

    /// An attempt is due to end. If its server stopped or cannot be reached any more, it ends at its timeout instead.
    pub(super) fn attempt_ends(&mut self, incarnation: Incarnation, id: RequestId, number: u32) {
        let gateway = &mut self.gateways[incarnation.gateway];
        if !gateway.is_running(incarnation) {
            return;
        }
        let Some(request) = gateway.requests.get_mut(&id) else { return };
        let finished = request.finished;
        let Some(attempt) = request.attempt_in_flight(number) else { return };
        let server_stopped = self.servers.get(attempt.server).incarnation != attempt.server_incarnation;
        let unreachable = !self.network.reaches_server(incarnation.gateway, attempt.server);
        if attempt.status == AttemptStatus::Ok && (server_stopped || unreachable) {
            attempt.status = AttemptStatus::Timeout;
            let at = attempt.sent_at.saturating_add(attempt.timeout).max(self.now);
            let event = SimulationEvent::AttemptEnds { incarnation, request: id, attempt: number };
            return self.queue.push(at, event);
        }
        attempt.in_flight = false;
        let attempt = *attempt;
        let served = attempt.status == AttemptStatus::Ok;
        let reported_usage = if served { self.serve(id, attempt.server) } else { None };
        if served && !finished {
            self.respond(incarnation, id, Outcome::Served);
        }
        let report = AttemptReport {
            id,
            attempt: number,
            server: ServerId(attempt.server as u64),
            status: attempt.status,
            elapsed: self.now - attempt.sent_at,
            request_finished: served || finished,
            reported_usage,
            settled_units: None,
            load_report: None,
        };
        self.deliver(incarnation, Event::AttemptCompleted(report));
        self.forget_if_over(incarnation.gateway, id);
    }

    /// A server has served a request: records its tenant's usage and returns what the response reports of it.
    fn serve(&mut self, id: RequestId, server: usize) -> Option<f64> {
        let tenant = self.pending.get(&id)?.tenant;
        let region = self.topology.region_of_server(server);
        let reaches = |other| self.network.reaches(region, other);
        let reported_usage = self.clients.reported_usage(self.now, tenant, reaches);
        self.clients.record_usage(self.now, tenant, region);
        reported_usage
    }

    /// Cancels an attempt.
    pub(super) fn cancel_attempt(&mut self, incarnation: Incarnation, id: RequestId, number: u32) {
        let Some(request) = self.gateways[incarnation.gateway].requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempt_in_flight(number) else { return };
        attempt.status = AttemptStatus::Cancelled;
        let event = SimulationEvent::AttemptEnds { incarnation, request: id, attempt: number };
        self.queue.push(self.now, event);
    }
}
