//! Properties of any valid sequence of events; the sequences are drawn from a fixed seed.

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

/// The class whose requests must never run twice.
const NON_IDEMPOTENT: usize = 1;
/// The class whose requests carry a key that the servers of one zone know.
const ZONE_KEY: usize = 2;
/// How long servers remember an idempotency key.
const DEDUPLICATION_WINDOW: Micros = 500 * MILLISECOND;

/// One step of a sequence.
#[derive(Clone, Debug)]
enum Step {
    /// So many milliseconds pass.
    Wait(u64),
    /// A request arrives; its client waits for `timeout_ms`.
    Arrive { class: usize, customer: u64, timeout_ms: u64 },
    /// An attempt in flight ends.
    Complete { pick: usize, status: AttemptStatus },
    /// The client of an open request disconnects.
    Disconnect { pick: usize },
    /// An entry of the endpoint list changes.
    ChangeEndpoint { server: u64, state: EndpointState },
}

/// Draws a step.
fn step() -> impl Strategy<Value = Step> {
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
    let pick = || any::<prop::sample::Index>().prop_map(|index| index.index(1 << 16));
    prop_oneof![
        3 => (1u64..120).prop_map(Step::Wait),
        6 => (0usize..4, 0u64..5, 20u64..2000)
            .prop_map(|(class, customer, timeout_ms)| Step::Arrive { class, customer, timeout_ms }),
        5 => (pick(), status).prop_map(|(pick, status)| Step::Complete { pick, status }),
        1 => pick().prop_map(|pick| Step::Disconnect { pick }),
        1 => (1u64..7, state).prop_map(|(server, state)| Step::ChangeEndpoint { server, state }),
    ]
}

/// An attempt that the gateway sent.
struct SentAttempt {
    /// Where.
    server: ServerId,
    /// When.
    sent_at: Micros,
    /// How it ended; `None` while it is in flight.
    status: Option<AttemptStatus>,
}

impl SentAttempt {
    /// Whether it has ended and the server certainly did not run the request.
    fn certainly_did_not_run(&self) -> bool {
        matches!(
            self.status,
            Some(AttemptStatus::Rejected | AttemptStatus::ConnectFailed | AttemptStatus::NotSent)
        )
    }
}

/// A request and what the gateway did about it.
struct SeenRequest {
    /// Its class.
    class: usize,
    /// Its customer.
    customer: CustomerId,
    /// The latest time of its final answer.
    deadline: Micros,
    /// How many final answers it got from the gateway itself.
    answers: usize,
    /// It is over: answered or its client disconnected.
    closed: bool,
    /// Its attempts.
    attempts: Vec<SentAttempt>,
}

impl SeenRequest {
    /// An attempt to `server` keeps the rules of order, time and idempotency.
    fn check_attempt(&self, at: Micros, server: ServerId) {
        assert!(!self.closed && self.answers == 0, "sent after its end");
        assert!(at <= self.deadline);
        assert!(self.attempts.iter().all(|sent| sent.status.is_some()), "two attempts at once");
        assert!(self.attempts.len() < 4);
        if let Some(ran) = self.attempts.iter().find(|sent| !sent.certainly_did_not_run()) {
            match self.class {
                NON_IDEMPOTENT => panic!("a non-idempotent request was retried"),
                ZONE_KEY => {
                    assert!(zone(ran.server) == zone(server) && at < ran.sent_at + DEDUPLICATION_WINDOW);
                }
                _ => {}
            }
        }
    }

    /// A final answer is the first, is in time and claims nothing that may be untrue.
    fn check_answer(&self, at: Micros, is_rejection: bool) {
        assert!(!self.closed, "answered after its end");
        if is_rejection && (self.class == NON_IDEMPOTENT || self.class == ZONE_KEY) {
            assert!(
                self.attempts.iter().all(SentAttempt::certainly_did_not_run),
                "rejected after it may have run"
            );
        }
        assert!(at <= self.deadline, "answered too late");
    }
}

/// The zone of a server.
fn zone(server: ServerId) -> u32 {
    (server.0 % 2) as u32
}

/// Hands in the steps and checks each action against the rules.
struct RuleChecker {
    /// The gateway.
    gateway: TestGateway,
    /// The requests so far.
    requests: BTreeMap<RequestId, SeenRequest>,
    /// Whether each listed server is ready.
    is_ready: BTreeMap<ServerId, bool>,
    /// Requests of each customer that were forwarded.
    forwarded: BTreeMap<CustomerId, f64>,
    /// All actions so far.
    history: Vec<TimedAction>,
}

