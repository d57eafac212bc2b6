//! The delays between failed calls of discovery.

use crate::control::discovery::error::WatchError;
use crate::network::system_error::is_local_resource_error;
use std::time::Duration;

/// The delay after a failed call of an agent, and after a call that returned at once without a change: a watch
/// counts as uninterrupted if the next call follows within 200 ms.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The first delay after a failed call of a shared service, for each gateway of the fleet: the rate of calls by
/// the whole fleet stays the same.
const INITIAL_BACKOFF_PER_GATEWAY: Duration = Duration::from_millis(20);
/// The longest delay, for each gateway of the fleet, within the next two bounds.
const MAX_BACKOFF_PER_GATEWAY: Duration = Duration::from_millis(60);
/// The longest delay is at least this...
const MIN_BACKOFF_LIMIT: Duration = Duration::from_millis(500);
/// ...and at most this, since changes must not be learnt much later.
const MAX_BACKOFF_LIMIT: Duration = Duration::from_millis(4_000);

/// An exponential backoff with jitter, since gateways that failed together would otherwise retry together.
pub struct Backoff {
    /// Draws the jitter.
    random: fastrand::Rng,
    /// The first delay after a success.
    initial: Duration,
    /// The longest delay.
    limit: Duration,
    /// The next delay, before jitter.
    next: Duration,
}

impl Backoff {
    /// The backoff of one gateway of a fleet.
    pub fn new(gateway_count: usize, seed: u64) -> Backoff {
        let gateway_count = u32::try_from(gateway_count).unwrap_or(u32::MAX);
        let limit =
            MAX_BACKOFF_PER_GATEWAY.saturating_mul(gateway_count).clamp(MIN_BACKOFF_LIMIT, MAX_BACKOFF_LIMIT);
        let initial = INITIAL_BACKOFF_PER_GATEWAY.saturating_mul(gateway_count).min(limit);
        Backoff { random: fastrand::Rng::with_seed(seed), initial, limit, next: initial }
    }

    /// Starts again from the first delay, after a success.
    pub fn reset(&mut self) {
        self.next = self.initial;
    }

    /// The next delay: half to all of the current one, which doubles.
    fn next_delay(&mut self) -> Duration {
        let current = self.next;
        self.next = (current * 2).min(self.limit);
        current.mul_f64(0.5 + 0.5 * self.random.f64())
    }

    /// The delay after a failed call of an agent or of a shared service.
    pub fn delay_after(&mut self, error: &WatchError, is_shared_service: bool) -> Duration {
        match error {
            // The timeout was long enough, and changes are being missed.
            WatchError::TimedOut => Duration::ZERO,
            // Whoever sheds load serves many gateways, whatever the settings say.
            WatchError::Status(500..) => self.next_delay(),
            // The call never left this machine.
            WatchError::Connect(source) if is_local_resource_error(source) => RETRY_INTERVAL,
            _ if is_shared_service => self.next_delay(),
            _ => RETRY_INTERVAL,
        }
    }
}

#[cfg(test)]
mod tests;
