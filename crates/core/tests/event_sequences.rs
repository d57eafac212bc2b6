//! Property tests over valid event sequences, which are generated from a fixed seed.

mod common;

use common::events::{arrival, attempt_report, endpoint_delta};
use common::settings::{class, endpoint, plan, settings};
use common::test_gateway::{TestGateway, TimedAction};
use common::{MILLISECOND, SECOND};
use grebehook_core::{
    Action, AttemptReport, AttemptStatus, CustomerId, DeduplicationScope, Endpoint, EndpointState, Event,
    Idempotency, Micros, Plan, RequestArrival, RequestId, ServerId, Settings,
};
use proptest::prelude::{any, prop, prop_oneof, Strategy};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

/// Class whose requests must never run twice.
const NON_IDEMPOTENT_CLASS: usize = 1;
/// Class whose requests carry an idempotency key that is shared by the servers of one zone.
const ZONE_KEY_CLASS: usize = 2;
/// Time for which servers remember an idempotency key.
const DEDUPLICATION_WINDOW: Micros = 500 * MILLISECOND;

/// One step of an event sequence. A `selector` selects one of the requests to which the step applies.
#[derive(Clone, Debug)]
enum Step {
    /// Advances the clock by the given number of milliseconds.
    Wait(u64),
    /// Delivers a request with a client timeout of `timeout_ms`.
    Request { class: usize, customer: u64, timeout_ms: u64 },
    /// Ends an attempt in flight.
    Complete { selector: usize, status: AttemptStatus },
    /// Disconnects the client of an open request.
    Disconnect { selector: usize },
    /// Changes an entry of the endpoint list.
    ChangeEndpoint { server: u64, state: EndpointState },
}

/// Returns the strategy that generates a step.
fn step_strategy() -> impl Strategy<Value = Step> {
    let status = prop::sample::select(vec![
        AttemptStatus::Ok,
        AttemptStatus::Ok,
        AttemptStatus::Error,
        AttemptStatus::Rejected,
        AttemptStatus::ConnectFailed,
        AttemptStatus::ConnectionReset,
        AttemptStatus::Timeout,
    ]);
    let state = prop::sample::select(vec![
        EndpointState::Ready,
        EndpointState::Ready,
        EndpointState::Draining,
        EndpointState::Removed,
    ]);
    let selector = || any::<prop::sample::Index>().prop_map(|index| index.index(1 << 16));
    prop_oneof![
        3 => (1u64..120).prop_map(Step::Wait),
        6 => (0usize..4, 0u64..5, 20u64..2000)
            .prop_map(|(class, customer, timeout_ms)| Step::Request { class, customer, timeout_ms }),
        5 => (selector(), status).prop_map(|(selector, status)| Step::Complete { selector, status }),
        1 => selector().prop_map(|selector| Step::Disconnect { selector }),
        1 => (1u64..7, state).prop_map(|(server, state)| Step::ChangeEndpoint { server, state }),
    ]
}

/// An attempt that the gateway sent, with its outcome.
struct SentAttempt {
    server: ServerId,
    sent_at: Micros,
    /// Outcome of the attempt; `None` while it is in flight.
    status: Option<AttemptStatus>,
}

impl SentAttempt {
    /// Returns whether the attempt has ended and the server certainly did not run the request.
    fn certainly_did_not_run(&self) -> bool {
        matches!(
            self.status,
            Some(AttemptStatus::Rejected | AttemptStatus::ConnectFailed | AttemptStatus::NotSent)
        )
    }
}

/// A request with the attempts and answers that it got from the gateway.
struct TrackedRequest {
    class: usize,
    customer: CustomerId,
    /// Latest time for the final answer.
    deadline: Micros,
    /// Number of final answers that the gateway itself gave.
    answers: usize,
    /// Whether the request was answered or its client disconnected.
    is_closed: bool,
    attempts: Vec<SentAttempt>,
}

impl TrackedRequest {
    /// Asserts that an attempt at `server` keeps the rules of order, time and idempotency.
    fn check_attempt(&self, at: Micros, server: ServerId) {
        assert!(!self.is_closed && self.answers == 0, "attempt sent after the end of its request");
        assert!(at <= self.deadline);
        assert!(
            self.attempts.iter().all(|sent| sent.status.is_some()),
            "sent while another attempt is in flight"
        );
        assert!(self.attempts.len() < 4);
        if let Some(ran) = self.attempts.iter().find(|sent| !sent.certainly_did_not_run()) {
            match self.class {
                NON_IDEMPOTENT_CLASS => panic!("a non-idempotent request was retried"),
                ZONE_KEY_CLASS => {
                    assert!(zone(ran.server) == zone(server) && at < ran.sent_at + DEDUPLICATION_WINDOW);
                }
                _ => {}
            }
        }
    }

