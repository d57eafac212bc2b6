//! One gateway with a clock and pending timers, for scripted event sequences.

use super::actions::forwarded_to;
use super::events::{arrival, attempt_report, endpoint_snapshot};
use super::SECOND;
use grebehook_core::{
    Action, AttemptReport, AttemptStatus, Endpoint, Event, Gateway, Micros, RequestArrival, RequestId,
    ServerId, Settings, TimerId,
};

/// Seed of the gateway's random numbers.
const SEED: u64 = 11;

/// An action and when it was taken.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedAction {
    /// When.
    pub at: Micros,
    /// What.
    pub action: Action,
}

/// A gateway with its clock and its pending timers.
pub struct TestGateway {
    /// The gateway.
    pub gateway: Gateway,
    /// Its clock.
    pub now: Micros,
    /// Timers that have not fallen due, each with its time.
    timers: Vec<(Micros, TimerId)>,
    /// The number of the last request.
    last_request: u64,
}

impl TestGateway {
    /// A gateway that starts at one second with the given servers listed.
    pub fn new(settings: Settings, endpoints: &[Endpoint]) -> TestGateway {
        let gateway = Gateway::new(settings, SEED, SECOND).expect("valid settings");
        let mut gateway = TestGateway { gateway, now: SECOND, timers: Vec::new(), last_request: 0 };
        gateway.handle(endpoint_snapshot(endpoints.to_vec()));
        gateway
    }

    /// Hands in an event now; returns the actions other than timers, which are set.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Timer { at, timer } = action {
                self.timers.push((*at, *timer));
            }
        }
        actions.retain(|action| !matches!(action, Action::Timer { .. }));
        actions
    }

    /// Advances the clock to `end`, firing the timers that fall due by then; returns what was done.
    pub fn run_until(&mut self, end: Micros) -> Vec<TimedAction> {
        let mut done = Vec::new();
        while let Some((due, timer)) = self.timers.iter().copied().filter(|(due, _)| *due <= end).min() {
            self.timers.retain(|(_, pending)| *pending != timer);
            self.now = self.now.max(due);
            let actions = self.handle(Event::Timer { timer });
            done.extend(actions.into_iter().map(|action| TimedAction { at: self.now, action }));
        }
        self.now = self.now.max(end);
        done
    }

    /// Advances the clock by `span`; returns the actions without their times.
    pub fn run_for(&mut self, span: Micros) -> Vec<Action> {
        self.run_until(self.now + span).into_iter().map(|timed| timed.action).collect()
    }

    /// A request of class 0 whose client waits for two seconds.
    pub fn request(&mut self, customer: u64) -> (RequestId, Vec<Action>) {
        self.request_in_class(0, customer, 2 * SECOND)
    }

    /// A request of the class whose client waits for `client_timeout`.
    pub fn request_in_class(
        &mut self,
        class: usize,
        customer: u64,
        client_timeout: Micros,
    ) -> (RequestId, Vec<Action>) {
        self.last_request += 1;
        let request = RequestArrival { class, client_timeout, ..arrival(self.last_request, customer) };
        (request.id, self.handle(Event::RequestArrived(request)))
    }

    /// Runs a request to its end, each attempt ending as `status` says of its server; returns the servers tried.
    pub fn run_request(
        &mut self,
        customer: u64,
        status: impl Fn(ServerId) -> AttemptStatus,
    ) -> Vec<ServerId> {
        let (id, mut actions) = self.request(customer);
        let mut tried = Vec::new();
        while let Some(server) = forwarded_to(&actions) {
            actions = self.complete_attempt(id, tried.len() as u32, server, status(server));
            tried.push(server);
        }
        tried
    }

    /// Ends an attempt after 30 ms.
    pub fn complete_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        status: AttemptStatus,
    ) -> Vec<Action> {
        let report = AttemptReport { attempt, ..attempt_report(id, server, status) };
        self.handle(Event::AttemptCompleted(report))
    }
}
