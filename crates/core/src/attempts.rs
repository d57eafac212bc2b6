//! Attempts of a request at servers: whether one may go now, how long it is waited for, and what follows its
//! outcome, a retry among them. `choice.rs` calls it for a request that is let in and for each outcome.

use crate::api::*;
use crate::customers::MEMORY_S;
use crate::decaying_rate::seconds;
use crate::gateway::{Actions, Gateway};
use crate::ranked_tree::Subset;
use crate::request::Attempt;
use crate::selection::Choice;

const UNSEEN_RETRY: f64 = 0.25; // of a further attempt: what was turned away unseen cost no work
const ITEM_GAIN: f64 = 0.1; // weight of one answer in a server's time per request held
/// A server that was full to a plan is left alone for so long at first, µs.
const FIRST_FULL_PAUSE: Micros = 100_000;
/// Times that this pause doubles.
const FULL_PAUSE_DOUBLINGS: u32 = 6;
/// Mean time to answer aimed at when short: longer queues end past the aim.
pub(crate) const ANSWER_OF_AIM: f64 = 0.22;
const FLOW_ROOM: f64 = 1.15; // room over what the flow of answers holds, so that it can grow
const FLOOR_HELD: f64 = 5.0; // requests a server may hold from all gateways however few answers come
const FEW: f64 = 5.0; // requests; a bound on attempts out under this says little by itself
const LATENCY_GAIN: f64 = 0.05; // weight of one answer in the mean time to answer: some twenty answers
const LEAST_ROOM: f64 = 0.5; // part of the room open to what earns nothing; the highest value has it all
const RETRIES_PER_REQUEST: f64 = 0.15; // share of requests that may be tried again
pub(crate) const MAX_RETRY_BUDGET: f64 = 10.0; // further attempts; most saved up

impl Gateway {
    /// Whether the back end takes no more from here: our attempts out exceed what the flow of answers
    /// would hold if each took the time aimed at (Little's law). Guards against queues past the aim, whatever
    /// grew them; could harm after a lull: the floor serves then, less of it the longer answers take.
    pub(crate) fn is_overloaded(&self, now: Micros, worth: f64) -> bool {
        let room = LEAST_ROOM + (1.0 - LEAST_ROOM) * worth / self.highest_value.max(1e-9);
        let ready = self.servers.count(Subset::Ready) as f64;
        let slow = (ANSWER_OF_AIM / self.relative_latency.max(1e-9)).min(1.0);
        let floor = slow * FLOOR_HELD * ready / self.settings.gateway_count as f64;
        let bound = floor.max(FLOW_ROOM * self.goodput.get(now, MEMORY_S)).max(1.0);
        if bound < FEW && self.relative_latency < ANSWER_OF_AIM {
            return false;
        }
        f64::from(self.attempts_in_flight) >= room * bound + bound.sqrt()
    }

    /// The only place that sends. False if no attempt may go now.
    pub(crate) fn try_attempt(&mut self, now: Micros, id: RequestId, out: Actions) -> bool {
        let (s, Some(r)) = (&self.settings, self.requests.get(&id)) else { return false };
        let (class, plan, first) = (&s.classes[r.class], &s.plans[r.plan], r.attempts.is_empty());
        let ran = r.attempts.iter().find(|a| a.may_have_run);
        let allowed = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey { window, .. } => ran.is_none_or(|a| now < a.sent_at + window),
            Idempotency::NonIdempotent => ran.is_none(),
        };
        let out_now = r.attempts.iter().any(|a| a.in_flight);
        if r.finished || r.response_started || r.body_consumed || out_now || !allowed || now >= r.deadline {
            return false;
        }
        let cost = if ran.is_some() { 1.0 } else { UNSEEN_RETRY };
        if r.attempts.len() >= s.capabilities.max_attempts as usize || !first && self.retry_budget < cost {
            return false;
        }
        let left =
            (r.arrived_at + class.latency_objective).saturating_sub(now + r.elapsed_before_arrival) as f64;
        let most = if first { class.latency_objective as f64 } else { left };
        let full_worth = class.priority_weight
            * plan.weight_multiplier
            * if r.within_quota { 1.0 } else { plan.overage_weight };
        let late = full_worth * class.late_priority_weight;
        let Some(Choice { server, wait }) = self.select_server(now, id, !first) else { return false };
        if wait > most || self.is_overloaded(now, if left < wait { late } else { full_worth }) {
            return false;
        }
        let Some(r) = self.requests.get_mut(&id) else { return false };
        if first {
            let (units, customer) = (r.units, r.customer);
            let Some(c) = self.customers.get_mut(customer) else { return false };
            if c.plan.hard_limit_rate > 0.0 && c.hard_limit_tokens < units {
                return false;
            }
            c.hard_limit_tokens -= units;
            if r.within_quota {
                c.bucket_level -= units;
                c.local_allowance = (c.local_allowance - units).max(0.0);
                c.admitted_units += units;
                c.unreported_units += units;
                self.changed_customers.insert(customer);
            }
            self.retry_budget = (self.retry_budget + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
        } else {
            self.retry_budget -= cost;
        }
        let (left, silent) = (r.deadline - now, self.attempt_timeout(now, id, server, wait));
        self.attempt_rate.add(now, 1.0, MEMORY_S);
        let Some(r) = self.requests.get_mut(&id) else { return true };
        let (working, turn, rules) = (!r.body_incomplete, &mut self.virtual_time, &self.settings.rules);
        let held = self.servers.update(now, server, |x| {
            let held = x.expected_in_flight(now);
            x.slow_start_budget -= 1.0;
            *turn = turn.max(x.virtual_time);
            x.virtual_time = *turn + x.service_time_us / x.slow_start_factor(now, rules);
            x.attempts_in_flight += u32::from(working);
            held
        });
        let Some(held) = held else { return true };
        let cut = silent.is_some();
        r.attempts.push(Attempt {
            server,
            sent_at: now,
            in_flight: true,
            may_have_run: false,
            expected_in_flight: held,
            uses_attempt_timeout: cut,
            fully_sent: working,
        });
        self.attempts_in_flight += u32::from(working);
        out.push(Action::Send { id, server, timeout: silent.unwrap_or(left) });
        true
    }

