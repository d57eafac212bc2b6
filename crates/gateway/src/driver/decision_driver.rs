//! Drives the decision core: passes events to it and carries out the actions that it returns. The driver
//! itself makes no decisions.

mod attempts;
mod requests;
mod timer_loop;

use crate::control::counter::SharedCounter;
use crate::control::endpoint_list::ListedEndpoint;
use crate::control::peers::GossipSocket;
use crate::driver::clock::Clock;
use crate::driver::decision_log::DecisionLog;
use crate::driver::id_exchange::IdExchange;
use crate::driver::request::Answer;
use crate::driver::request_table::RequestTable;
use crate::driver::timers::{Timer, TimerQueue};
use crate::operations::request_counts::RequestCounters;
use crate::operations::request_events::RequestEvent;
use crate::operations::request_log::RequestLog;
use crate::servers::exchange::Upstream;
use crate::servers::health_check::HealthCheckResult;
use grebehook_core::{
    Action, AnswerReason, AttemptStatus, CounterId, CounterResult, Endpoint, Event, Gateway, Micros,
    RequestId, ServerId, WatchEvent,
};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::os::unix::net::UnixStream;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tracing::warn;

/// Time after which a health check without a response counts as failed.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Network services that carry out the actions of the decision core.
pub struct Transports {
    /// Sends attempts and health checks.
    pub upstream: Rc<Upstream>,
    /// Sends gossip, if that is configured, for as long as the task that receives it runs.
    pub peers: Weak<GossipSocket>,
    /// Client of the shared counter; `None` if no counter is configured.
    pub counter: Option<Rc<SharedCounter>>,
    /// Path that health checks request.
    pub health_check_path: &'static str,
}

/// Mutable state of the driver.
struct DriverState {
    decision_core: Gateway,
    requests: RequestTable,
    /// Exchange of request ids with the other processes of hand-overs.
    id_exchange: IdExchange,
    timers: TimerQueue,
    /// Queue of events that the decision core has not handled yet.
    events: VecDeque<Event>,
    /// Buffer for the actions of one event, kept between events to reuse its memory.
    actions: Vec<Action>,
}

/// Owner of the decision core, which it runs on the single thread of the async runtime.
pub struct DecisionDriver {
    state: RefCell<DriverState>,
    /// Wakes the timer loop when a timer is armed that is due before the next scheduled wake-up.
    earlier_timer_armed: Notify,
    clock: Clock,
    transports: Transports,
    /// Counters of requests and attempts.
    request_counters: Rc<RequestCounters>,
    log: DecisionLog,
    request_log: RequestLog,
}

