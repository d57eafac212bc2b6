//! Checks of the observations of a soak run against the operators' requirements.

use super::plan::{zone, Plan, CLASSES, DEDUPLICATION_WINDOW, WRITE_DELAY};
use super::record::{ClientRequest, Drain, ReceivedAttempt, Record, RequestOutcome};
use crate::rig::deployment::{KEYED, NON_IDEMPOTENT};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after the client timeout by which a response must have arrived.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Time by which the forwarded timeout may exceed the client's remaining time.
const FORWARDED_TIMEOUT_GRACE: Duration = Duration::from_millis(150);
/// Time after the publication of a drain during which an attempt may still start.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);
/// Time after the client's disconnection during which an attempt may still start.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// Tolerance that is added to a time limit when it is measured on sockets.
const SOCKET_GRACE: Duration = Duration::from_millis(50);
/// Time by which a delayed write may exceed [`WRITE_DELAY`], as the sleep behind the delay ends late.
const WRITE_DELAY_OVERRUN: Duration = Duration::from_millis(50);
/// Time that a busy machine may add to a duration that a client thread measures.
const MEASUREMENT_GRACE: Duration = Duration::from_millis(150);

/// The observations of a run and its random plan.
struct Run<'a> {
    record: &'a Record,
    plan: &'a Plan,
}

impl Run<'_> {
    /// Returns whether a connection may have been broken in an interval by a fault of the plan or by SIGKILL.
    fn may_break_connections(&self, from: Instant, to: Instant) -> bool {
        self.plan.breaks_connections() || self.record.was_killed_between(from, to)
    }
}

/// Returns descriptions of the violations of the requirements in a run.
pub fn violations(record: &Record, plan: &Plan) -> Vec<String> {
    let run = Run { record, plan };
    let requests = record.requests.lock().unwrap();
    let all_attempts = record.attempts.lock().unwrap();
    let mut by_request: HashMap<&str, Vec<&ReceivedAttempt>> = HashMap::new();
    for attempt in all_attempts.iter() {
        by_request.entry(&attempt.request_id).or_default().push(attempt);
    }
    let mut violations = Vec::new();
    for request in requests.iter() {
        let mut attempts = by_request.get(request.id.as_str()).cloned().unwrap_or_default();
        let found = request_violations(request, &attempts, &run);
        if !found.is_empty() {
            violations.extend(found);
            let connected = record.time_since_signal(request.connected_at);
            let written = record.time_since_signal(request.written_at);
            attempts.sort_by_key(|attempt| attempt.first_byte_at);
            violations.push(format!(
                "  {request:?}, connected {connected:?} and written {written:?} after the signal to stop, \
                 attempts {attempts:#?}"
            ));
        }
    }
    violations.extend(all_attempts.iter().flat_map(|attempt| drain_violations(attempt, record)));
    violations
}

/// Returns the violations of the requirements by one request and its attempts.
fn request_violations(request: &ClientRequest, attempts: &[&ReceivedAttempt], run: &Run<'_>) -> Vec<String> {
    let mut violations = outcome_violations(request, attempts, run);
    violations.extend(duplicate_runs(request, attempts));
    violations.extend(attempts.iter().flat_map(|attempt| attempt_violations(request, attempt, run)));
    let class = CLASSES[request.class];
    violations.into_iter().map(|violation| format!("{violation}: {}, {class}", request.id)).collect()
}

/// Checks that a request got one final response, in time, whose status agrees with the attempts that servers
/// received.
fn outcome_violations(request: &ClientRequest, attempts: &[&ReceivedAttempt], run: &Run<'_>) -> Vec<String> {
    let may_have_run = attempts.iter().any(|attempt| !attempt.rejected);
    let mut violations = Vec::new();
    match request.outcome {
        RequestOutcome::Response { status, complete, is_long, began_at, at } => {
            let latest = request.written_at + request.timeout + RESPONSE_GRACE + MEASUREMENT_GRACE;
            let is_slow = attempts.iter().any(|attempt| attempt.responds_slowly);
            let is_sound = attempts.iter().all(|attempt| attempt.responds_slowly);
            // A long response has to begin in time, as has one that its server breaks off.
            let timed_at = if status == 200 && (is_long || !complete) { began_at } else { at };
            if timed_at > latest {
                let elapsed = timed_at - request.written_at;
                violations.push(format!("lost (response after {elapsed:?} of {:?})", request.timeout));
            }
            if is_long && !is_slow {
                violations.push("a response that no server gave".to_owned());
            }
            if status == 200 && !complete && is_sound && !run.may_break_connections(began_at, at) {
                violations.push("lost (a long response was cut off)".to_owned());
            }
            if matches!(status, 429 | 503) && may_have_run && request.class == NON_IDEMPOTENT {
                violations.push("rejected although an attempt may have run".to_owned());
            }
            if status == 200 && complete && !may_have_run {
                violations.push("successful response although no attempt can have run".to_owned());
            }
        }
        RequestOutcome::Closed if !attempts.is_empty() => {
            violations.push("lost (forwarded, then closed without a response)".to_owned());
        }
        // While idle clients exhaust the descriptors, new connections may be closed unread.
        RequestOutcome::Closed if request.first_on_connection && !run.plan.exhausts_descriptors() => {
            violations.push("lost (closed on a new connection)".to_owned());
        }
        // The close of an idle connection crossed the request, which a client sends again.
        RequestOutcome::Closed | RequestOutcome::Disconnected(_) => {}
    }
    violations
}

