//! The state of one gateway and the entrance of its decisions. Each module beside this one owns a part of the
//! state; a decision that needs several parts is a method of [`Gateway`] in the module that it belongs to.

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
use crate::settings_check::check;
use crate::timer::Timer;
use std::collections::BTreeMap;

/// Time between two ticks: well under the length of any burst.
pub(crate) const TICK_INTERVAL: Micros = 100_000;

/// The decisions of one gateway.
#[derive(Default)]
pub struct Gateway {
    /// Its configuration.
    pub(crate) settings: Settings,
    /// The highest priority weight of a request.
    pub(crate) highest_weight: f64,
    /// The highest cost of a request over its quota.
    pub(crate) highest_overage_cost: f64,
    /// When this process started.
    pub(crate) started_at: Micros,
    /// The first event has come, and with it the first tick.
    pub(crate) has_ticked: bool,
    /// When this process ends; far away until it shuts down.
    pub(crate) shutdown_deadline: Micros,
    /// The requests that are open or have an attempt in flight.
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// How long clients usually wait.
    pub(crate) client_timeouts: ClientTimeouts,
    /// The customers.
    pub(crate) customers: CustomerTable,
    /// Those with use to be reported.
    pub(crate) changed_customers: ChangedCustomers,
    /// When a response last reported use.
    pub(crate) usage_reported_at: Micros,
    /// Calls of the shared counter.
    pub(crate) counter_calls: CounterCalls,
    /// Gossip with other gateways.
    pub(crate) gossip: Gossip,
    /// The servers.
    pub(crate) servers: ServerIndex,
    /// When servers started, by this process's clock.
    pub(crate) start_times: StartTimes,
    /// When servers were last sent health checks.
    pub(crate) health_checked_at: Micros,
    /// The virtual time of servers that take turns, microseconds.
    pub(crate) virtual_time: f64,
    /// What the attempts show of the back end's load.
    pub(crate) load: BackendLoad,
    /// The retry budget.
    pub(crate) retry_budget: RetryBudget,
    /// How long attempts are waited for.
    pub(crate) attempt_timeouts: AttemptTimeouts,
    /// Random numbers for all but the choice of servers.
    pub(crate) random_source: RandomSource,
    /// Random numbers for the choice of servers.
    pub(crate) server_sampler: RandomSource,
    /// Customers and gateways examined by ticks since the start.
    pub(crate) entries_examined: u64,
}

impl Gateway {
    /// A gateway that starts now, or the field of the settings that makes no sense.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        check(&settings)?;
        let weights = settings.classes.iter().map(|class| class.priority_weight);
        let highest_class_weight = weights.fold(0.0, f64::max);
        let highest_of = |figure: fn(&Plan) -> f64| settings.plans.iter().map(figure).fold(0.0, f64::max);
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

    /// Handles one event and appends the actions to carry out, in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.servers.advance(now);
        if !std::mem::replace(&mut self.has_ticked, true) {
            self.begin(now, actions);
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

    /// Does what is due with the first event.
    fn begin(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.settings.capabilities.polls_discovery {
            actions.push(Action::PollEndpoints);
        }
        self.tick(now, actions);
    }

    /// Does what is due ten times a second.
    fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.report_changed_customers(now, actions);
        self.send_gossip(now, actions);
        self.refill_slow_start_budgets(now);
        self.check_health(now, actions);
        self.customers.evict_idle(now);
        actions.push(Action::Timer { at: now + TICK_INTERVAL, timer: Timer::Tick.into() });
    }

    /// Does what a timer was set for.
    fn timer_expired(&mut self, now: Micros, timer: TimerId, actions: &mut Vec<Action>) {
        match timer.into() {
            Timer::Tick => self.tick(now, actions),
            Timer::RequestDeadline(id) => self.expire_request(now, id, actions),
            Timer::QueueTimeout(id) => self.expire_queueing(now, id, actions),
        }
    }

    /// Changes the record of a request, if it is still there.
    fn update_request(&mut self, id: RequestId, change: impl FnOnce(&mut Request)) {
        if let Some(request) = self.requests.get_mut(&id) {
            change(request);
        }
    }

    /// How many servers are listed, and how many of them are ejected.
    pub fn endpoint_counts(&self, now: Micros) -> EndpointCounts {
        let ready = self.servers.count(Subset::Ready);
        EndpointCounts {
            listed: self.servers.listed(),
            ejected: enforced_ejections(self.servers.ejected_at(now), ready),
        }
    }

    /// How many entries for servers, customers and gateways were examined since the start, which tests hold
    /// to a bound. Steps of a search in an index are not counted.
    pub fn entries_visited(&self) -> u64 {
        self.servers.visited() + self.customers.visited() + self.entries_examined
    }
}
