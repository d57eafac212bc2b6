//! Requests in the event loop, from their arrival to their response.

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
    /// A client sends a request, and the next one is scheduled.
    pub(super) fn request_arrives(&mut self) {
        let Some(gap) = self.clients.next_arrival(&mut self.rng) else { return };
        if self.now + gap < self.measure_until {
            self.queue.push(self.now + gap, SimulationEvent::RequestArrives);
        }
        let tenant = self.clients.draw_tenant(&mut self.rng);
        let hot = self.clients.is_hot(tenant);
        self.last_request += 1;
        self.measurements.record_arrival(self.now, hot);
        match self.balance(tenant).filter(|gateway| self.gateways[*gateway].core.is_some()) {
            Some(gateway) => self.accept(RequestId(self.last_request), tenant, gateway),
            None => self.measurements.record_outcome(self.now, Outcome::Lost, hot),
        }
    }

    /// The gateway that the load balancer sends a tenant's request to: the first one not marked down, from a random one
    /// of the tenant's set on.
    fn balance(&mut self, tenant: usize) -> Option<usize> {
        let set = self.clients.gateways_of(tenant);
        let start = self.rng.random_range(0..set.count);
        let mut gateways =
            (0..set.count).map(|k| (set.first + (start + k) % set.count) % self.gateways.len());
        gateways.find(|gateway| !self.gateways[*gateway].marked_down)
    }

    /// A gateway accepts a request.
    fn accept(&mut self, id: RequestId, tenant: usize, gateway: usize) {
        let pending = PendingRequest { tenant, sent_at: self.now, gateway, attempted: false };
        self.pending.insert(id, pending);
        self.gateways[gateway].requests.insert(id, HostedRequest::default());
        let times_out_at = self.now + DEADLINE + RESPONSE_SLACK;
        self.queue.push(times_out_at, SimulationEvent::ClientTimesOut { request: id });
        let set = self.clients.gateways_of(tenant);
        let arrival = RequestArrival {
            customer_gateway_count: set.count,
            first_gateway: set.first,
            ..request_arrival(id, CustomerId(tenant as u64))
        };
        self.deliver(self.gateways[gateway].incarnation(), Event::RequestArrived(arrival));
    }

    /// A client has waited too long: no gateway that runs may leave a request without a response.
    pub(super) fn client_times_out(&mut self, id: RequestId) -> Result<()> {
        let Some(request) = self.pending.remove(&id) else { return Ok(()) };
        Err(LaboratoryError::GatewayStalled {
            gateway: request.gateway,
            at_seconds: self.now.saturating_sub(self.measure_from) as f64 / 1e6,
            symptom: "a request had no answer by its deadline".to_owned(),
        })
    }

    /// A client gets its response.
    pub(super) fn respond(&mut self, incarnation: Incarnation, id: RequestId, outcome: Outcome) {
        self.finish_pending(id, outcome);
        if let Some(request) = self.gateways[incarnation.gateway].requests.get_mut(&id) {
            request.finished = true;
        }
        if outcome != Outcome::Served {
            self.forget_if_over(incarnation.gateway, id);
        }
    }

    /// A client waits no longer.
    pub(super) fn finish_pending(&mut self, id: RequestId, outcome: Outcome) {
        if let Some(request) = self.pending.remove(&id) {
            let hot = self.clients.is_hot(request.tenant);
            self.measurements.record_outcome(request.sent_at, outcome, hot);
        }
    }

    /// Forgets a request to which nothing more happens.
    pub(super) fn forget_if_over(&mut self, gateway: usize, id: RequestId) {
        let requests = &mut self.gateways[gateway].requests;
        if requests.get(&id).is_some_and(HostedRequest::is_over) {
            requests.remove(&id);
        }
    }
}
