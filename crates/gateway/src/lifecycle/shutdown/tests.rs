use super::{Shutdown, KILL_GRACE, MAX_ACCEPT_TIME, MAX_COUNTED_DEADLINE};
use std::time::{Duration, Instant};

const NEW_CONNECTIONS_COME_FOR: Duration = Duration::from_millis(400);

/// However short the deadlines: whoever connects in time is accepted, and answers are written before idle connections
/// close and the process exits, all before SIGKILL.
#[test]
fn shutdown_times_are_in_order_however_short_the_deadlines() {
    for deadline in [1, 50, 100, 300, 500, 1_000, 3_000, 20_000].map(Duration::from_millis) {
        let signalled_at = Instant::now();
        let shutdown = Shutdown::new(signalled_at, deadline);
        let killed_at = signalled_at + deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE;
        let crowd = signalled_at + Duration::from_secs(10);
        for last_accepted in [signalled_at, signalled_at + NEW_CONNECTIONS_COME_FOR, crowd] {
            let accepts_until = shutdown.accepts_until(last_accepted);
            assert!(accepts_until >= signalled_at + NEW_CONNECTIONS_COME_FOR, "{deadline:?}");
            assert!(accepts_until < shutdown.closes_idle_by(), "{deadline:?}");
            assert!(accepts_until <= signalled_at + MAX_ACCEPT_TIME, "{deadline:?}");
        }
        assert!(shutdown.closes_idle_by() < shutdown.exits_by() && shutdown.exits_by() < killed_at);
    }
}
