//! Handling of completed attempts: updates of the server's health and of the back end's load, then a retry or
//! the final answer.

use crate::api::{Action, AttemptReport, AttemptStatus, Micros};
use crate::endpoints::server::{Server, BASE_REJECTION_BACKOFF};
use crate::gateway::Gateway;
use crate::health::outlier::Outcome;

/// The data of a completed attempt that its server's record needs.
struct CompletedAttempt {
    status: AttemptStatus,
    /// Time since the attempt was sent.
    elapsed: Micros,
    plan: usize,
    /// Number of requests expected in flight at the server when the attempt was sent.
    expected_in_flight: f64,
    /// Whether the complete request was sent to the server.
    fully_sent: bool,
    /// Whether an attempt that timed out or was cancelled counts as a failure of its server: it had the
    /// attempt timeout, or took at least the latency objective.
    is_late: bool,
}

impl Gateway {
    /// Updates all state with the outcome of an attempt, then retries, or finishes or answers the request.
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
        let completed = CompletedAttempt {
            status: report.status,
            elapsed: report.elapsed,
            plan: request.plan,
            expected_in_flight: attempt.expected_in_flight,
            fully_sent: attempt.fully_sent,
            is_late: attempt.uses_attempt_timeout || report.elapsed >= latency_objective,
        };
        let hit_attempt_timeout = completed.status == AttemptStatus::Timeout && attempt.uses_attempt_timeout;
        if completed.status == AttemptStatus::Ok || hit_attempt_timeout {
            self.attempt_timeouts.record(request.class, latency_objective, completed.elapsed);
        }
        let server = attempt.server;
        if request.body_incomplete {
            request.restart_client_timeout(now, self.shutdown_deadline);
        }
        let is_request_finished = report.request_finished || request.finished;
        self.load.record_completion(
            now,
            completed.status,
            completed.elapsed,
            latency_objective,
            completed.fully_sent,
        );
        self.servers.update(now, server, |server| record_on_server(server, now, &completed));
        if is_request_finished {
            self.finish_request(id);
        } else if let Err(reason) = self.try_attempt(now, id, actions) {
            self.reject_or_fail(id, BASE_REJECTION_BACKOFF, reason, actions);
        }
    }
}

/// Updates the record of a server with the outcome of an attempt.
fn record_on_server(server: &mut Server, now: Micros, completed: &CompletedAttempt) {
    server.attempts_in_flight = server.attempts_in_flight.saturating_sub(u32::from(completed.fully_sent));
    match completed.status {
        AttemptStatus::Ok => {
            server.record_service_time(completed.elapsed, completed.expected_in_flight);
            server.health.record(now, Outcome::Success);
            server.clear_rejections(completed.plan);
        }
        AttemptStatus::Rejected => server.record_rejection(now, completed.plan),
        AttemptStatus::Error | AttemptStatus::ConnectionReset => server.health.record(now, Outcome::Failure),
        AttemptStatus::ConnectFailed => server.health.record(now, Outcome::Unreachable),
        AttemptStatus::Timeout | AttemptStatus::Cancelled if completed.is_late => {
            server.health.record(now, Outcome::Failure);
        }
        AttemptStatus::Timeout | AttemptStatus::Cancelled | AttemptStatus::NotSent => {}
    }
}