    /// The last of a long body has gone on: only now has its server work, and only now does its time begin.
    pub(crate) fn body_completed(&mut self, now: Micros, id: RequestId, out: Actions) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.body_incomplete) else { return };
        r.body_incomplete = false;
        (r.arrived_at, r.deadline) = (now, (now + (r.deadline - r.arrived_at)).min(self.shutdown_deadline));
        out.push(Action::Timer { at: r.deadline, timer: TimerId(id.0 << 1) });
        for a in r.attempts.iter_mut().filter(|a| a.in_flight) {
            (a.sent_at, a.fully_sent) = (now, true);
            self.attempts_in_flight += 1;
            self.servers.update(now, a.server, |x| {
                a.expected_in_flight = x.expected_in_flight(now);
                x.attempts_in_flight += 1;
            });
        }
    }

    /// How long to wait for an attempt if a further one can follow: aim, budget, rules and servers allow it.
    fn attempt_timeout(&self, now: Micros, id: RequestId, server: ServerId, wait: f64) -> Option<Micros> {
        let (s, r) = (&self.settings, self.requests.get(&id)?);
        let class = &s.classes[r.class];
        let limit = self.attempt_timeouts.timeout(r.class, class.latency_objective);
        let ran = r.attempts.iter().find(|a| a.may_have_run).map_or(now, |a| a.sent_at);
        let remembered = match class.idempotency {
            Idempotency::IdempotencyKey { window, .. } => now + limit < ran + window,
            _ => true,
        };
        let follows = remembered && self.has_alternative(now, server, class.idempotency);
        let more = r.attempts.len() + 1 < s.capabilities.max_attempts as usize && self.retry_budget >= 2.0;
        let aimed = (r.arrived_at + class.latency_objective).saturating_sub(r.elapsed_before_arrival);
        (follows && more && now + limit + (wait as Micros) < aimed.min(r.deadline)).then_some(limit)
    }

    pub(crate) fn complete_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u32,
        end: (AttemptStatus, Micros, bool),
        out: Actions,
    ) {
        let (status, took, closed) = end;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(attempt as usize).filter(|a| a.in_flight) else { return };
        a.in_flight = false;
        a.may_have_run = !matches!(
            status,
            AttemptStatus::Rejected | AttemptStatus::ConnectFailed | AttemptStatus::NotSent
        );
        let (server, held, cut, aim) = (
            a.server,
            a.expected_in_flight,
            a.uses_attempt_timeout,
            self.settings.classes[r.class].latency_objective,
        );
        if status == AttemptStatus::Ok || status == AttemptStatus::Timeout && cut {
            self.attempt_timeouts.record(r.class, aim, took);
        }
        let (working, done, plan) = (u32::from(a.fully_sent), r.finished, r.plan);
        let (late, aim) = (cut || took >= aim, seconds(aim));
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(working);
        if matches!(status, AttemptStatus::Ok | AttemptStatus::Timeout | AttemptStatus::Cancelled) {
            self.relative_latency += LATENCY_GAIN * (seconds(took) / aim - self.relative_latency);
        }
        if status == AttemptStatus::Ok {
            self.goodput.add(now, ANSWER_OF_AIM * aim, MEMORY_S);
        }
        self.servers.update(now, server, |x| {
            x.attempts_in_flight = x.attempts_in_flight.saturating_sub(working);
            match status {
                AttemptStatus::Ok => {
                    x.service_time_us += ITEM_GAIN * (took as f64 / (held + 1.0) - x.service_time_us);
                    x.record_outcome(now, true, false);
                    x.rejection_backoff.remove(&plan);
                }
                // Remembered for this plan alone: a server may turn one plan away and have room for others.
                AttemptStatus::Rejected => {
                    let f = x.rejection_backoff.entry(plan).or_default();
                    let gap =
                        now.saturating_sub(x.last_outcome_at).min(FIRST_FULL_PAUSE << FULL_PAUSE_DOUBLINGS);
                    *f = (now + (FIRST_FULL_PAUSE << f.1.min(FULL_PAUSE_DOUBLINGS)).max(gap / 2), f.1 + 1);
                }
                AttemptStatus::Error | AttemptStatus::ConnectionReset => x.record_outcome(now, false, false),
                AttemptStatus::ConnectFailed => x.record_outcome(now, false, true),
                AttemptStatus::Timeout | AttemptStatus::Cancelled if late => {
                    x.record_outcome(now, false, false)
                }
                _ => {}
            }
        });
        if closed || done {
            return self.finish_request(id);
        }
        if !self.try_attempt(now, id, out) {
            self.reject_or_fail(id, FIRST_FULL_PAUSE, out);
        }
    }
}
