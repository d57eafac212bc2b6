//! Event handlers for attempts, from sending to completion.

use super::event_queue::{Incarnation, SimulationEvent};
use super::gateway::Attempt;
use super::servers::ServerResponse;
use super::simulation::Simulation;
use crate::settings::CONNECT_TIMEOUT;
use crate::timeline::Outcome;
use grebehook_core::{AttemptReport, AttemptStatus, Event, Micros, RequestId, ServerId};

impl Simulation {
    /// Sends an attempt and schedules its end. The result is computed in advance; `handle_attempt_end`
    /// revises it if the server stops or becomes unreachable meanwhile.
    pub(super) fn send_attempt(
        &mut self,
        incarnation: Incarnation,
        id: RequestId,
        server: ServerId,
        timeout: Micros,
    ) {
        let server = server.0 as usize;
        let response = self.compute_response(incarnation.gateway, server, timeout);
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
        self.queue.push(response.at, SimulationEvent::AttemptEnded { incarnation, request: id, attempt });
        if let Some(pending) = self.pending.get_mut(&id).filter(|pending| !pending.attempted) {
            pending.attempted = true;
            self.measurements.record_queueing_time(self.now - pending.sent_at);
        }
    }

    /// Returns when and how an attempt sent now ends for the gateway.
    fn compute_response(&mut self, gateway: usize, server: usize, timeout: Micros) -> ServerResponse {
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

    /// Ends an attempt. A successful attempt whose server has stopped or become unreachable since it was sent
    /// ends at its timeout instead.
    pub(super) fn handle_attempt_end(&mut self, incarnation: Incarnation, id: RequestId, number: u32) {
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
            let event = SimulationEvent::AttemptEnded { incarnation, request: id, attempt: number };
            return self.queue.push(at, event);
        }
        attempt.in_flight = false;
        let attempt = *attempt;
        let served = attempt.status == AttemptStatus::Ok;
        let reported_usage = if served { self.record_served_request(id, attempt.server) } else { None };
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
        self.remove_if_complete(incarnation.gateway, id);
    }

    /// Records the usage of a request that a server has served. Returns the tenant's usage that the response
    /// reports.
    fn record_served_request(&mut self, id: RequestId, server: usize) -> Option<f64> {
        let tenant = self.pending.get(&id)?.tenant;
        let region = self.topology.region_of_server(server);
        let reaches = |other| self.network.reaches(region, other);
        let reported_usage = self.clients.reported_usage(self.now, tenant, reaches);
        self.clients.record_usage(self.now, tenant, region);
        reported_usage
    }

    /// Cancels an attempt that is in flight.
    pub(super) fn cancel_attempt(&mut self, incarnation: Incarnation, id: RequestId, number: u32) {
        let Some(request) = self.gateways[incarnation.gateway].requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempt_in_flight(number) else { return };
        attempt.status = AttemptStatus::Cancelled;
        let event = SimulationEvent::AttemptEnded { incarnation, request: id, attempt: number };
        self.queue.push(self.now, event);
    }
}