impl DecisionDriver {
    /// Creates a driver for a decision core that has not handled any event yet.
    pub fn new(
        decision_core: Gateway,
        clock: Clock,
        transports: Transports,
        request_counters: Rc<RequestCounters>,
    ) -> Rc<DecisionDriver> {
        let mut timers = TimerQueue::default();
        timers.arm(clock.now() + timer_loop::EXPIRY_CHECK_INTERVAL, Timer::CloseExpiredServerConnections);
        let state = DriverState {
            decision_core,
            requests: RequestTable::default(),
            id_exchange: IdExchange::default(),
            timers,
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        Rc::new(DecisionDriver {
            state: RefCell::new(state),
            earlier_timer_armed: Notify::new(),
            clock,
            transports,
            request_counters,
            log: DecisionLog::default(),
            request_log: RequestLog::default(),
        })
    }

    /// Applies an event of the endpoint watch to the connection pool, then to the decision core.
    pub fn handle_endpoint_update(self: &Rc<Self>, watch_event: WatchEvent, listed: Vec<ListedEndpoint>) {
        if watch_event != WatchEvent::Failed {
            self.transports.upstream.pool.update(watch_event != WatchEvent::Delta, &listed);
        }
        let endpoints = listed.into_iter().map(|listed| listed.endpoint).collect();
        let mut state = self.state.borrow_mut();
        state.events.push_back(Event::EndpointsChanged { watch_event, endpoints });
        self.abort_attempts_to_unready_servers(&mut state);
        self.process_events(&mut state);
    }

    /// Returns the endpoint list as last updated.
    pub fn listed_endpoints(&self) -> Vec<ListedEndpoint> {
        let state = self.state.borrow();
        let pool = &self.transports.upstream.pool;
        let listed = |endpoint: Endpoint| {
            pool.address(endpoint.server).map(|address| ListedEndpoint { address, endpoint })
        };
        state.decision_core.listed_endpoints().filter_map(listed).collect()
    }

    /// Notifies the decision core of a graceful shutdown, in which every request must have its final answer
    /// by the deadline.
    pub fn begin_shutdown(self: &Rc<Self>, deadline: Instant) {
        let mut state = self.state.borrow_mut();
        state.requests.set_attempts_shutdown_deadline(deadline);
        let deadline = self.clock.micros_at(deadline);
        for id in state.requests.begin_shutdown(deadline) {
            self.arm(&mut state, deadline, Timer::RequestDeadline(id));
        }
        state.events.push_back(Event::Shutdown { deadline });
        self.process_events(&mut state);
    }

    /// Returns the time by which every request must have its answer because the process ends; `None` until a shutdown
    /// begins.
    pub fn shutdown_deadline(&self) -> Option<Instant> {
        let deadline = self.state.borrow().requests.shutdown_deadline()?;
        Some(self.clock.instant_at(deadline))
    }

    /// Aborts all attempts in flight and closes the idle connections to servers, once every request has its final answer.
    pub fn end_attempts(&self) {
        let mut state = self.state.borrow_mut();
        for id in state.requests.ids_with_attempt(|_| true) {
            self.abort_attempt(&mut state, id, AttemptStatus::Cancelled);
        }
        self.close_idle_server_connections();
    }

    /// Passes a gossip message from another gateway to the decision core.
    pub fn handle_gossip(self: &Rc<Self>, from: usize, message: Vec<u8>) {
        self.handle_event(Event::GossipReceived { from, message });
    }

    /// Returns the serialized state of the decision core, for hand-over to the successor process.
    pub fn handover_state(&self) -> String {
        self.state.borrow_mut().decision_core.hand_over(self.clock.now())
    }

    /// Restores the state of the decision core from that of the predecessor process. An invalid state is
    /// logged and ignored.
    pub fn restore_handover_state(&self, text: &str) {
        if let Err(error) = self.state.borrow_mut().decision_core.take_over(self.clock.now(), text) {
            warn!(%error, "cannot restore the predecessor's state; the decision core starts without it");
        }
    }

    /// Begins the exchange of request ids with the other process of a hand-over.
    pub fn begin_id_exchange(&self, stream: UnixStream) -> io::Result<()> {
        let now = self.clock.now();
        let DriverState { requests, id_exchange, .. } = &mut *self.state.borrow_mut();
        requests.remember_forwarded(now);
        id_exchange.begin(now, stream, requests.recent_ids())
    }

    /// Reads the ids that other processes have sent. Returns whether there is another process.
    pub fn receive_ids(&self) -> bool {
        let DriverState { requests, id_exchange, .. } = &mut *self.state.borrow_mut();
        id_exchange.receive(self.clock.now(), requests.recent_ids());
        id_exchange.is_active()
    }

    /// Reads the ids that other processes have sent. Returns whether those that they knew at the beginning are all there.
    pub fn receive_initial_ids(&self) -> bool {
        self.receive_ids();
        self.state.borrow().id_exchange.has_initial_ids()
    }

    /// Closes the idle connections to servers.
    pub fn close_idle_server_connections(&self) {
        self.transports.upstream.pool.close_idle();
    }

    /// Changes the limits on connections to servers and on the memory for buffered responses.
    pub fn set_server_limits(&self, connections: usize, response_bytes: usize) {
        self.transports.upstream.set_limits(connections, response_bytes);
    }

    /// Records an event at a request that has not been submitted.
    pub fn record_event(&self, event: RequestEvent, client_request_id: &[u8]) {
        self.request_counters.events.record(event, client_request_id, None);
    }

    /// Returns the metrics as text for operators.
    pub fn metrics_text(&self) -> String {
        let endpoints = self.state.borrow().decision_core.endpoint_counts(self.clock.now());
        self.request_counters.metrics_text(endpoints)
    }

    /// Queues an event and processes all queued events.
    fn handle_event(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        state.events.push_back(event);
        self.process_events(&mut state);
    }

    /// Passes all queued events to the decision core and carries out its actions.
    fn process_events(self: &Rc<Self>, state: &mut DriverState) {
        self.process_events_at(state, self.clock.now());
    }

    /// Processes all queued events: the first one at the time `now`, the others at the current time.
    fn process_events_at(self: &Rc<Self>, state: &mut DriverState, mut now: Micros) {
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            let decision_core = &mut state.decision_core;
            // A panic in a decision must not end the other requests. The request concerned is answered at its
            // deadline.
            let handled = catch_unwind(AssertUnwindSafe(|| decision_core.handle(now, event, &mut actions)));
            if handled.is_err() {
                self.log.log_panic();
            }
            for action in actions.drain(..) {
                self.perform(state, now, action);
            }
            state.actions = actions;
            now = self.clock.now();
        }
    }

