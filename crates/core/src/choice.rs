//! The entrance of the gateway's decisions, [`Gateway::handle`], the path of a request and the tick. The
//! rest is in a module each: pacing, quota, gossip, server lists, selection, attempts, server health.

use crate::api::*;
use crate::attempts::MAX_RETRY_BUDGET;
use crate::customer_table::{Customer, UsageSource};
use crate::customers::{MEMORY_S, OFTEN};
use crate::decaying_rate::seconds;
use crate::gateway::{Actions, Gateway};
use crate::gossip::{GOSSIP_OF_INTAKE, GOSSIP_PER_REQUEST, HEARTBEAT, MAX_GOSSIP_BUDGET};
use crate::quota::{CALLS_SPARED, COUNT_SURE, FIRST_CALLS_PER_REQUEST, FIRST_SAVED_CALLS, MAX_SAVED_CALLS};
use crate::random_source::RandomSource;
use crate::ranked_tree::Subset;
use crate::request::Request;
use crate::server_index::ServerIndex;
use crate::servers::{AttemptTimeouts, REPORT_S};

const HOLD_OF_AIM: f64 = 0.15; // most of the aim that a hold may use; the answer needs the rest
const HOLD_OF_LEFT: f64 = 0.25; // and of the client's own time, which may be far shorter than the aim

const TURN: TimerId = TimerId(u64::MAX); // the timer of the next round
const ROUND: Micros = 100_000; // µs; housekeeping, and how often use is told: well under any burst's length
const MAX_CHANGED: usize = 1_000; // customers looked at in a tick, in under a hundredth of it; the rest next

const PROBE_EVERY: Micros = 400_000; // µs; per server, where only probes bring reports
const PROBE_SHARE: f64 = 0.4; // most probes a request
const COLD_SAFETY: f64 = 0.5; // part of the fall budget used: requests differ in size, rates in time

/// Rank of the usual patience among clients': most tries are first ones.
const USUAL_QUANTILE: f64 = 0.7;
/// Step of that running quantile, as a part of the deadline.
const USUAL_STEP: f64 = 0.02;
const SHORT: f64 = 0.92; // a patience under this part of the usual shows a later try, not a slow network

