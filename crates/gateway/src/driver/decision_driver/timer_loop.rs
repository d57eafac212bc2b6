//! The loop that fires timers as they fall due.

use super::{DecisionDriver, DriverState};
use crate::driver::timers::DueTimer;
use grebehook_core::{AttemptStatus, Event, Micros};
use std::rc::Rc;
use std::time::Instant;
use tokio::time::sleep_until;

/// How often idle connections to servers are checked for expiry; also the longest sleep of the loop.
pub(super) const CLOSE_EXPIRED_INTERVAL: Micros = 500_000;

impl DecisionDriver {
    /// Fires timers as they fall due, for as long as the process lives.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let wake_at = self.fire_due_timers();
            tokio::select! {
                () = sleep_until(wake_at.into()) => {}
                () = self.earlier_timer.notified() => {}
            }
        }
    }

    /// Fires every timer that is due. Returns when to look again.
    fn fire_due_timers(self: &Rc<Self>) -> Instant {
        let mut state = self.state.borrow_mut();
        while let Some(timer) = state.timers.pop_due(self.clock.now()) {
            self.fire(&mut state, timer);
            self.process_events(&mut state);
        }
        let DriverState { timers, requests, .. } = &mut *state;
        timers.discard_obsolete(|timer| requests.is_obsolete(timer));
        let latest = self.clock.now() + CLOSE_EXPIRED_INTERVAL;
        self.clock.instant_at(timers.schedule_wake(latest))
    }

    /// Does what a timer was set for.
    fn fire(&self, state: &mut DriverState, timer: DueTimer) {
        match timer {
            DueTimer::Decision(timer) => state.events.push_back(Event::Timer { timer }),
            DueTimer::AttemptTimeout { id, attempt } => {
                self.abort_if_in_flight(state, id, attempt, AttemptStatus::Timeout);
            }
            DueTimer::RequestDeadline(id) => self.end_overdue(state, id),
            DueTimer::CloseExpiredConnections => {
                self.transports.upstream.pool.close_expired();
                let next = self.clock.now() + CLOSE_EXPIRED_INTERVAL;
                self.arm(state, next, DueTimer::CloseExpiredConnections);
            }
        }
    }

    /// Sets a timer.
    pub(super) fn arm(&self, state: &mut DriverState, at: Micros, timer: DueTimer) {
        if state.timers.arm(at, timer) {
            self.earlier_timer.notify_one();
        }
    }
}
