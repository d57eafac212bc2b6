//! What follows the end of an attempt: the server's health, the load of the back end, and a retry or the
//! final answer.

use crate::api::{Action, AttemptReport, AttemptStatus, Micros};
use crate::endpoints::server::{Server, BASE_REJECTION_BACKOFF};
use crate::gateway::Gateway;
use crate::health::outlier::Outcome;

/// An attempt that has ended.
struct EndedAttempt {
    /// How it ended.
    status: AttemptStatus,
    /// Time since the send.
    elapsed: Micros,
    /// Index of the request's plan.
    plan: usize,
    /// Requests that the server was expected to have in flight at the send.
    expected_in_flight: f64,
    /// The server had received the complete request.
    fully_sent: bool,
    /// It took longer than a slow answer, or than the latency objective.
    is_late: bool,
}

impl Gateway {
    /// Handles the end of an attempt.
    pub(crate) fn attempt_completed(
        &mut self,
        now: Micros,
        report: &AttemptReport,
        actions: &mut Vec<Action>,
    ) {
        self.apply_load_report(now, report.server, report.load_report);
        self.apply_usage_report(now, report.id, report.reported_usage, report.settled_units);
        let id = report.id;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.get_mut(report.attempt as usize).filter(|attempt| attempt.in_flight);
        let Some(attempt) = attempt else { return };
        attempt.in_flight = false;
        attempt.may_have_run = report.status.may_have_run();
        let latency_objective = self.settings.classes[request.class].latency_objective;
        let ended = EndedAttempt {
            status: report.status,
            elapsed: report.elapsed,
            plan: request.plan,
            expected_in_flight: attempt.expected_in_flight,
            fully_sent: attempt.fully_sent,
            is_late: attempt.uses_attempt_timeout || report.elapsed >= latency_objective,
        };
        let was_given_up = ended.status == AttemptStatus::Timeout && attempt.uses_attempt_timeout;
        if ended.status == AttemptStatus::Ok || was_given_up {
            self.attempt_timeouts.record(request.class, latency_objective, ended.elapsed);
        }
        let server = attempt.server;
        let is_over = report.request_finished || request.finished;
        self.load.record_end(now, ended.status, ended.elapsed, latency_objective, ended.fully_sent);
        self.servers.update(now, server, |server| record_on_server(server, now, &ended));
        if is_over {
            self.finish_request(id);
        } else if !self.try_attempt(now, id, actions) {
            self.reject_or_fail(id, BASE_REJECTION_BACKOFF, actions);
        }
    }
}

/// Records the end of an attempt in the record of its server.
fn record_on_server(server: &mut Server, now: Micros, ended: &EndedAttempt) {
    server.attempts_in_flight = server.attempts_in_flight.saturating_sub(u32::from(ended.fully_sent));
    match ended.status {
        AttemptStatus::Ok => {
            server.record_service_time(ended.elapsed, ended.expected_in_flight);
            server.health.record(now, Outcome::Success);
            server.clear_rejections(ended.plan);
        }
        AttemptStatus::Rejected => server.record_rejection(now, ended.plan),
        AttemptStatus::Error | AttemptStatus::ConnectionReset => server.health.record(now, Outcome::Failure),
        AttemptStatus::ConnectFailed => server.health.record(now, Outcome::Unreachable),
        AttemptStatus::Timeout | AttemptStatus::Cancelled if ended.is_late => {
            server.health.record(now, Outcome::Failure);
        }
        AttemptStatus::Timeout | AttemptStatus::Cancelled | AttemptStatus::NotSent => {}
    }
}
