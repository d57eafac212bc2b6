//! The state of one gateway and the entry point for its events. Each sibling module owns a part of the state;
//! a decision that needs several parts is a method of [`Gateway`], defined in the module that it belongs to.

use crate::admission::client_timeouts::ClientTimeouts;
use crate::api::{Action, EndpointCounts, Event, Micros, Plan, RequestId, Settings, SettingsError, TimerId};
use crate::attempts::load::BackendLoad;
use crate::attempts::retry_budget::RetryBudget;
use crate::attempts::timeout::AttemptTimeouts;
use crate::customer::table::{ChangedCustomers, CustomerTable};
use crate::customer::MAX_FEW_GATEWAYS;
use crate::endpoints::ranked_tree::Subset;
use crate::endpoints::server_index::ServerIndex;
use crate::endpoints::start_times::StartTimes;
use crate::gossip::state::Gossip;
use crate::health::outlier::enforced_ejections;
use crate::quota::counter_calls::CounterCalls;
use crate::random_source::RandomSource;
use crate::requests::Request;
use crate::settings_check::validate;
use crate::timer::Timer;
use std::collections::BTreeMap;

/// Interval between two ticks, much shorter than any burst.
pub(crate) const TICK_INTERVAL: Micros = 100_000;

/// The decision core of one gateway.
#[derive(Default)]
pub struct Gateway {
    /// Configuration of the gateway, validated.
    pub(crate) settings: Settings,
    /// Highest priority weight that a request can have, over all classes and plans.
    pub(crate) highest_weight: f64,
    /// Highest weighted overage cost of all plans; see [`Plan::weighted_overage_cost`].
    pub(crate) highest_overage_cost: f64,
    /// Start time of this process.
    pub(crate) started_at: Micros,
    /// Whether the first event was handled, which starts the ticks.
    pub(crate) has_started: bool,
    /// Time by which this process ends; [`Micros::MAX`] until a shutdown begins.
    pub(crate) shutdown_deadline: Micros,
    /// Requests that are open or have an attempt in flight.
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Typical client timeout of each class.
    pub(crate) client_timeouts: ClientTimeouts,
    /// Customers known to this gateway.
    pub(crate) customers: CustomerTable,
    /// Customers whose usage is still to be reported to peers or the shared counter.
    pub(crate) changed_customers: ChangedCustomers,
    /// Time of the last usage report in a response.
    pub(crate) usage_reported_at: Micros,
    /// Budget for calls to the shared counter and the calls in flight.
    pub(crate) counter_calls: CounterCalls,
    /// State of the gossip with peers.
    pub(crate) gossip: Gossip,
    /// Servers known to this gateway.
    pub(crate) servers: ServerIndex,
    /// Start times of servers, on this process's clock.
    pub(crate) start_times: StartTimes,
    /// Time of the last health check sent to any server.
    pub(crate) health_checked_at: Micros,
    /// Virtual time of the fair queueing among servers, in microseconds.
    pub(crate) virtual_time: f64,
    /// Back end's load as observed through this gateway's attempts.
    pub(crate) load: BackendLoad,
    /// Budget for retries.
    pub(crate) retry_budget: RetryBudget,
    /// Attempt timeout of each class.
    pub(crate) attempt_timeouts: AttemptTimeouts,
    /// Random numbers for everything except server selection.
    pub(crate) random_source: RandomSource,
    /// Random numbers for server selection.
    pub(crate) server_sampler: RandomSource,
    /// Number of customer and gateway entries that ticks have visited since the start.
    pub(crate) entries_visited_by_ticks: u64,
}

