//! The metrics of requests and attempts, counted from the start of the process.

use grebehook_core::EndpointCounts;
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Served,
    /// Rejected.
    Rejected,
    /// Failed.
    Failed,
}

/// The outcomes with their names in the metrics, in the order of [`RequestCounters::ended`].
const OUTCOMES: [(RequestOutcome, &str); 3] =
    [(RequestOutcome::Served, "ok"), (RequestOutcome::Rejected, "shed"), (RequestOutcome::Failed, "errors")];

/// All counters of the process.
pub struct RequestCounters {
    /// The names of the classes, by their index in the settings.
    classes: Vec<String>,
    /// Requests ended, by class and outcome.
    ended: RefCell<Vec<[u64; OUTCOMES.len()]>>,
    /// Requests accepted and not ended.
    active: Cell<u64>,
    /// Attempts that were written to servers completely.
    pub attempts: Rc<Cell<u64>>,
}

impl RequestCounters {
    /// Counters at zero.
    pub fn new(classes: Vec<String>) -> Rc<RequestCounters> {
        let ended = RefCell::new(vec![Default::default(); classes.len()]);
        Rc::new(RequestCounters { classes, ended, active: Cell::new(0), attempts: Rc::default() })
    }

    /// A request of a class was accepted. It is active until the guard is dropped.
    pub fn begin(self: &Rc<Self>, class: usize) -> RequestCounterGuard {
        self.active.set(self.active.get() + 1);
        RequestCounterGuard { counters: self.clone(), class, outcome: Cell::new(RequestOutcome::Failed) }
    }

    /// The metrics as operators read them.
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
        text
    }

    /// A request of a class ended.
    fn end(&self, class: usize, outcome: RequestOutcome) {
        self.active.set(self.active.get() - 1);
        let column = OUTCOMES.iter().position(|(listed, _)| *listed == outcome);
        let mut ended = self.ended.borrow_mut();
        if let Some(count) = column.and_then(|column| ended.get_mut(class)?.get_mut(column)) {
            *count += 1;
        }
    }
}

/// A request that was accepted. It is counted once, when this is dropped: as failed, unless another outcome was set.
pub struct RequestCounterGuard {
    /// The counters of the process.
    counters: Rc<RequestCounters>,
    /// The index of the request's class.
    class: usize,
    /// The outcome so far.
    outcome: Cell<RequestOutcome>,
}

impl RequestCounterGuard {
    /// Sets how the request ends.
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