impl Gateway {
    /// A gateway that starts now, or the field of the settings that makes no sense.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        crate::check::check(&settings)?;
        let n = settings.gateway_count;
        let worth = settings.classes.iter().map(|c| c.priority_weight).fold(0.0, f64::max);
        let most = |of: fn(&Plan) -> f64| settings.plans.iter().map(of).fold(0.0, f64::max);
        // So seldom does one gateway write to each of its peers that all of them fill no one's intake.
        let gap = ((n - 1) as f64 * 1e6
            / (GOSSIP_OF_INTAKE * settings.capabilities.gossip_messages_per_s).max(0.1))
            as Micros;
        Ok(Gateway {
            incarnation: (seed ^ (seed >> 32)) as u32 & 0xff_ffff,
            process_started_at: now,
            highest_value: worth * most(|p| p.weight_multiplier),
            highest_overage_cost: most(|p| p.weight_multiplier * p.overage_cost),
            typical_client_timeouts: settings.classes.iter().map(|c| c.deadline as f64).collect(),
            attempt_timeouts: AttemptTimeouts::new(&settings.classes),
            retry_budget: MAX_RETRY_BUDGET / 2.0,
            random_source: RandomSource(seed),
            server_sampler: RandomSource(!seed),
            usage_reported_at: now,
            gossip_budget: MAX_GOSSIP_BUDGET / 2.0,
            gossip_interval: gap,
            // Few enough to tell each other every unit; among more, only news that matters is told.
            full_mesh_gossip: settings.capabilities.gossip && gap <= HEARTBEAT,
            peers_heard_at: vec![0; n],
            counter_call_budget: if n > OFTEN { FIRST_SAVED_CALLS } else { MAX_SAVED_CALLS / 2.0 },
            calls_per_request: if n > OFTEN { FIRST_CALLS_PER_REQUEST } else { 1.0 },
            shutdown_deadline: Micros::MAX,
            servers: ServerIndex::new(settings.rules.clone()),
            settings,
            ..Gateway::default()
        })
    }

    /// The customer's state, made full and without delay when new; its ceiling's slice starts empty
    /// with this process, since an earlier life may have drawn it down.
    pub(crate) fn ensure_customer(
        &mut self,
        now: Micros,
        id: CustomerId,
        plan: usize,
        spread: usize,
        first: usize,
    ) {
        let Some(p) = self.settings.plans.get(plan) else { return };
        let spread = spread.clamp(1, self.settings.gateway_count);
        if let Some(c) = self.customers.get_mut(id) {
            c.gateway_count = c.gateway_count.max(spread);
            c.first_gateway = first;
            return;
        }
        let (terms, even) = (p.clone(), 1.0 / spread as f64);
        let slice = seconds(now - self.process_started_at) * p.hard_limit_rate * even;
        let fresh = Customer {
            plan_index: plan,
            plan: terms,
            gateway_count: spread,
            first_gateway: first,
            hard_limit_tokens: slice,
            refilled_at: now,
            ..Customer::default()
        };
        let fresh = Customer {
            pacing_interval_started_at: now,
            bucket_level: p.burst,
            local_allowance: p.burst,
            ..fresh
        };
        self.customers.insert(id, fresh);
    }

    /// The ordinary path: covered requests go at once, others wait their delay. Where the counter is asked
    /// first, the request waits for its word, no longer than any hold.
    fn admit(&mut self, now: Micros, id: RequestId, r: Request, out: Actions) {
        let left = r.deadline.saturating_sub(now) as f64;
        let cap =
            (self.settings.classes[r.class].latency_objective as f64 * HOLD_OF_AIM).min(left * HOLD_OF_LEFT);
        let Some(source) = self.customers.get(r.customer).map(|c| self.usage_source(now, c)) else { return };
        self.gossip_budget = (self.gossip_budget + GOSSIP_PER_REQUEST).min(MAX_GOSSIP_BUDGET);
        self.counter_call_budget = (self.counter_call_budget + self.calls_per_request).min(MAX_SAVED_CALLS);
        let worth =
            self.settings.classes[r.class].priority_weight * self.settings.plans[r.plan].weight_multiplier;
        let paid = self.overage_is_acceptable(r.plan) || self.is_overloaded(now, worth); // or no room at the back end: no call
        let Some(c) = self.customers.get_mut(r.customer) else { return };
        c.refill(now, r.units, source);
        c.pace(now, c.plan.rate * c.quota_share(now, source), cap / 1e3);
        c.local_usage_rate.add(now, r.units, MEMORY_S);
        c.pacing_interval_units += r.units;
        c.in_flight += 1;
        let (customer, units, deadline) = (r.customer, r.units, r.deadline);
        let covered = c.covers(now, units, source);
        let sure = source == UsageSource::Exact && c.bucket_level >= COUNT_SURE * c.plan.burst;
        // The fewer calls are left, the more use beyond must cost to be worth one; less where others try too.
        let gain = c.plan.weight_multiplier * c.plan.overage_cost / c.demand(now).max(1.0);
        let spared = !c.is_shared_by_few()
            && gain < self.highest_overage_cost * (1.0 - self.counter_call_budget / CALLS_SPARED);
        let ask = self.settings.capabilities.shared_counter
            && !spared
            && !sure
            && !c.low_demand
            && !paid
            && c.bucket_level >= units;
        let reserve = if c.demand(now) > 1.0 { 0.0 } else { units };
        let mut leave =
            (c.next_dequeue_at.max(now) + (c.pacing_delay_ms * 1e3) as Micros).min(now + cap as Micros);
        out.push(Action::Timer { at: deadline, timer: TimerId(id.0 << 1) });
        let asked = ask && self.call_counter(now, customer, reserve, out);
        let held = asked || !covered && leave > now;
        self.requests.insert(id, Request { queued: held, ..r });
        if !held {
            return self.dequeue(now, id, out);
        }
        let Some(c) = self.customers.get_mut(customer) else { return };
        if asked {
            leave = now + cap as Micros;
            c.queued_requests.push(id);
        } else {
            c.next_dequeue_at = leave;
        }
        out.push(Action::Timer { at: leave.min(deadline), timer: TimerId(id.0 << 1 | 1) });
    }

    /// A request's hold is over: it goes if the bucket has its units, else it is refused.
    pub(crate) fn dequeue(&mut self, now: Micros, id: RequestId, out: Actions) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.finished) else { return };
        r.queued = false;
        let (units, customer, plan, aim) =
            (r.units, r.customer, r.plan, self.settings.classes[r.class].latency_objective);
        let pays = self.overage_is_acceptable(plan);
        let source = self.customers.get(customer).map(|c| self.usage_source(now, c));
        let (Some(c), Some(source)) = (self.customers.get_mut(customer), source) else { return };
        c.refill(now, units, source);
        let demand = c.demand(now);
        if source == UsageSource::Metered && demand > 1.0 {
            c.local_allowance = (c.local_allowance + units / demand).min(2.0 * units);
        }
        let (inside, p) = (c.covers(now, units, source), &c.plan);
        let lack = units - c.available_units(source);
        let lack = if p.rate > 0.0 { lack.max(0.0) / (p.rate * c.quota_share(now, source)) } else { 0.0 };
        if !inside && !pays {
            return self.reject_or_fail(id, (lack * 1e6) as Micros, out);
        }
        self.requests.entry(id).and_modify(|r| r.within_quota = inside);
        if !self.try_attempt(now, id, out) {
            self.reject_or_fail(id, aim / 2, out);
        }
    }

    /// The only place that gives a final answer; a refusal only where trying again does no harm.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, wait: Micros, out: Actions) {
        let s = &self.settings;
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.finished && !r.response_started) else {
            return;
        };
        let ran = r.attempts.iter().any(|a| a.may_have_run || a.in_flight);
        let harmless = match s.classes[r.class].idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. } => {
                true
            }
            _ => !ran,
        };
        out.push(if harmless {
            let advice = s.capabilities.retry_after.then(|| wait.min(s.capabilities.max_retry_after));
            Action::Reject { id, retry_after: advice.filter(|wait| *wait > 0) }
        } else {
            Action::Fail { id }
        });
        for (k, _) in
            r.attempts.iter().enumerate().filter(|(_, a)| a.in_flight && s.capabilities.cancellation)
        {
            out.push(Action::Cancel { id, attempt: k as u32 });
        }
        self.finish_request(id);
    }

    /// The request is over; it stays known while an attempt is out.
    pub(crate) fn finish_request(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let first = !std::mem::replace(&mut r.finished, true);
        if let Some(c) = self.customers.get_mut(r.customer).filter(|_| first) {
            c.in_flight = c.in_flight.saturating_sub(1);
        }
        if r.attempts.iter().all(|a| !a.in_flight) {
            self.requests.remove(&id);
        }
    }

    /// What is due ten times a second: use to be counted and told, budgets of cold servers, probes.
    fn tick(&mut self, now: Micros, out: Actions) {
        for id in self.changed_customers.take(MAX_CHANGED) {
            self.entries_examined += 1;
            let Some(c) = self.customers.get(id) else { continue };
            let due = c.unreported_units != 0.0 && !self.overage_is_acceptable(c.plan_index);
            let spare =
                c.is_shared_by_few() || c.unreported_units < 0.0 || self.counter_call_budget >= CALLS_SPARED;
            let (due, repeats) = (self.settings.capabilities.shared_counter && due, c.admitted_units > 1.0);
            if self.full_mesh_gossip && repeats {
                self.publish(id);
            }
            if due && (!spare || !self.call_counter(now, id, 0.0, out) || self.counter_call_budget < 1.0) {
                self.changed_customers.insert(id);
            }
        }
        self.send_gossip(now, out);
        let sends = self.attempt_rate.get(now, MEMORY_S);
        let ready = self.servers.count(Subset::Ready).max(1);
        let (subset, ready) = (self.subset_size(ready).max(1) as f64, ready as f64);
        // Where many are cold at once, a warm one takes far more than the mean.
        let subset = subset * self.servers.slow_start_factor_sum(now).max(1.0) / ready;
        let rules = &self.settings.rules;
        self.servers.update_warming_up(|x| {
            let pace =
                COLD_SAFETY * rules.overload_multiple * x.slow_start_factor(now, rules) * sends / subset;
            let most = (pace * seconds(rules.overload_window)).max(1.0);
            x.slow_start_budget = (x.slow_start_budget + pace * seconds(ROUND)).clamp(-most, most);
        });
        let every = PROBE_EVERY.max((ready / (PROBE_SHARE * sends).max(1e-3) * 1e6) as Micros);
        let s = &self.settings.capabilities;
        if s.health_checks
            && s.load_reports == LoadReports::WithHealthChecks
            && seconds(every) <= REPORT_S
            && now >= self.health_checked_at + every
        {
            self.health_checked_at = now;
            let ready = self.servers.iter().filter(|x| x.endpoint.state == EndpointState::Ready);
            out.extend(ready.map(|x| Action::CheckHealth { server: x.endpoint.server }));
        }
        self.customers.forget_idle(now);
        out.push(Action::Timer { at: now + ROUND, timer: TURN });
    }

    /// No deadline lies past the end of this process: a request still open then would never be answered.
    fn begin_shutdown(&mut self, by: Micros, out: Actions) {
        self.shutdown_deadline = by;
        for (id, r) in self.requests.iter_mut().filter(|(_, r)| r.deadline > by) {
            r.deadline = by;
            out.push(Action::Timer { at: by, timer: TimerId(id.0 << 1) });
        }
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.servers.advance(now);
        if !std::mem::replace(&mut self.has_started, true) {
            if self.settings.capabilities.polls_discovery {
                out.push(Action::PollEndpoints);
            }
            self.tick(now, out);
        }
        match event {
            Event::EndpointsChanged { watch_event: kind, endpoints: entries } => {
                self.update_servers(now, kind, entries, out)
            }
            Event::RequestArrived(RequestArrival {
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
            }) => {
                let (s, margin) = (&self.settings, 2 * self.settings.batch_interval);
                let sane = class < s.classes.len() && plan < s.plans.len() && (0.0..1e9).contains(&units);
                if self.requests.contains_key(&id) {
                    return;
                }
                if !sane || patience <= margin {
                    return out.push(Action::Reject { id, retry_after: None });
                }
                self.ensure_customer(now, customer, plan, spread, first);
                let deadline = now.saturating_add(patience - margin).min(self.shutdown_deadline);
                // A later try has less than the usual patience (a running quantile): the rest has gone by.
                let (deadline_us, left) = (self.settings.classes[class].deadline, patience as f64);
                let up = if left > self.typical_client_timeouts[class] {
                    USUAL_QUANTILE
                } else {
                    USUAL_QUANTILE - 1.0
                };
                self.typical_client_timeouts[class] += up * USUAL_STEP * deadline_us as f64;
                let marks = self.settings.capabilities.marks_retries;
                let short = if marks { repeat } else { left < SHORT * self.typical_client_timeouts[class] };
                let waited = if short { deadline_us.saturating_sub(patience) } else { 0 };
                let request = Request { class, plan, customer, units, arrived_at: now, ..Request::default() };
                self.admit(
                    now,
                    id,
                    Request { elapsed_before_arrival: waited, deadline, body_incomplete: coming, ..request },
                    out,
                );
            }
            Event::BodyComplete { id } => self.body_completed(now, id, out),
            Event::BodyConsumed { id } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.body_consumed = true;
                }
            }
            Event::ResponseStarted { id } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.response_started = true;
                }
            }
            Event::AttemptCompleted(AttemptReport {
                id,
                attempt,
                server,
                status,
                elapsed: took,
                request_finished: closed,
                reported_usage: used,
                settled_units: settled,
                load_report: load,
            }) => {
                self.apply_load_report(now, server, load);
                self.apply_usage_report(now, id, used, settled);
                self.complete_attempt(now, id, attempt, (status, took, closed), out);
            }
            Event::Shutdown { deadline: by } => self.begin_shutdown(by, out),
            Event::ClientDisconnected { id } => self.finish_request(id),
            // A request's timers bear its number twice: even at its deadline, odd at the end of its hold.
            Event::Timer { timer: TURN } => self.tick(now, out),
            Event::Timer { timer: TimerId(k) } => match self.requests.get(&RequestId(k >> 1)) {
                Some(r) if k & 1 == 0 && (r.body_incomplete || now < r.deadline) => {}
                Some(_) if k & 1 == 0 => self.reject_or_fail(RequestId(k >> 1), 0, out),
                Some(r) if r.queued => self.dequeue(now, RequestId(k >> 1), out),
                _ => {}
            },
            Event::HealthCheckCompleted { server, load_report: load, .. } => {
                self.apply_load_report(now, server, load)
            }
            Event::GossipReceived { from, message: data } => self.receive_gossip(now, from, &data),
            Event::CounterReplied { counter, result, elapsed } => {
                self.apply_counter_reply(now, counter, result, elapsed, out);
            }
        }
    }
}
