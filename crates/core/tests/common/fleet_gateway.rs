//! One gateway of a fleet, which receives events at times that the test chooses.

use super::actions::forwarded_to;
use super::events::{arrival, attempt_report, endpoint_snapshot, in_flight_report, tick};
use super::settings::endpoints;
use super::{MILLISECOND, SECOND};
use grebehook_core::{
    Action, AttemptReport, AttemptStatus, Endpoint, Event, Gateway, Micros, RequestArrival, RequestId,
    ServerId, Settings,
};

/// A gateway whose caller supplies the time of each event. All gateways of the fleet serve each of its
/// customers.
pub struct FleetGateway {
    /// Decision core under test.
    pub core: Gateway,
    /// Number of gateways in the fleet.
    gateway_count: usize,
}

impl FleetGateway {
    /// Creates a gateway that starts at one second and has received an endpoint list of servers 1 to 10.
    pub fn start(settings: Settings, seed: u64) -> FleetGateway {
        FleetGateway::start_at(SECOND, settings, seed, endpoints(1..=10))
    }

    /// Creates a gateway that starts at `now` and has received the given endpoint list.
    pub fn start_at(now: Micros, settings: Settings, seed: u64, endpoints: Vec<Endpoint>) -> FleetGateway {
        let gateway_count = settings.gateway_count;
        let core = Gateway::new(settings, seed, now).expect("settings are valid");
        let mut gateway = FleetGateway { core, gateway_count };
        gateway.handle(now, endpoint_snapshot(endpoints));
        gateway
    }

    /// Delivers an event and returns all actions, timers included.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.core.handle(now, event, &mut actions);
        actions
    }

    /// Delivers the periodic tick and returns all actions.
    pub fn tick(&mut self, now: Micros) -> Vec<Action> {
        self.handle(now, tick())
    }

    /// Returns a default request from a customer that all gateways of the fleet serve.
    pub fn arrival(&self, id: u64, customer: u64) -> RequestArrival {
        RequestArrival { customer_gateway_count: self.gateway_count, ..arrival(id, customer) }
    }

    /// Delivers a default request and returns all actions.
    pub fn request(&mut self, now: Micros, id: u64, customer: u64) -> Vec<Action> {
        let request = self.arrival(id, customer);
        self.handle(now, Event::RequestArrived(request))
    }

    /// Delivers a default request and, if it is queued, fires the timer of its pacing delay. Returns the
    /// server to which it is forwarded.
    pub fn forward(&mut self, now: Micros, id: u64, customer: u64) -> Option<ServerId> {
        let request = self.arrival(id, customer);
        self.forward_request(now, request)
    }

    /// Delivers the given request, as [`Self::forward`] does a default one.
    pub fn forward_request(&mut self, now: Micros, request: RequestArrival) -> Option<ServerId> {
        let mut actions = self.handle(now, Event::RequestArrived(request));
        let queue_timer = actions.iter().find_map(|action| match action {
            Action::Timer { at, timer } if *at < now + SECOND => Some((*at, *timer)),
            _ => None,
        });
        if let Some((at, timer)) = queue_timer.filter(|_| forwarded_to(&actions).is_none()) {
            self.core.handle(at, Event::Timer { timer }, &mut actions);
        }
        forwarded_to(&actions)
    }

    /// Delivers the success of a first attempt that took 50 ms. The response reports the customer's usage and
    /// an idle server.
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