    /// Asserts that a final answer is the first one, is in time and does not reject a request that may have
    /// run.
    fn check_answer(&self, at: Micros, is_rejection: bool) {
        assert!(!self.is_closed, "request answered after its end");
        if is_rejection && (self.class == NON_IDEMPOTENT_CLASS || self.class == ZONE_KEY_CLASS) {
            assert!(
                self.attempts.iter().all(SentAttempt::certainly_did_not_run),
                "request rejected although it may have run"
            );
        }
        assert!(at <= self.deadline, "final answer after the deadline");
    }
}

/// Returns the zone of a server: servers of even and of odd number are in different zones.
fn zone(server: ServerId) -> u32 {
    (server.0 % 2) as u32
}

/// Carries out the steps of a sequence and checks each action against the protocol rules.
struct RuleChecker {
    gateway: TestGateway,
    /// All requests that have arrived.
    requests: BTreeMap<RequestId, TrackedRequest>,
    /// State of each server ever listed; true if it is ready.
    is_ready: BTreeMap<ServerId, bool>,
    /// Number of each customer's requests that were forwarded.
    forwarded: BTreeMap<CustomerId, f64>,
    /// All actions that the gateway has returned.
    history: Vec<TimedAction>,
}

/// Returns settings with four classes and one plan with a hard limit.
fn checked_settings() -> Settings {
    let with_key = |scope| class(Idempotency::IdempotencyKey { scope, window: DEDUPLICATION_WINDOW });
    let mut settings = settings();
    settings.classes = vec![
        class(Idempotency::Idempotent),
        class(Idempotency::NonIdempotent),
        with_key(DeduplicationScope::Zone),
        with_key(DeduplicationScope::All),
    ];
    settings.plans[0] = Plan {
        hard_limit_rate: 6.0,
        hard_limit_burst: 8.0,
        hard_limit_overdraft: 2.0,
        rate: 5.0,
        burst: 8.0,
        ..plan()
    };
    settings
}

impl RuleChecker {
    /// Creates a gateway with four servers in two zones.
    fn new() -> RuleChecker {
        let endpoints: Vec<_> = (1..5).map(|k| endpoint(k, zone(ServerId(k)))).collect();
        RuleChecker {
            gateway: TestGateway::new(checked_settings(), &endpoints),
            requests: BTreeMap::new(),
            is_ready: endpoints.iter().map(|endpoint| (endpoint.server, true)).collect(),
            forwarded: BTreeMap::new(),
            history: Vec::new(),
        }
    }

    /// Checks an action against the protocol rules and records it.
    fn check(&mut self, timed: TimedAction) {
        let at = timed.at;
        match &timed.action {
            Action::Send { id, server, .. } => self.check_and_record_attempt(at, *id, *server),
            Action::Reject { id, .. } => self.check_and_record_answer(at, *id, true),
            Action::Fail { id, .. } => self.check_and_record_answer(at, *id, false),
            _ => {}
        }
        self.history.push(timed);
        // The gateway's even share of the hard limit is half of 6 units per second, of a burst of 8 and of an
        // overdraft of 2.
        let refilled = 3.0 * (at - SECOND) as f64 / 1e6;
        assert!(
            self.forwarded.values().all(|units| *units <= refilled + 1e-6),
            "more units forwarded than the hard limit's bucket was refilled with since the start"
        );
    }

    /// Checks and records that an attempt is sent.
    fn check_and_record_attempt(&mut self, at: Micros, id: RequestId, server: ServerId) {
        let request = self.requests.get_mut(&id).expect("action refers to a request that arrived");
        request.check_attempt(at, server);
        assert_eq!(self.is_ready.get(&server), Some(&true), "attempt sent to a server that is not ready");
        if request.attempts.is_empty() {
            *self.forwarded.entry(request.customer).or_default() += 1.0;
        }
        request.attempts.push(SentAttempt { server, sent_at: at, status: None });
    }

    /// Checks and records a final answer that the gateway itself gives.
    fn check_and_record_answer(&mut self, at: Micros, id: RequestId, is_rejection: bool) {
        let request = self.requests.get_mut(&id).expect("action refers to a request that arrived");
        request.check_answer(at, is_rejection);
        request.answers += 1;
        request.is_closed = true;
    }

    /// Delivers an event and checks the resulting actions.
    fn handle(&mut self, event: Event) {
        let at = self.gateway.now;
        for action in self.gateway.handle(event) {
            self.check(TimedAction { at, action });
        }
    }

