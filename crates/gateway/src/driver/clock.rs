//! The one clock of the process, shared by the decision core, the timers and the connections to servers.

use grebehook_core::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time at the start of the process plus the monotonic time since then: one axis for timers and for the start
/// times of servers, which no step of the system clock moves.
#[derive(Clone, Copy)]
pub struct Clock {
    /// Unix time at the start of the process.
    start_unix: Micros,
    /// The same moment on the monotonic clock.
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start_unix: unix.as_micros() as Micros, start: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.start_unix + self.start.elapsed().as_micros() as Micros
    }

    /// The time of an instant.
    pub fn micros_at(&self, instant: Instant) -> Micros {
        self.start_unix + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// The instant of a time.
    pub fn instant_at(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros(time.saturating_sub(self.start_unix))
    }
}
