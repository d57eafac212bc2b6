//! Owns the decision module, the clock, the timers and the table of requests: events in, actions out.
//! Nothing is decided here.

use crate::control::counter::SharedCounter;
use crate::control::endpoint_list::ListedEndpoint;
use crate::control::peers::Peers;
use crate::driver::clock::Clock;
use crate::driver::decision_log::DecisionLog;
use crate::driver::request::{Answer, RequestHead};
use crate::driver::request_table::{InFlightAttempt, RequestTable};
use crate::driver::timers::{DueTimer, Timers};
use crate::operations::request_counts::{RequestCounterGuard, RequestCounters};
use crate::servers::attempt::{AttemptConnection, AttemptResponse, AttemptTimes, OutgoingRequest};
use crate::servers::exchange::Upstream;
use grebehook_core::{
    Action, AttemptStatus, CounterResult, Event, Gateway, Micros, RequestArrival, RequestId, ServerId,
    TimerId, WatchEvent,
};
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, Notify};
use tracing::warn;

/// A probe without an answer so long has failed.
const PROBE_LIMIT: Duration = Duration::from_millis(250);
/// How often idle connections are looked at.
const RETIRE_EVERY: Micros = 500_000;

struct Inner {
    gateway: Gateway,
    requests: RequestTable,
    timers: Timers,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

/// The one owner of the decision module. It lives on one thread; handles to it are shared by `Rc`.
pub struct DecisionDriver {
    inner: RefCell<Inner>,
    earlier_timer: Notify,
    clock: Clock,
    upstream: Rc<Upstream>,
    peers: Option<Rc<Peers>>,
    counter: Option<Rc<SharedCounter>>,
    health_check_path: &'static str,
    request_counters: Rc<RequestCounters>,
    log: DecisionLog,
}

impl DecisionDriver {
    /// A core round a module that has seen nothing yet.
    pub fn new(
        gateway: Gateway,
        clock: Clock,
        upstream: Rc<Upstream>,
        peers: Option<Rc<Peers>>,
        counter: Option<Rc<SharedCounter>>,
        reports: bool,
        counts: Rc<RequestCounters>,
    ) -> Rc<DecisionDriver> {
        let mut timers = Timers::default();
        timers.arm(clock.now() + RETIRE_EVERY, DueTimer::RetireIdleConnections);
        let inner = Inner {
            gateway,
            requests: RequestTable::default(),
            timers,
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        let probe_path = if reports { "/_load" } else { "/ping" };
        Rc::new(DecisionDriver {
            inner: RefCell::new(inner),
            earlier_timer: Notify::new(),
            clock,
            upstream,
            peers,
            counter,
            health_check_path: probe_path,
            request_counters: counts,
            log: DecisionLog::default(),
        })
    }

    /// News of the list of servers.
    pub fn endpoints_changed(self: &Rc<Self>, kind: WatchEvent, members: Vec<ListedEndpoint>) {
        if kind != WatchEvent::Failed {
            self.upstream.pool.update(kind != WatchEvent::Delta, &members);
        }
        let entries = members.into_iter().map(|m| m.endpoint).collect();
        let mut inner = self.inner.borrow_mut();
        inner.events.push_back(Event::EndpointsChanged { watch_event: kind, endpoints: entries });
        self.cancel_waiting_for_connection(&mut inner);
        self.process_events(&mut inner);
    }

    /// Ends the attempts that still wait for a connection to a server that now drains or is gone: they would
    /// be sent when it comes up, perhaps after the rule's grace.
    fn cancel_waiting_for_connection(&self, inner: &mut Inner) {
        let waits =
            |r: &InFlightAttempt| r.connection.is_connecting() && !self.upstream.pool.is_ready(r.server);
        for id in inner.requests.with_attempt(waits) {
            self.abort_attempt(inner, id, AttemptStatus::ConnectFailed);
        }
    }

    /// Every request has its final answer by this time.
    pub fn shut_down_by(self: &Rc<Self>, by: Instant) {
        self.handle(Event::Shutdown { deadline: self.clock.at(by) });
    }

    /// A message from another gateway.
    pub fn gossip_received(self: &Rc<Self>, from: usize, data: Vec<u8>) {
        self.handle(Event::GossipReceived { from, message: data });
    }

    /// What the module knows, for the process that follows.
    pub fn hand_over(&self) -> String {
        self.inner.borrow_mut().gateway.hand_over(self.clock.now())
    }

    /// Tells the module what the process before has handed over.
    pub fn take_over(&self, state: &str) {
        if let Err(e) = self.inner.borrow_mut().gateway.take_over(self.clock.now(), state) {
            warn!(error = %e, "the decision core starts anew");
        }
    }

    /// Closes connections to servers on which nothing is open.
    pub fn close_idle(&self) {
        self.upstream.pool.close_idle();
    }

    /// The figures that operators read.
    pub fn metrics_text(&self) -> String {
        self.request_counters.metrics_text(self.inner.borrow().gateway.endpoint_counts(self.clock.now()))
    }

    /// A client's request: its number, where its one answer will arrive, and by what it is counted. `None`
    /// while another with its id is open or may still run.
    pub fn submit(
        self: &Rc<Self>,
        call: HeaderValue,
        terms: RequestHead,
        outgoing: OutgoingRequest,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>, RequestCounterGuard)> {
        let mut inner = self.inner.borrow_mut();
        let now = self.clock.now();
        let limit = now + terms.client_timeout;
        let (id, receiver) = inner.requests.open(call, outgoing, limit, terms.deduplication_window)?;
        self.arm(&mut inner, limit, DueTimer::RequestLimit(id.0));
        let RequestHead {
            class,
            plan,
            customer,
            client_timeout: patience,
            units,
            customer_gateway_count: spread,
            first_gateway: first,
            is_retry: repeat,
            ..
        } = terms;
        let coming = self.await_rest_of_body(id, patience, &inner.requests);
        let event = Event::RequestArrived(RequestArrival {
            id,
            class,
            plan,
            customer,
            client_timeout: patience,
            units,
            customer_gateway_count: spread,
            first_gateway: first,
            is_retry: repeat,
            body_incomplete: coming,
        });
        inner.events.push_back(event);
        // The same time for the module's deadline as for the limit: on a busy machine a second look at the
        // clock can be late by more than the module's margin, and the limit would then come first.
        self.process_events_from(&mut inner, now);
        Some((id, receiver, self.request_counters.begin(class)))
    }

    /// Whether part of a request's body is still to come. Its time begins once all of it has gone on.
    fn await_rest_of_body(self: &Rc<Self>, id: RequestId, patience: Micros, requests: &RequestTable) -> bool {
        let Some(body) = requests.get(id).map(|held| &held.outgoing.body) else { return false };
        let core = self.clone();
        body.on_forwarded(move || core.body_complete(id, patience))
    }

    /// The last of a long body has gone on.
    fn body_complete(self: &Rc<Self>, id: RequestId, patience: Micros) {
        let mut inner = self.inner.borrow_mut();
        let now = self.clock.now();
        let limit = now + patience;
        let Some(held) = inner.requests.get_mut(id) else { return };
        if let Some(attempt) = held.restart(now, limit) {
            self.arm(&mut inner, limit, DueTimer::Attempt(id.0, attempt));
        }
        self.arm(&mut inner, limit, DueTimer::RequestLimit(id.0));
        inner.events.push_back(Event::BodyComplete { id });
        self.process_events_from(&mut inner, now);
    }

    /// The client of a request left. Whether it cannot have run.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) -> bool {
        let mut inner = self.inner.borrow_mut();
        let Some(held) = inner.requests.get_mut(id) else { return false };
        let never = held.cannot_have_run();
        if held.answer.take().is_some() {
            let unsent = held.in_flight.as_ref().is_some_and(|r| !r.connection.request_written());
            inner.events.push_back(Event::ClientDisconnected { id });
            // Nothing is sent for a request that is over: not even what only waits for its connection.
            if unsent {
                self.abort_attempt(&mut inner, id, AttemptStatus::NotSent);
            }
            inner.requests.forget(id);
            self.process_events(&mut inner);
        }
        never
    }

