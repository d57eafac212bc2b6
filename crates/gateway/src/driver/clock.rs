//! Clock of the process, shared by the decision core, the timers and the connections to servers.

use grebehook_core::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock that returns the Unix time at the start of the process plus the monotonic time since then. Timers
/// and the start times of servers share this time scale, which is not affected by steps of the system clock.
#[derive(Clone, Copy)]
pub struct Clock {
    /// Unix time at the start of the process.
    start_unix: Micros,
    /// Start of the process on the monotonic clock.
    start: Instant,
}

impl Clock {
    /// Creates a clock that counts from the current time.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start_unix: unix.as_micros() as Micros, start: Instant::now() }
    }

    /// Returns the current time, in microseconds since the Unix epoch.
    pub fn now(&self) -> Micros {
        self.start_unix + self.start.elapsed().as_micros() as Micros
    }

    /// Converts a monotonic instant to microseconds since the Unix epoch.
    pub fn micros_at(&self, instant: Instant) -> Micros {
        self.start_unix + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// Converts microseconds since the Unix epoch to a monotonic instant.
    pub fn instant_at(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros(time.saturating_sub(self.start_unix))
    }
}
