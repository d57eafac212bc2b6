//! Events by which requests end without the answer of a server, or with a part of one: a count of each kind for the
//! metrics, and a rate-limited log line with the request's id.

use crate::logging::ErrorChain;
use crate::network::line_limiter::LineLimiter;
use std::cell::Cell;
use std::error::Error;
use std::fmt::Write;
use std::time::Instant;
use tracing::warn;

/// An event at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// Refused: other requests kept all memory for bodies.
    NoMemoryForBody,
    /// Not accepted: its id is open or may have run.
    RepeatedId,
    /// Not accepted: its body did not arrive in time.
    BodyIncomplete,
    /// Refused: its client had gone, or had sent so much more that it may have.
    ClientGone,
    /// Answered before a server had taken all of its body.
    UploadGivenUp,
    /// Its answer was ended, since it was late and its server did not go on with it.
    AnswerCutOff,
    /// Its answer could not be forwarded to the end, as its server stopped or broke off.
    AnswerBroken,
}

/// All kinds of events with their names in the metrics and their log lines, in the order of [`RequestEvent`].
const EVENTS: [(RequestEvent, &str, &str); 7] = [
    (RequestEvent::NoMemoryForBody, "no_memory", "a request was refused: no memory for its body"),
    (RequestEvent::RepeatedId, "repeated_id", "a request was not accepted: its id is open or may have run"),
    (RequestEvent::BodyIncomplete, "incomplete_body", "a request was not accepted: its body did not arrive"),
    (RequestEvent::ClientGone, "client_gone", "a request was refused: its client may have gone"),
    (
        RequestEvent::UploadGivenUp,
        "upload_given_up",
        "a request's body was not taken by a server in time; answering without it",
    ),
    (RequestEvent::AnswerCutOff, "answer_cut_off", "an answer was ended: it was late and did not go on"),
    (RequestEvent::AnswerBroken, "answer_broken", "an answer ended before it was whole"),
];

/// The events since the start of the process.
#[derive(Default)]
pub struct RequestEvents {
    /// Counts in the order of [`EVENTS`].
    counts: [Cell<u64>; EVENTS.len()],
    log_limiter: LineLimiter,
}

impl RequestEvents {
    /// Counts an event, and logs it with its cause, if that is known, unless there are too many lines.
    pub fn record(&self, event: RequestEvent, id: &[u8], cause: Option<&dyn Error>) {
        let count = &self.counts[event as usize];
        count.set(count.get() + 1);
        let Some(suppressed) = self.log_limiter.admit(Instant::now()) else { return };
        let (_, _, message) = EVENTS[event as usize];
        let id = String::from_utf8_lossy(id);
        match cause {
            Some(cause) => warn!(%id, reason = %ErrorChain(cause), suppressed, "{message}"),
            None => warn!(%id, suppressed, "{message}"),
        }
    }

    /// Returns the counts in the text form of the metrics.
    pub fn metrics_text(&self) -> String {
        let mut text = String::new();
        for ((_, kind, _), count) in EVENTS.iter().zip(&self.counts) {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "gateway_events{{kind=\"{kind}\"}} {}", count.get());
        }
        text
    }
}

#[cfg(test)]
mod tests;
