//! Metrics of requests and attempts since the start of the process.

use crate::operations::request_events::{RequestEvent, RequestEvents};
use grebehook_core::EndpointCounts;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::fmt::Write;
use std::rc::Rc;

/// Outcome of a request, by which the metrics count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Served,
    Rejected,
    Failed,
}

/// Outcomes with their label values in the metrics, in the column order of [`RequestCounters::ended`].
const OUTCOMES: [(RequestOutcome, &str); 3] =
    [(RequestOutcome::Served, "ok"), (RequestOutcome::Rejected, "shed"), (RequestOutcome::Failed, "errors")];

/// Counters of requests and attempts in this process.
pub struct RequestCounters {
    /// Names of the request classes, by class index.
    classes: Vec<String>,
    /// Number of completed requests, by class index and outcome.
    ended: RefCell<Vec<[u64; OUTCOMES.len()]>>,
    /// Number of requests in progress.
    active: Cell<u64>,
    /// Number of attempts whose request was written to a server completely.
    pub attempts: Rc<Cell<u64>>,
    /// Events by which requests ended without the whole answer of a server.
    pub events: RequestEvents,
}

impl RequestCounters {
    /// Creates counters for the classes with the given names, all at zero.
    pub fn new(classes: Vec<String>) -> Rc<RequestCounters> {
        let ended = RefCell::new(vec![Default::default(); classes.len()]);
        Rc::new(RequestCounters {
            classes,
            ended,
            active: Cell::new(0),
            attempts: Rc::default(),
            events: RequestEvents::default(),
        })
    }

    /// Counts an accepted request of a class as active until the returned guard is dropped.
    pub fn begin(self: &Rc<Self>, class: usize) -> RequestCounterGuard {
        self.active.set(self.active.get() + 1);
        RequestCounterGuard { counters: self.clone(), class, outcome: Cell::new(RequestOutcome::Failed) }
    }

    /// Returns the metrics in text form, including the given endpoint counts.
    pub fn metrics_text(&self, endpoints: EndpointCounts) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        for (class, ended) in self.classes.iter().zip(self.ended.borrow().iter()) {
            for ((_, outcome), count) in OUTCOMES.iter().zip(ended) {
                let _ = writeln!(text, "gateway_responses{{kind=\"{class}\",result=\"{outcome}\"}} {count}");
            }
        }
        let _ = writeln!(text, "gateway_tries {}", self.attempts.get());
        let _ = writeln!(text, "gateway_active {}", self.active.get());
        let _ = writeln!(text, "gateway_pool_size {}", endpoints.listed);
        let _ = writeln!(text, "gateway_pool_ejected {}", endpoints.ejected);
        text + &self.events.metrics_text()
    }

    /// Counts the end of a request of a class.
    fn end(&self, class: usize, outcome: RequestOutcome) {
        self.active.set(self.active.get() - 1);
        let column = OUTCOMES.iter().position(|(listed, _)| *listed == outcome);
        let mut ended = self.ended.borrow_mut();
        if let Some(count) = column.and_then(|column| ended.get_mut(class)?.get_mut(column)) {
            *count += 1;
        }
    }
}

/// Guard that counts an accepted request once, when it is dropped: as failed, unless another outcome was set.
pub struct RequestCounterGuard {
    counters: Rc<RequestCounters>,
    /// Index of the request's class.
    class: usize,
    outcome: Cell<RequestOutcome>,
}

impl RequestCounterGuard {
    /// Records an event at the request, with its cause if that is known.
    pub fn record_event(&self, event: RequestEvent, id: &[u8], cause: Option<&dyn Error>) {
        self.counters.events.record(event, id, cause);
    }

    /// Sets the outcome that is counted when the guard is dropped.
    pub fn set_outcome(&self, outcome: RequestOutcome) {
        self.outcome.set(outcome);
    }
}

impl Drop for RequestCounterGuard {
    fn drop(&mut self) {
        self.counters.end(self.class, self.outcome.get());
    }
}

#[cfg(test)]
mod tests;