    fn handle(self: &Rc<Self>, event: Event) {
        let mut inner = self.inner.borrow_mut();
        inner.events.push_back(event);
        self.process_events(&mut inner);
    }

    /// Hands the module what has happened and carries out what it says, until nothing is left.
    fn process_events(self: &Rc<Self>, inner: &mut Inner) {
        self.process_events_from(inner, self.clock.now());
    }

    fn process_events_from(self: &Rc<Self>, inner: &mut Inner, mut now: Micros) {
        while let Some(event) = inner.events.pop_front() {
            let mut actions = std::mem::take(&mut inner.actions);
            let gateway = &mut inner.gateway;
            // A fault in the decisions must not take the other requests down; its own ends at its limit.
            if catch_unwind(AssertUnwindSafe(|| gateway.handle(now, event, &mut actions))).is_err() {
                self.log.panicked();
            }
            for action in actions.drain(..) {
                self.perform(inner, now, action);
            }
            inner.actions = actions;
            now = self.clock.now();
        }
    }

    fn perform(self: &Rc<Self>, inner: &mut Inner, now: Micros, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(inner, now, id, server, timeout),
            Action::Reject { id, retry_after } => inner.requests.answer(id, Answer::Rejected(retry_after)),
            Action::Fail { id } => inner.requests.answer(id, Answer::Failed),
            Action::Cancel { id, attempt } => {
                if inner.requests.is_running(id, attempt) {
                    self.abort_attempt(inner, id, AttemptStatus::Cancelled);
                }
            }
            Action::Timer { at, timer } => self.arm(inner, at, DueTimer::Decision(timer.0)),
            Action::CheckHealth { server } => {
                let core = self.clone();
                tokio::task::spawn_local(async move {
                    let (status, load) =
                        core.upstream.probe(server, core.health_check_path, PROBE_LIMIT).await;
                    core.handle(Event::HealthCheckCompleted { server, status, load_report: load });
                });
            }
            Action::SendGossip { to, message: data } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &data);
                }
            }
            // The watch is always open and takes itself up again after a failed call.
            Action::PollEndpoints => {}
            Action::AddToCounter { counter, amount, ttl } => match &self.counter {
                Some(shared) => {
                    let (core, shared) = (self.clone(), shared.clone());
                    tokio::task::spawn_local(async move {
                        core.handle(shared.add(counter, amount, ttl).await);
                    });
                }
                // Where there is no shared counter a call of it is refused, and nothing is added.
                None => inner.events.push_back(Event::CounterReplied {
                    counter,
                    result: CounterResult::Refused,
                    elapsed: 0,
                }),
            },
            Action::Log { text } => self.log.message(&text),
        }
    }

    fn send(
        self: &Rc<Self>,
        inner: &mut Inner,
        now: Micros,
        id: RequestId,
        server: ServerId,
        timeout: Micros,
    ) {
        let Some(held) = inner.requests.get_mut(id) else { return };
        let attempt = held.attempts;
        held.attempts += 1;
        // Never two attempts at once, nor one for a request that is over or past its time.
        if held.in_flight.is_some() || held.answer.is_none() || now >= held.client_deadline {
            let event = AttemptResponse::without_response(AttemptStatus::NotSent).into_event(
                id,
                attempt,
                server,
                0,
                held.answer.is_none(),
            );
            return inner.events.push_back(event);
        }
        let until = held.deadline(now, timeout);
        let slot = Rc::new(AttemptConnection::default());
        let (core, outgoing, link) = (self.clone(), held.outgoing.clone(), slot.clone());
        let times = AttemptTimes {
            send_by: self.clock.instant(held.send_by(until)),
            answer_by: self.clock.instant(until),
        };
        let task = tokio::task::spawn_local(async move {
            let reply = core
                .upstream
                .exchange(server, &link, &outgoing, times, Some(&core.request_counters.attempts))
                .await;
            core.attempt_ended(id, attempt, reply);
        });
        held.in_flight = Some(InFlightAttempt {
            attempt,
            server,
            sent_at: now,
            connection: slot,
            task: task.abort_handle(),
        });
        if !held.outgoing.body.is_incomplete() {
            self.arm(inner, until, DueTimer::Attempt(id.0, attempt));
        }
    }

    /// An attempt ended by itself. The first good answer goes to the client at once and ends the request.
    fn attempt_ended(self: &Rc<Self>, id: RequestId, attempt: u32, mut reply: AttemptResponse) {
        let mut inner = self.inner.borrow_mut();
        let Some(held) = inner.requests.get_mut(id) else { return };
        let Some(running) = held.in_flight.take_if(|r| r.attempt == attempt) else { return };
        if reply.status == AttemptStatus::NotSent {
            held.end_if_client_left();
        }
        if let Some(served) = reply.response.take() {
            inner.requests.answer(id, Answer::Served(served));
        }
        self.record_end(&mut inner, id, running, reply);
        self.process_events(&mut inner);
    }

    /// Gives up a request's attempt: nothing of it is on the network when this returns.
    fn abort_attempt(&self, inner: &mut Inner, id: RequestId, status: AttemptStatus) {
        let Some(held) = inner.requests.get_mut(id) else { return };
        let Some(running) = held.in_flight.take() else { return };
        let status = running.abort(status);
        self.record_end(inner, id, running, AttemptResponse::without_response(status));
    }

    /// Tells the decision core how an attempt ended.
    fn record_end(&self, inner: &mut Inner, id: RequestId, running: InFlightAttempt, reply: AttemptResponse) {
        let took = self.clock.now().saturating_sub(running.sent_at);
        let held = inner.requests.get_mut(id);
        if held.is_some_and(|held| held.record_end(&running, reply.status)) {
            inner.events.push_back(Event::BodyConsumed { id });
        }
        let closed = !inner.requests.is_open(id);
        inner.events.push_back(reply.into_event(id, running.attempt, running.server, took, closed));
        inner.requests.forget(id);
    }

    fn arm(&self, inner: &mut Inner, at: Micros, due: DueTimer) {
        if inner.timers.arm(at, due) {
            self.earlier_timer.notify_one();
        }
    }

    /// Fires timers as they fall due, for ever.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next = {
                let mut inner = self.inner.borrow_mut();
                while let Some(due) = inner.timers.pop_due(self.clock.now()) {
                    self.fire(&mut inner, due);
                    self.process_events(&mut inner);
                }
                let Inner { timers, requests, .. } = &mut *inner;
                timers.skip(|due| requests.is_spent(due));
                let wake_at = timers.set_wake();
                self.clock.instant(wake_at.min(self.clock.now() + RETIRE_EVERY))
            };
            tokio::select! {
                () = tokio::time::sleep_until(next.into()) => {}
                () = self.earlier_timer.notified() => {}
            }
        }
    }

    fn fire(&self, inner: &mut Inner, due: DueTimer) {
        match due {
            DueTimer::Decision(timer) => inner.events.push_back(Event::Timer { timer: TimerId(timer) }),
            DueTimer::Attempt(id, attempt) => {
                if inner.requests.is_running(RequestId(id), attempt) {
                    self.abort_attempt(inner, RequestId(id), AttemptStatus::Timeout);
                }
            }
            DueTimer::RequestLimit(id) => self.fail_overdue(inner, RequestId(id)),
            DueTimer::RetireIdleConnections => {
                self.upstream.pool.close_expired();
                self.arm(inner, self.clock.now() + RETIRE_EVERY, DueTimer::RetireIdleConnections);
            }
        }
    }

    /// The client's time is up. The decision core is notified of an attempt that is still out, and has the last
    /// word; if it says nothing, the request ends all the same.
    fn fail_overdue(&self, inner: &mut Inner, id: RequestId) {
        let Some(held) = inner.requests.get(id).filter(|h| h.answer.is_some()) else { return };
        // Of a body that is still coming the limit is set anew once it has come.
        if held.outgoing.body.is_incomplete() || self.clock.now() < held.client_deadline {
            return;
        }
        if held.in_flight.is_some() {
            let limit = held.client_deadline;
            self.abort_attempt(inner, id, AttemptStatus::Timeout);
            return self.arm(inner, limit, DueTimer::RequestLimit(id.0));
        }
        self.log.left_open();
        inner.requests.answer(id, Answer::TimedOut);
        inner.events.push_back(Event::ClientDisconnected { id });
    }
}
