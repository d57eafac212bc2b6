//! What operators are told of requests and attempts, counted from the start of the process.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Served,
    /// Refused.
    Rejected,
    /// Failed.
    Failed,
}

/// The endings by the names that operators know, in the order of the counts.
const OUTCOMES: [(RequestOutcome, &str); 3] =
    [(RequestOutcome::Served, "ok"), (RequestOutcome::Rejected, "shed"), (RequestOutcome::Failed, "errors")];

/// All counts of one process.
pub struct RequestCounters {
    /// WireNames of the classes, by their place in the settings.
    classes: Vec<String>,
    ended: RefCell<Vec<[u64; OUTCOMES.len()]>>,
    active: Cell<u64>,
    /// Attempts written whole to servers.
    pub attempts: Rc<Cell<u64>>,
}

impl RequestCounters {
    /// Nothing has happened yet.
    pub fn new(classes: Vec<String>) -> Rc<RequestCounters> {
        let ended = RefCell::new(vec![Default::default(); classes.len()]);
        Rc::new(RequestCounters { classes, ended, active: Cell::new(0), attempts: Rc::default() })
    }

    /// A request of a class was taken; it is active until its token is dropped.
    pub fn begin(self: &Rc<Self>, class: usize) -> RequestCounterGuard {
        self.active.set(self.active.get() + 1);
        RequestCounterGuard { counters: self.clone(), class, outcome: Cell::new(RequestOutcome::Failed) }
    }

    /// The figures as operators read them, with those of the list of servers.
    pub fn metrics_text(&self, (size, ejected): (usize, usize)) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        for (class, ended) in self.classes.iter().zip(self.ended.borrow().iter()) {
            for ((_, name), count) in OUTCOMES.iter().zip(ended) {
                let _ = writeln!(text, "gateway_responses{{kind=\"{class}\",result=\"{name}\"}} {count}");
            }
        }
        let figures = [
            ("tries", self.attempts.get()),
            ("active", self.active.get()),
            ("pool_size", size as u64),
            ("pool_ejected", ejected as u64),
        ];
        for (name, value) in figures {
            let _ = writeln!(text, "gateway_{name} {value}");
        }
        text
    }
}

/// A request that was taken. It counts once, when this is dropped: as failed, unless another ending was told.
pub struct RequestCounterGuard {
    counters: Rc<RequestCounters>,
    class: usize,
    outcome: Cell<RequestOutcome>,
}

impl RequestCounterGuard {
    /// Tells how it ends.
    pub fn set_outcome(&self, ending: RequestOutcome) {
        self.outcome.set(ending);
    }
}

impl Drop for RequestCounterGuard {
    fn drop(&mut self) {
        self.counters.active.set(self.counters.active.get() - 1);
        let ending = OUTCOMES.iter().position(|(e, _)| *e == self.outcome.get());
        let mut ended = self.counters.ended.borrow_mut();
        if let Some(count) = ending.and_then(|k| ended.get_mut(self.class)?.get_mut(k)) {
            *count += 1;
        }
    }
}

#[cfg(test)]
mod tests;