/// Four classes and one plan with a hard limit.
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
    /// A gateway before four servers in two zones.
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

    /// Checks an action against the rules and records it.
    fn check(&mut self, timed: TimedAction) {
        let at = timed.at;
        match &timed.action {
            Action::Send { id, server, .. } => self.record_attempt(at, *id, *server),
            Action::Reject { id, .. } => self.record_answer(at, *id, true),
            Action::Fail { id } => self.record_answer(at, *id, false),
            _ => {}
        }
        self.history.push(timed);
        // The even share of the hard limit: half of 6 a second, of 8 at once and of 2 more.
        let refilled = 3.0 * (at - SECOND) as f64 / 1e6;
        assert!(
            self.forwarded.values().all(|units| *units <= refilled + 1e-6),
            "more than the bucket was refilled since the start"
        );
    }

    /// An attempt is sent.
    fn record_attempt(&mut self, at: Micros, id: RequestId, server: ServerId) {
        let request = self.requests.get_mut(&id).expect("a known request");
        request.check_attempt(at, server);
        assert_eq!(self.is_ready.get(&server), Some(&true), "sent to a server that is not ready");
        if request.attempts.is_empty() {
            *self.forwarded.entry(request.customer).or_default() += 1.0;
        }
        request.attempts.push(SentAttempt { server, sent_at: at, status: None });
    }

    /// The gateway gives a final answer of its own.
    fn record_answer(&mut self, at: Micros, id: RequestId, is_rejection: bool) {
        let request = self.requests.get_mut(&id).expect("a known request");
        request.check_answer(at, is_rejection);
        request.answers += 1;
        request.closed = true;
    }

    /// Hands in an event and checks the actions.
    fn handle(&mut self, event: Event) {
        let at = self.gateway.now;
        for action in self.gateway.handle(event) {
            self.check(TimedAction { at, action });
        }
    }

    /// Lets time pass and checks the actions.
    fn run_for(&mut self, span: Micros) {
        for timed in self.gateway.run_until(self.gateway.now + span) {
            self.check(timed);
        }
    }

    /// Carries out a step; one that finds no request to act on is skipped.
    fn apply(&mut self, step: Step) {
        match step {
            Step::Wait(span_ms) => self.run_for(span_ms * MILLISECOND),
            Step::Arrive { class, customer, timeout_ms } => {
                self.arrive(class, customer, timeout_ms * MILLISECOND);
            }
            Step::Complete { pick, status } => self.complete(pick, status),
            Step::Disconnect { pick } => self.disconnect(pick),
            Step::ChangeEndpoint { server, state } => {
                let changed = Endpoint { state, ..endpoint(server, zone(ServerId(server))) };
                self.is_ready.insert(changed.server, state == EndpointState::Ready);
                self.handle(endpoint_delta(vec![changed]));
            }
        }
    }

    /// A request arrives.
    fn arrive(&mut self, class: usize, customer: u64, client_timeout: Micros) {
        let id = self.requests.len() as u64 + 1;
        let request = RequestArrival { class, client_timeout, ..arrival(id, customer) };
        let seen = SeenRequest {
            class,
            customer: request.customer,
            deadline: self.gateway.now + client_timeout + 8 * MILLISECOND,
            answers: 0,
            closed: false,
            attempts: vec![],
        };
        self.requests.insert(request.id, seen);
        self.handle(Event::RequestArrived(request));
    }

    /// The picked one of the requests that fulfil the condition, if there is any.
    fn pick(&self, pick: usize, condition: impl Fn(&SeenRequest) -> bool) -> Option<RequestId> {
        let fulfil = self.requests.iter().filter(|(_, request)| condition(request));
        let ids: Vec<_> = fulfil.map(|(id, _)| *id).collect();
        (!ids.is_empty()).then(|| ids[pick % ids.len()])
    }

    /// An attempt in flight ends; success is its request's final answer.
    fn complete(&mut self, pick: usize, status: AttemptStatus) {
        let in_flight =
            |request: &SeenRequest| request.attempts.last().is_some_and(|attempt| attempt.status.is_none());
        let Some(id) = self.pick(pick, in_flight) else { return };
        let request = self.requests.get_mut(&id).expect("picked from the table");
        let attempt = request.attempts.len() - 1;
        request.attempts[attempt].status = Some(status);
        request.closed |= status == AttemptStatus::Ok;
        let SentAttempt { server, sent_at, .. } = request.attempts[attempt];
        let report = AttemptReport {
            attempt: attempt as u32,
            elapsed: self.gateway.now - sent_at,
            request_finished: request.closed,
            ..attempt_report(id, server, status)
        };
        self.handle(Event::AttemptCompleted(report));
    }

    /// The client of an open request disconnects.
    fn disconnect(&mut self, pick: usize) {
        let Some(id) = self.pick(pick, |request| !request.closed) else { return };
        self.requests.get_mut(&id).expect("picked from the table").closed = true;
        self.handle(Event::ClientDisconnected { id });
    }
}

/// Hands in the steps, then lets five seconds pass, in which every request must end; returns all actions.
fn run_sequence(steps: Vec<Step>) -> Vec<TimedAction> {
    let mut checker = RuleChecker::new();
    for step in steps {
        checker.apply(step);
    }
    checker.run_for(5 * SECOND);
    for (id, request) in &checker.requests {
        assert!(request.closed && request.answers <= 1, "{id:?} was left without an answer");
    }
    checker.history
}

/// Calls the check with so many sequences.
fn for_drawn_sequences(cases: u32, check: impl Fn(Vec<Step>)) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[29; 32]);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..250);
    let outcome = runner.run(&steps, |steps| {
        check(steps);
        Ok(())
    });
    outcome.expect("every sequence passes the check");
}

#[test]
fn any_valid_event_sequence_keeps_the_protocol_rules() {
    for_drawn_sequences(400, |steps| drop(run_sequence(steps)));
}

/// Nothing but the events and the seed decides: neither the order of a hash table nor a clock.
#[test]
fn same_event_sequence_leads_to_the_same_actions() {
    for_drawn_sequences(100, |steps| assert_eq!(run_sequence(steps.clone()), run_sequence(steps)));
}
