//! One gateway of a fleet, handed events at times that the test chooses.

use super::actions::forwarded_to;
use super::events::{arrival, attempt_report, endpoint_snapshot, in_flight_report, tick};
use super::settings::endpoints;
use super::{MILLISECOND, SECOND};
use grebehook_core::{
    Action, AttemptReport, AttemptStatus, Endpoint, Event, Gateway, Micros, RequestArrival, RequestId,
    ServerId, Settings,
};

/// A gateway without a clock of its own; its customers use all gateways of the fleet.
pub struct FleetGateway {
    /// The gateway.
    pub gateway: Gateway,
    /// The fleet's size.
    gateway_count: usize,
}

impl FleetGateway {
    /// A gateway that starts at one second with servers 1 to 10 listed.
    pub fn start(settings: Settings, seed: u64) -> FleetGateway {
        FleetGateway::start_at(SECOND, settings, seed, endpoints(1..=10))
    }

    /// A gateway that starts at `now` with the given servers listed.
    pub fn start_at(now: Micros, settings: Settings, seed: u64, endpoints: Vec<Endpoint>) -> FleetGateway {
        let gateway_count = settings.gateway_count;
        let gateway = Gateway::new(settings, seed, now).expect("valid settings");
        let mut gateway = FleetGateway { gateway, gateway_count };
        gateway.handle(now, endpoint_snapshot(endpoints));
        gateway
    }

    /// Hands in an event; returns all actions.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(now, event, &mut actions);
        actions
    }

    /// The regular tick.
    pub fn tick(&mut self, now: Micros) -> Vec<Action> {
        self.handle(now, tick())
    }

    /// A request as this fleet's clients send it.
    pub fn arrival(&self, id: u64, customer: u64) -> RequestArrival {
        RequestArrival { customer_gateway_count: self.gateway_count, ..arrival(id, customer) }
    }

    /// A request arrives; returns all actions.
    pub fn request(&mut self, now: Micros, id: u64, customer: u64) -> Vec<Action> {
        let request = self.arrival(id, customer);
        self.handle(now, Event::RequestArrived(request))
    }

    /// A request arrives and, if it is queued, its delay passes; returns where it is forwarded to.
    pub fn forward(&mut self, now: Micros, id: u64, customer: u64) -> Option<ServerId> {
        let request = self.arrival(id, customer);
        self.forward_request(now, request)
    }

    /// [`Self::forward`] for any request.
    pub fn forward_request(&mut self, now: Micros, request: RequestArrival) -> Option<ServerId> {
        let mut actions = self.handle(now, Event::RequestArrived(request));
        let queue_timer = actions.iter().find_map(|action| match action {
            Action::Timer { at, timer } if *at < now + SECOND => Some((*at, *timer)),
            _ => None,
        });
        if let Some((at, timer)) = queue_timer.filter(|_| forwarded_to(&actions).is_none()) {
            self.gateway.handle(at, Event::Timer { timer }, &mut actions);
        }
        forwarded_to(&actions)
    }

    /// A first attempt succeeds after 50 ms at an idle server, with the customer's reported usage.
    pub fn complete(&mut self, now: Micros, id: u64, server: ServerId, reported_usage: f64) -> Vec<Action> {
        let report = AttemptReport {
            elapsed: 50 * MILLISECOND,
            reported_usage: Some(reported_usage),
            load_report: Some(in_flight_report(0.0)),
            ..attempt_report(RequestId(id), server, AttemptStatus::Ok)
        };
        self.handle(now, Event::AttemptCompleted(report))
    }
}
