//! A gateway with a simulated clock and pending timers, for scripted event sequences.

use super::actions::forwarded_to;
use super::events::{arrival, attempt_report, endpoint_snapshot};
use super::SECOND;
use grebehook_core::{
    Action, AttemptReport, AttemptStatus, Endpoint, Event, Gateway, Micros, RequestArrival, RequestId,
    ServerId, Settings, TimerId,
};

/// Seed for the gateway's random numbers.
const SEED: u64 = 11;

/// An action with the time at which the gateway returned it.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedAction {
    /// Time of the action on the gateway's clock.
    pub at: Micros,
    /// The action that the gateway returned.
    pub action: Action,
}

/// A gateway with its simulated clock and its pending timers.
pub struct TestGateway {
    /// Decision core under test.
    pub core: Gateway,
    /// Current time on the gateway's clock.
    pub now: Micros,
    /// Timers that have not expired, with their expiry times.
    timers: Vec<(Micros, TimerId)>,
    /// Id of the most recent request.
    last_request_id: u64,
}

impl TestGateway {
    /// Creates a gateway that starts at one second and has received the given endpoint list.
    pub fn new(settings: Settings, endpoints: &[Endpoint]) -> TestGateway {
        let core = Gateway::new(settings, SEED, SECOND).expect("settings are valid");
        let mut gateway = TestGateway { core, now: SECOND, timers: Vec::new(), last_request_id: 0 };
        gateway.handle(endpoint_snapshot(endpoints.to_vec()));
        gateway
    }

    /// Delivers an event at the current time. Sets the timers that the gateway requests and returns its other
    /// actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Timer { at, timer } = action {
                self.timers.push((*at, *timer));
            }
        }
        actions.retain(|action| !matches!(action, Action::Timer { .. }));
        actions
    }

    /// Advances the clock to `end` and fires the timers that expire by then. Returns the gateway's actions
    /// other than timers.
    pub fn run_until(&mut self, end: Micros) -> Vec<TimedAction> {
        let mut timed_actions = Vec::new();
        while let Some((expires_at, timer)) =
            self.timers.iter().copied().filter(|(expires_at, _)| *expires_at <= end).min()
        {
            self.timers.retain(|(_, pending)| *pending != timer);
            self.now = self.now.max(expires_at);
            let actions = self.handle(Event::Timer { timer });
            timed_actions.extend(actions.into_iter().map(|action| TimedAction { at: self.now, action }));
        }
        self.now = self.now.max(end);
        timed_actions
    }

    /// Advances the clock by `duration`, as [`Self::run_until`] does. Returns the actions without their
    /// times.
    pub fn run_for(&mut self, duration: Micros) -> Vec<Action> {
        self.run_until(self.now + duration).into_iter().map(|timed| timed.action).collect()
    }

    /// Delivers a request of class 0 with a client timeout of two seconds.
    pub fn request(&mut self, customer: u64) -> (RequestId, Vec<Action>) {
        self.request_in_class(0, customer, 2 * SECOND)
    }

    /// Delivers a request of the given class and client timeout. Returns its id and the gateway's actions.
    pub fn request_in_class(
        &mut self,
        class: usize,
        customer: u64,
        client_timeout: Micros,
    ) -> (RequestId, Vec<Action>) {
        self.last_request_id += 1;
        let request = RequestArrival { class, client_timeout, ..arrival(self.last_request_id, customer) };
        (request.id, self.handle(Event::RequestArrived(request)))
    }

    /// Runs a request until no further attempt is sent. Each attempt ends with the status that `status`
    /// returns for its server. Returns the servers in the order of the attempts.
    pub fn run_request(
        &mut self,
        customer: u64,
        status: impl Fn(ServerId) -> AttemptStatus,
    ) -> Vec<ServerId> {
        let (id, mut actions) = self.request(customer);
        let mut servers = Vec::new();
        while let Some(server) = forwarded_to(&actions) {
            actions = self.complete_attempt(id, servers.len() as u32, server, status(server));
            servers.push(server);
        }
        servers
    }

    /// Delivers the report of an attempt that ended after 30 ms.
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