    /// Carries out an action of the decision core.
    fn perform(self: &Rc<Self>, state: &mut DriverState, now: Micros, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.start_attempt(state, now, id, server, timeout),
            Action::Reject { id, retry_after, reason } => {
                self.log_answer(state, id, "is rejected", reason);
                state.requests.answer(now, id, Answer::Rejected(retry_after));
            }
            Action::Fail { id, reason } => {
                self.log_answer(state, id, "fails", reason);
                state.requests.answer(now, id, Answer::Failed);
            }
            Action::Cancel { id, attempt } => {
                self.abort_if_in_flight(state, id, attempt, AttemptStatus::Cancelled);
            }
            Action::Timer { at, timer } => self.arm(state, at, Timer::Decision(timer)),
            Action::CheckHealth { server } => self.check_health(server),
            Action::SendGossip { to, message } => self.send_gossip(to, &message),
            // The endpoint watch is always open and restarts by itself after a failure.
            Action::PollEndpoints => {}
            Action::AddToCounter { counter, amount, ttl } => self.add_to_counter(state, counter, amount, ttl),
            Action::Log { text } => self.log.log_core_message(&text),
        }
    }

    /// Logs a final answer that is not a server's response.
    fn log_answer(&self, state: &DriverState, id: RequestId, answer: &str, reason: AnswerReason) {
        if let Some(request) = state.requests.get(id).filter(|request| request.answer.is_some()) {
            let client_request_id = request.client_request_id.as_bytes();
            self.request_log.log_answer(client_request_id, answer, reason, request.attempts);
        }
    }

    /// Sends a health check and reports its result as an event.
    fn check_health(self: &Rc<Self>, server: ServerId) {
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let upstream = &driver.transports.upstream;
            let path = driver.transports.health_check_path;
            let HealthCheckResult { status, load_report } =
                upstream.check_health(server, path, HEALTH_CHECK_TIMEOUT).await;
            driver.handle_event(Event::HealthCheckCompleted { server, status, load_report });
        });
    }

    /// Sends a gossip message to the gateway with index `to`, if gossip is configured.
    fn send_gossip(&self, to: usize, message: &[u8]) {
        if let Some(peers) = self.transports.peers.upgrade() {
            peers.send(to, message);
        }
    }

    /// Calls the shared counter and reports its reply as an event.
    fn add_to_counter(
        self: &Rc<Self>,
        state: &mut DriverState,
        counter: CounterId,
        amount: f64,
        ttl: Micros,
    ) {
        let Some(shared_counter) = self.transports.counter.clone() else {
            // Without a shared counter, the addition counts as refused.
            let result = CounterResult::Refused;
            state.events.push_back(Event::CounterReplied { counter, result, elapsed: 0 });
            return;
        };
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let reply = shared_counter.add(counter, amount, ttl).await;
            driver.handle_event(reply);
        });
    }
}
