//! Delays before retries of failed discovery calls.

use crate::control::discovery::error::WatchError;
use crate::network::system_error::is_local_resource_error;
use std::time::Duration;

/// Delay after a failed call of an agent, and after a call that returned at once without a change. The next
/// call has to follow within 200 ms for the watch to count as uninterrupted.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Initial delay after a failed call of a shared service, per gateway of the fleet, which keeps the call rate
/// of the whole fleet independent of its size.
const INITIAL_BACKOFF_PER_GATEWAY: Duration = Duration::from_millis(20);
/// Maximum delay, per gateway of the fleet, before it is clamped to [`MIN_BACKOFF_LIMIT`] and
/// [`MAX_BACKOFF_LIMIT`].
const MAX_BACKOFF_PER_GATEWAY: Duration = Duration::from_millis(60);
/// Lower bound of the maximum delay.
const MIN_BACKOFF_LIMIT: Duration = Duration::from_millis(500);
/// Upper bound of the maximum delay, which bounds how late a change reaches the gateway.
const MAX_BACKOFF_LIMIT: Duration = Duration::from_millis(4_000);

/// Exponential backoff with jitter, which keeps gateways whose calls failed together from retrying together.
pub struct Backoff {
    jitter_rng: fastrand::Rng,
    initial_delay: Duration,
    max_delay: Duration,
    /// Upper bound of the next delay, before jitter.
    current_delay: Duration,
}

impl Backoff {
    /// Creates the backoff of one gateway in a fleet of `gateway_count`; `seed` initializes the jitter.
    pub fn new(gateway_count: usize, seed: u64) -> Backoff {
        let gateway_count = u32::try_from(gateway_count).unwrap_or(u32::MAX);
        let max_delay =
            MAX_BACKOFF_PER_GATEWAY.saturating_mul(gateway_count).clamp(MIN_BACKOFF_LIMIT, MAX_BACKOFF_LIMIT);
        let initial_delay = INITIAL_BACKOFF_PER_GATEWAY.saturating_mul(gateway_count).min(max_delay);
        let jitter_rng = fastrand::Rng::with_seed(seed);
        Backoff { jitter_rng, initial_delay, max_delay, current_delay: initial_delay }
    }

    /// Returns to the initial delay, as after a successful call.
    pub fn reset(&mut self) {
        self.current_delay = self.initial_delay;
    }

    /// Returns a random delay between half and all of the current one, and doubles the current one.
    fn next_delay(&mut self) -> Duration {
        let current = self.current_delay;
        self.current_delay = (current * 2).min(self.max_delay);
        current.mul_f64(0.5 + 0.5 * self.jitter_rng.f64())
    }

    /// Returns the delay before the call that follows a failed one, for an agent or a shared service.
    pub fn delay_after(&mut self, error: &WatchError, is_shared_service: bool) -> Duration {
        match error {
            // The call has already waited for its whole timeout, and changes are missed until the next one.
            WatchError::TimedOut => Duration::ZERO,
            // A server that sheds load serves many gateways, even if the settings specify an agent.
            WatchError::Status(500..) => self.next_delay(),
            // The failure is local to this machine and says nothing about discovery.
            WatchError::Connect(source) if is_local_resource_error(source) => RETRY_INTERVAL,
            _ if is_shared_service => self.next_delay(),
            _ => RETRY_INTERVAL,
        }
    }
}

#[cfg(test)]
mod tests;