/// Returns a violation for each attempt after the first that may have run, where the class allows no further
/// one.
fn duplicate_runs(request: &ClientRequest, attempts: &[&ReceivedAttempt]) -> Vec<String> {
    let mut in_order = attempts.to_vec();
    in_order.sort_by_key(|attempt| attempt.first_byte_at);
    let mut attempts = in_order.into_iter().skip_while(|attempt| attempt.rejected);
    let Some(first) = attempts.next() else { return Vec::new() };
    let is_duplicate = |later: &&ReceivedAttempt| {
        let window = DEDUPLICATION_WINDOW + SOCKET_GRACE;
        let outside_scope = zone(later.server) != zone(first.server);
        let after_window = later.first_byte_at > first.first_byte_at + window;
        request.class == NON_IDEMPOTENT || request.class == KEYED && (outside_scope || after_window)
    };
    attempts.filter(is_duplicate).map(|_| "duplicate".to_owned()).collect()
}

/// Checks that the forwarded timeout is at most the client's remaining time, and that no attempt starts after
/// the client has disconnected.
fn attempt_violations(request: &ClientRequest, attempt: &ReceivedAttempt, run: &Run<'_>) -> Vec<String> {
    let mut violations = Vec::new();
    if request.repeated {
        // The attempt may belong to either of the two requests.
        return violations;
    }
    let times_out_at = request.written_at + request.timeout;
    let left = times_out_at.saturating_duration_since(attempt.complete_at);
    if attempt.forwarded_timeout > left + forwarded_timeout_grace(request, attempt, run) {
        violations.push(format!("forwarded timeout {:?} with {left:?} left", attempt.forwarded_timeout));
    }
    if let RequestOutcome::Disconnected(at) = request.outcome {
        if attempt.first_byte_at > at + disconnect_grace(at, attempt, run) {
            let late = attempt.first_byte_at - at;
            violations.push(format!("lost (attempt {late:?} after its client disconnected)"));
        }
    }
    violations
}

/// Returns the time by which the forwarded timeout may exceed the client's remaining time. The tolerance in
/// the requirements covers a write delay of 0.15 s, but not the overrun of that delay, nor a scheduling delay
/// of the same call or a pause of the process in addition.
fn forwarded_timeout_grace(request: &ClientRequest, attempt: &ReceivedAttempt, run: &Run<'_>) -> Duration {
    if !run.plan.delays_writes() {
        return FORWARDED_TIMEOUT_GRACE;
    }
    FORWARDED_TIMEOUT_GRACE
        + WRITE_DELAY_OVERRUN
        + run.plan.max_call_delay()
        + run.record.paused_between(request.written_at, attempt.complete_at)
}

/// Returns the time after the client's disconnection during which an attempt may still start. The
/// requirements exclude a delay within the write itself, during which the gateway cannot check the client,
/// and a pause of the process.
fn disconnect_grace(disconnected_at: Instant, attempt: &ReceivedAttempt, run: &Run<'_>) -> Duration {
    if run.plan.delays_writes() {
        return DISCONNECT_GRACE + WRITE_DELAY;
    }
    DISCONNECT_GRACE + run.record.paused_between(disconnected_at, attempt.first_byte_at)
}

/// Returns a violation for each drain during which an attempt must not have started.
fn drain_violations(attempt: &ReceivedAttempt, record: &Record) -> Vec<String> {
    let process_started_at = record.process_at(attempt.first_byte_at).map(|process| process.started_at);
    let violation = |drain: &Drain| {
        // A drain published before the start of a process counts as notified at that start.
        let notified_at =
            process_started_at.map_or(drain.published_at, |started| started.max(drain.published_at));
        let late = attempt.first_byte_at > notified_at + DRAIN_GRACE;
        let during_drain = drain.ended_at.is_none_or(|ended_at| attempt.first_byte_at < ended_at);
        (drain.server == attempt.server && late && during_drain).then(|| {
            let after = attempt.first_byte_at - notified_at;
            let before_end = drain.ended_at.map(|ended_at| ended_at - attempt.first_byte_at);
            format!(
                "drain: {} forwarded {after:?} after the notification and {before_end:?} before the end",
                attempt.request_id
            )
        })
    };
    record.drains.lock().unwrap().iter().filter_map(violation).collect()
}
