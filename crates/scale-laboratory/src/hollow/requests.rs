//! Event handlers for requests, from arrival to response.

use super::clients::PendingRequest;
use super::event_queue::{Incarnation, SimulationEvent};
use super::gateway::HostedRequest;
use super::simulation::{Simulation, RESPONSE_SLACK};
use crate::error::{LaboratoryError, Result};
use crate::settings::{request_arrival, DEADLINE};
use crate::timeline::Outcome;
use grebehook_core::{CustomerId, Event, RequestArrival, RequestId};
use rand::RngExt;

impl Simulation {
    /// Sends a client's request to a gateway and schedules the next arrival.
    pub(super) fn handle_request_arrival(&mut self) {
        let Some(gap) = self.clients.next_arrival(&mut self.rng) else { return };
        if self.now + gap < self.measurement_end {
            self.queue.push(self.now + gap, SimulationEvent::RequestArrived);
        }
        let tenant = self.clients.sample_tenant(&mut self.rng);
        let hot = self.clients.is_hot(tenant);
        self.last_request_id += 1;
        self.measurements.record_arrival(self.now, hot);
        match self.select_gateway(tenant).filter(|gateway| self.gateways[*gateway].core.is_some()) {
            Some(gateway) => self.accept_request(RequestId(self.last_request_id), tenant, gateway),
            None => self.measurements.record_outcome(self.now, Outcome::Lost, hot),
        }
    }

    /// Returns the gateway to which the load balancer routes a tenant's request: the first one of the
    /// tenant's set not marked down, searched from a random position.
    fn select_gateway(&mut self, tenant: usize) -> Option<usize> {
        let set = self.clients.gateway_set(tenant);
        let start = self.rng.random_range(0..set.count);
        let mut gateways =
            (0..set.count).map(|k| (set.first + (start + k) % set.count) % self.gateways.len());
        gateways.find(|gateway| !self.gateways[*gateway].marked_down)
    }

    /// Delivers a request to a gateway and schedules its timeout.
    fn accept_request(&mut self, id: RequestId, tenant: usize, gateway: usize) {
        let pending = PendingRequest { tenant, sent_at: self.now, gateway, attempted: false };
        self.pending.insert(id, pending);
        self.gateways[gateway].requests.insert(id, HostedRequest::default());
        let times_out_at = self.now + DEADLINE + RESPONSE_SLACK;
        self.queue.push(times_out_at, SimulationEvent::ClientTimedOut { request: id });
        let set = self.clients.gateway_set(tenant);
        let arrival = RequestArrival {
            customer_gateway_count: set.count,
            first_gateway: set.first,
            ..request_arrival(id, CustomerId(tenant as u64))
        };
        self.deliver(self.gateways[gateway].incarnation(), Event::RequestArrived(arrival));
    }

    /// Processes the timeout of a client. It fails the run if the request has no response, because a running
    /// gateway must respond to every request.
    pub(super) fn handle_client_timeout(&mut self, id: RequestId) -> Result<()> {
        let Some(request) = self.pending.remove(&id) else { return Ok(()) };
        Err(LaboratoryError::GatewayStalled {
            gateway: request.gateway,
            at_seconds: self.now.saturating_sub(self.measurement_start) as f64 / 1e6,
            symptom: "a request got no response by its deadline".to_owned(),
        })
    }

    /// Delivers a response to the client.
    pub(super) fn respond(&mut self, incarnation: Incarnation, id: RequestId, outcome: Outcome) {
        self.finish_pending(id, outcome);
        if let Some(request) = self.gateways[incarnation.gateway].requests.get_mut(&id) {
            request.finished = true;
        }
        if outcome != Outcome::Served {
            self.remove_if_complete(incarnation.gateway, id);
        }
    }

    /// Records the outcome of a request whose client no longer waits.
    pub(super) fn finish_pending(&mut self, id: RequestId, outcome: Outcome) {
        if let Some(request) = self.pending.remove(&id) {
            let hot = self.clients.is_hot(request.tenant);
            self.measurements.record_outcome(request.sent_at, outcome, hot);
        }
    }

    /// Removes a request that has its response and no attempt in flight.
    pub(super) fn remove_if_complete(&mut self, gateway: usize, id: RequestId) {
        let requests = &mut self.gateways[gateway].requests;
        if requests.get(&id).is_some_and(HostedRequest::is_complete) {
            requests.remove(&id);
        }
    }
}
