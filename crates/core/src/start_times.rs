//! When servers started, by this process's clock. Discovery tells starts by the fleet's wall clock,
//! from which that of this machine may be off by any time if it was stepped before the process began.
//! Called by `membership.rs` for each list.
//!
//! Two facts bound the difference without a look at the wall clock. No start that was told lies in the
//! future. And a start newer than any seen before has happened since discovery last answered, but for
//! the time that news takes to arrive. A clock that contradicts one of them is corrected such that the
//! newest start was just now, which errs on the side of the slower ramp. What remains unseen is a clock
//! ahead by less than [`NEWS_DELAY`], and one that is ahead as the first list tells of a start that was
//! recent then.

use crate::api::*;

/// News of a start arrive some seconds late; by a sound clock hardly any are older.
const NEWS_DELAY: Micros = 10_000_000;
/// A start said to lie further ahead is not the fleet's time.
const MAX_STEP: Micros = 24 * 3_600_000_000;

/// The difference between this process's clock and the fleet's, as far as the starts of servers show it.
#[derive(Default)]
pub(crate) struct StartTimes {
    /// What this process's clock is ahead; negative where it is behind.
    ahead: i64,
    /// The newest start told, by the fleet's clock.
    newest: Option<Micros>,
    /// When discovery last answered, by this process's clock.
    answered: Option<Micros>,
}

impl StartTimes {
    /// Takes the starts of a list that came now. Whether the difference was corrected.
    pub fn observe(&mut self, now: Micros, watch_event: WatchEvent, endpoints: &[Endpoint]) -> bool {
        let is_plausible = |at: &Micros| self.age(now, *at) > -(MAX_STEP as i64);
        let newest = endpoints.iter().filter_map(|endpoint| endpoint.started_at).filter(is_plausible).max();
        let answered_before = self.answered;
        if watch_event != WatchEvent::CachedSnapshot {
            self.answered = Some(now);
        }
        let Some(newest) = newest.filter(|at| self.newest.is_none_or(|known| *at > known)) else {
            return false;
        };
        self.newest = Some(newest);
        let age = self.age(now, newest);
        let is_ahead = answered_before.is_some_and(|before| age > (now - before + NEWS_DELAY) as i64);
        let is_off = age < 0 || is_ahead;
        if is_off {
            self.ahead += age;
        }
        is_off
    }

    /// A start by this process's clock, from the fleet's.
    pub fn local(&self, started_at: Micros) -> Micros {
        started_at.saturating_add_signed(self.ahead).max(1)
    }

    /// How long ago a start was; negative where it would lie in the future.
    fn age(&self, now: Micros, started_at: Micros) -> i64 {
        now as i64 - self.ahead - started_at as i64
    }
}
