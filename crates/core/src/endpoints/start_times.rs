//! When servers started, by this process's clock. Discovery gives starts by the fleet's wall clock, from
//! which that of this machine may differ by any time if it was stepped before the process began.
//!
//! Two facts bound the difference without a look at the wall clock. No start lies in the future. And a start
//! newer than any seen before has happened since discovery last answered, but for the time that a change
//! takes to arrive. A clock that contradicts one of them is corrected such that the newest start was just
//! now, which errs on the side of the slower slow start. What remains unseen is a clock ahead by less than
//! [`CHANGE_DELAY`], and one that is ahead when the first list has a start that was recent then.

use crate::api::{Endpoint, Micros, NonZeroMicros, WatchEvent};

/// Changes of the list arrive some seconds late; by a correct clock hardly any are older.
const CHANGE_DELAY: Micros = 10_000_000;
/// A start said to lie further ahead is not the fleet's time.
const MAX_STEP: Micros = 24 * 3_600_000_000;

/// The difference between this process's clock and the fleet's, as far as the starts of servers show it.
#[derive(Default)]
pub(crate) struct StartTimes {
    /// Microseconds that this process's clock is ahead; negative where it is behind.
    clock_offset: i64,
    /// The newest start listed, by the fleet's clock.
    newest: Option<Micros>,
    /// When discovery last answered, by this process's clock.
    answered_at: Option<Micros>,
}

impl StartTimes {
    /// Evaluates the starts of a list that came now. Returns whether the difference was corrected.
    pub fn observe(&mut self, now: Micros, watch_event: WatchEvent, endpoints: &[Endpoint]) -> bool {
        let answered_before = self.answered_at;
        if watch_event != WatchEvent::CachedSnapshot {
            self.answered_at = Some(now);
        }
        let Some(newest) = self.newest_start(now, endpoints) else { return false };
        self.newest = Some(newest);
        let age = self.age(now, newest);
        let max_age = |answered: Micros| (now - answered + CHANGE_DELAY) as i64;
        let is_wrong = age < 0 || answered_before.is_some_and(|answered| age > max_age(answered));
        if is_wrong {
            self.clock_offset += age;
        }
        is_wrong
    }

    /// The newest start of a list, if it is newer than any listed before.
    fn newest_start(&self, now: Micros, endpoints: &[Endpoint]) -> Option<Micros> {
        let starts = endpoints.iter().filter_map(|endpoint| endpoint.started_at).map(NonZeroMicros::get);
        let newest = starts.filter(|at| self.age(now, *at) > -(MAX_STEP as i64)).max();
        newest.filter(|at| self.newest.is_none_or(|known| *at > known))
    }

    /// A start by this process's clock, from the fleet's.
    pub fn local(&self, started_at: NonZeroMicros) -> NonZeroMicros {
        let local = started_at.get().saturating_add_signed(self.clock_offset);
        NonZeroMicros::new(local).unwrap_or(NonZeroMicros::MIN)
    }

    /// How long ago a start was; negative where it would lie in the future.
    fn age(&self, now: Micros, started_at: Micros) -> i64 {
        now as i64 - self.clock_offset - started_at as i64
    }
}