    /// Advances the clock by `duration` and checks the resulting actions.
    fn run_for(&mut self, duration: Micros) {
        for timed in self.gateway.run_until(self.gateway.now + duration) {
            self.check(timed);
        }
    }

    /// Carries out a step. Skips a step for which no suitable request exists.
    fn apply(&mut self, step: Step) {
        match step {
            Step::Wait(duration_ms) => self.run_for(duration_ms * MILLISECOND),
            Step::Request { class, customer, timeout_ms } => {
                self.request(class, customer, timeout_ms * MILLISECOND);
            }
            Step::Complete { selector, status } => self.complete(selector, status),
            Step::Disconnect { selector } => self.disconnect(selector),
            Step::ChangeEndpoint { server, state } => {
                let changed = Endpoint { state, ..endpoint(server, zone(ServerId(server))) };
                self.is_ready.insert(changed.server, state == EndpointState::Ready);
                self.handle(endpoint_delta(vec![changed]));
            }
        }
    }

    /// Delivers a request and records it.
    fn request(&mut self, class: usize, customer: u64, client_timeout: Micros) {
        let id = self.requests.len() as u64 + 1;
        let request = RequestArrival { class, client_timeout, ..arrival(id, customer) };
        let tracked = TrackedRequest {
            class,
            customer: request.customer,
            deadline: self.gateway.now + client_timeout + 8 * MILLISECOND,
            answers: 0,
            is_closed: false,
            attempts: vec![],
        };
        self.requests.insert(request.id, tracked);
        self.handle(Event::RequestArrived(request));
    }

    /// Returns the request that `selector` selects among those that satisfy the condition; `None` if there is
    /// none.
    fn select(&self, selector: usize, condition: impl Fn(&TrackedRequest) -> bool) -> Option<RequestId> {
        let matching = self.requests.iter().filter(|(_, request)| condition(request));
        let ids: Vec<_> = matching.map(|(id, _)| *id).collect();
        (!ids.is_empty()).then(|| ids[selector % ids.len()])
    }

    /// Ends an attempt in flight. Success is the final answer to its request.
    fn complete(&mut self, selector: usize, status: AttemptStatus) {
        let in_flight = |request: &TrackedRequest| {
            request.attempts.last().is_some_and(|attempt| attempt.status.is_none())
        };
        let Some(id) = self.select(selector, in_flight) else { return };
        let request = self.requests.get_mut(&id).expect("the request was selected from the table");
        let attempt = request.attempts.len() - 1;
        request.attempts[attempt].status = Some(status);
        request.is_closed |= status == AttemptStatus::Ok;
        let SentAttempt { server, sent_at, .. } = request.attempts[attempt];
        let report = AttemptReport {
            attempt: attempt as u32,
            elapsed: self.gateway.now - sent_at,
            request_finished: request.is_closed,
            ..attempt_report(id, server, status)
        };
        self.handle(Event::AttemptCompleted(report));
    }

    /// Disconnects the client of an open request.
    fn disconnect(&mut self, selector: usize) {
        let Some(id) = self.select(selector, |request| !request.is_closed) else { return };
        self.requests.get_mut(&id).expect("the request was selected from the table").is_closed = true;
        self.handle(Event::ClientDisconnected { id });
    }
}

/// Carries out the steps, then advances the clock by five seconds, in which every request must end. Returns
/// all actions.
fn run_sequence(steps: Vec<Step>) -> Vec<TimedAction> {
    let mut checker = RuleChecker::new();
    for step in steps {
        checker.apply(step);
    }
    checker.run_for(5 * SECOND);
    for (id, request) in &checker.requests {
        assert!(request.is_closed && request.answers <= 1, "{id:?} has no final answer, or more than one");
    }
    checker.history
}

/// Calls `check` with `cases` generated sequences.
fn for_generated_sequences(cases: u32, check: impl Fn(Vec<Step>)) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[29; 32]);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step_strategy(), 1..250);
    let outcome = runner.run(&steps, |steps| {
        check(steps);
        Ok(())
    });
    outcome.expect("every generated sequence passes the check");
}

#[test]
fn any_valid_event_sequence_keeps_the_protocol_rules() {
    for_generated_sequences(400, |steps| drop(run_sequence(steps)));
}

/// The actions depend only on the events and the seed, not on the iteration order of a hash table or on a
/// system clock.
#[test]
fn same_event_sequence_leads_to_the_same_actions() {
    for_generated_sequences(100, |steps| assert_eq!(run_sequence(steps.clone()), run_sequence(steps)));
}
