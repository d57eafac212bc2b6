//! Conversion of servers' start times to this process's clock. Service discovery states start times by the
//! fleet's wall clock, from which this machine's clock may differ by any amount if it was stepped before the
//! process began.
//!
//! Two facts bound the offset without reading the wall clock: no start lies in the future, and a start newer
//! than all earlier ones happened after the last answer of discovery, apart from the delay with which a
//! change arrives. If a start contradicts one of them, the offset is corrected so that the newest start is
//! the present time, which can only make the slow start longer than necessary. Two errors go undetected: a
//! clock that is ahead by less than [`CHANGE_DELAY`], and a clock that is ahead when the first list contains
//! a recent start.

use crate::api::{Endpoint, Micros, NonZeroMicros, WatchEvent};

/// Maximum delay assumed between a change of the list and its arrival. Changes arrive some seconds late; with
/// a correct clock, hardly any is older than this.
const CHANGE_DELAY: Micros = 10_000_000;
/// Start times further ahead of this process's clock are ignored as invalid.
const MAX_LEAD: Micros = 24 * 3_600_000_000;

/// The offset between this process's clock and the fleet's, inferred from the start times of servers.
#[derive(Default)]
pub(crate) struct StartTimes {
    /// Microseconds by which this process's clock is ahead of the fleet's; negative if it is behind.
    clock_offset: i64,
    /// Newest start listed so far, by the fleet's clock.
    newest: Option<Micros>,
    /// Time of discovery's last answer, by this process's clock.
    answered_at: Option<Micros>,
}

impl StartTimes {
    /// Checks the offset against the start times of an update received now. Returns whether the offset was
    /// corrected.
    pub fn observe(&mut self, now: Micros, watch_event: WatchEvent, endpoints: &[Endpoint]) -> bool {
        let answered_before = self.answered_at;
        if watch_event != WatchEvent::CachedSnapshot {
            self.answered_at = Some(now);
        }
        let Some(newest) = self.newest_start(now, endpoints) else { return false };
        self.newest = Some(newest);
        let age = self.age(now, newest);
        let max_age = |answered: Micros| (now - answered + CHANGE_DELAY) as i64;
        let contradicts_offset = age < 0 || answered_before.is_some_and(|answered| age > max_age(answered));
        if contradicts_offset {
            self.clock_offset += age;
        }
        contradicts_offset
    }

    /// Returns the newest start of a list, if it is newer than all those listed before.
    fn newest_start(&self, now: Micros, endpoints: &[Endpoint]) -> Option<Micros> {
        let starts = endpoints.iter().filter_map(|endpoint| endpoint.started_at).map(NonZeroMicros::get);
        let newest = starts.filter(|at| self.age(now, *at) > -(MAX_LEAD as i64)).max();
        newest.filter(|at| self.newest.is_none_or(|known| *at > known))
    }

    /// Converts a start time from the fleet's clock to this process's clock.
    pub fn to_local(&self, started_at: NonZeroMicros) -> NonZeroMicros {
        let local = started_at.get().saturating_add_signed(self.clock_offset);
        NonZeroMicros::new(local).unwrap_or(NonZeroMicros::MIN)
    }

    /// Returns the time since a start given by the fleet's clock, in microseconds; negative if the start lies
    /// in the future.
    fn age(&self, now: Micros, started_at: Micros) -> i64 {
        now as i64 - self.clock_offset - started_at as i64
    }
}