impl Gateway {
    /// Creates a gateway that starts at `now`. Fails with the first invalid field of the settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        validate(&settings)?;
        let weights = settings.classes.iter().map(|class| class.priority_weight);
        let highest_class_weight = weights.fold(0.0, f64::max);
        let highest_of = |value_of: fn(&Plan) -> f64| settings.plans.iter().map(value_of).fold(0.0, f64::max);
        Ok(Gateway {
            highest_weight: highest_class_weight * highest_of(|plan| plan.weight_multiplier),
            highest_overage_cost: highest_of(Plan::weighted_overage_cost),
            started_at: now,
            shutdown_deadline: Micros::MAX,
            client_timeouts: ClientTimeouts::new(&settings.classes),
            usage_reported_at: now,
            counter_calls: CounterCalls::new(settings.gateway_count > MAX_FEW_GATEWAYS),
            gossip: Gossip::new(&settings, seed),
            servers: ServerIndex::new(settings.rules.clone()),
            retry_budget: RetryBudget::new(),
            attempt_timeouts: AttemptTimeouts::new(&settings.classes),
            random_source: RandomSource::new(seed),
            server_sampler: RandomSource::new(!seed),
            settings,
            ..Gateway::default()
        })
    }

    /// Limits the number of customers that the gateway keeps a record of, besides those with a request in
    /// flight. Beyond it, the customer that would be idle first is forgotten, and counts as new when it
    /// returns.
    pub fn limit_customers(&mut self, max_customers: usize) {
        self.customers.set_max_customers(max_customers);
    }

    /// Returns whether a timer no longer has any effect, because its request has ended.
    pub fn is_obsolete(&self, timer: TimerId) -> bool {
        match timer.into() {
            Timer::Tick => false,
            Timer::RequestDeadline(id) => !self.requests.contains_key(&id),
            Timer::QueueTimeout(id) => !self.requests.get(&id).is_some_and(|request| request.queued),
        }
    }

    /// Handles one event and appends the resulting actions, in the order in which to carry them out.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.servers.advance(now);
        if !std::mem::replace(&mut self.has_started, true) {
            self.start(now, actions);
        }
        match event {
            Event::EndpointsChanged { watch_event, endpoints } => {
                self.update_endpoints(now, watch_event, endpoints, actions);
            }
            Event::RequestArrived(arrival) => self.receive_request(now, &arrival, actions),
            Event::BodyComplete { id, age } => self.body_completed(now, id, age, actions),
            Event::BodyConsumed { id } => self.update_request(id, |request| request.body_consumed = true),
            Event::ResponseStarted { id } => {
                self.update_request(id, |request| request.response_started = true);
            }
            Event::ResponseLate { id, deadline } => self.await_late_response(id, deadline, actions),
            Event::AttemptCompleted(report) => self.attempt_completed(now, &report, actions),
            Event::Shutdown { deadline } => self.begin_shutdown(deadline, actions),
            Event::ClientDisconnected { id } => self.finish_request(id),
            Event::Timer { timer } => self.timer_expired(now, timer, actions),
            Event::HealthCheckCompleted { server, load_report, .. } => {
                self.apply_load_report(now, server, load_report);
            }
            Event::GossipReceived { from, message } => self.receive_gossip(now, from, &message),
            Event::CounterReplied { counter, result, elapsed } => {
                self.apply_counter_reply(now, counter, result, elapsed, actions);
            }
        }
    }

    /// Polls the endpoint list if it has to be polled, and runs the first tick.
    fn start(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.settings.capabilities.polls_discovery {
            actions.push(Action::PollEndpoints);
        }
        self.tick(now, actions);
    }

    /// Runs the periodic work, ten times a second, and sets the timer of the next tick.
    fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.report_changed_customers(now, actions);
        self.send_gossip(now, actions);
        self.refill_slow_start_budgets(now);
        self.check_health(now, actions);
        self.customers.evict_idle(now);
        actions.push(Action::Timer { at: now + TICK_INTERVAL, timer: Timer::Tick.into() });
    }

    fn timer_expired(&mut self, now: Micros, timer: TimerId, actions: &mut Vec<Action>) {
        match timer.into() {
            Timer::Tick => self.tick(now, actions),
            Timer::RequestDeadline(id) => self.expire_request(now, id, actions),
            Timer::QueueTimeout(id) => self.expire_queued_request(now, id, actions),
        }
    }

    /// Applies a change to the record of a request, if there still is one.
    fn update_request(&mut self, id: RequestId, change: impl FnOnce(&mut Request)) {
        if let Some(request) = self.requests.get_mut(&id) {
            change(request);
        }
    }

    /// Returns how many servers are listed and how many ejections are enforced at `now`.
    pub fn endpoint_counts(&self, now: Micros) -> EndpointCounts {
        let ready = self.servers.count(Subset::Ready);
        EndpointCounts {
            listed: self.servers.listed(),
            ejected: enforced_ejections(self.servers.ejected_at(now), ready),
        }
    }

    /// Returns how many entries for servers, customers and gateways were visited since the start. Steps of a
    /// search in an index are not counted. Tests assert an upper bound on the number, so that the work per
    /// event stays bounded.
    pub fn entries_visited(&self) -> u64 {
        self.servers.visited() + self.customers.visited() + self.entries_visited_by_ticks
    }
}
