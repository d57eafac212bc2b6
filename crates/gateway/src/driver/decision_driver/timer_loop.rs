//! Loop that fires timers when they are due.

use super::{DecisionDriver, DriverState};
use crate::driver::timers::Timer;
use grebehook_core::{Event, Micros};
use std::rc::Rc;
use std::time::Instant;
use tokio::time::sleep_until;

/// Interval between checks for expired idle connections to servers, in microseconds. It is also the maximum
/// time for which the timer loop sleeps.
pub(super) const EXPIRY_CHECK_INTERVAL: Micros = 500_000;

impl DecisionDriver {
    /// Fires timers when they are due. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let wake_at = self.fire_due_timers();
            tokio::select! {
                () = sleep_until(wake_at.into()) => {}
                () = self.earlier_timer_armed.notified() => {}
            }
        }
    }

    /// Fires every timer that is due. Returns the time of the next wake-up.
    fn fire_due_timers(self: &Rc<Self>) -> Instant {
        let mut state = self.state.borrow_mut();
        while let Some(timer) = state.timers.pop_due(self.clock.now()) {
            self.fire(&mut state, timer);
            self.process_events(&mut state);
        }
        let DriverState { timers, requests, decision_core, .. } = &mut *state;
        timers.discard_obsolete(|timer| match timer {
            Timer::Decision(timer) => decision_core.is_obsolete(timer),
            timer => requests.is_obsolete(timer),
        });
        let latest = self.clock.now() + EXPIRY_CHECK_INTERVAL;
        self.clock.instant_at(timers.schedule_wake(latest))
    }

    /// Performs the operation of a timer that is due.
    fn fire(&self, state: &mut DriverState, timer: Timer) {
        match timer {
            Timer::Decision(timer) => state.events.push_back(Event::Timer { timer }),
            Timer::AttemptTimeout { id, attempt } => {
                self.expire_attempt(state, id, attempt);
            }
            Timer::RequestDeadline(id) => self.expire_request(state, id),
            Timer::CloseExpiredServerConnections => {
                self.transports.upstream.pool.close_expired();
                let next = self.clock.now() + EXPIRY_CHECK_INTERVAL;
                self.arm(state, next, Timer::CloseExpiredServerConnections);
            }
        }
    }

    /// Arms a timer, and wakes the timer loop if the timer is due before the scheduled wake-up.
    pub(super) fn arm(&self, state: &mut DriverState, at: Micros, timer: Timer) {
        if state.timers.arm(at, timer) {
            self.earlier_timer_armed.notify_one();
        }
    }
}
