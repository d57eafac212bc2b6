use super::*;

const NEW_CONNECTIONS_COME_FOR: Duration = Duration::from_millis(400);

/// However short the deadlines: whoever connects in time is accepted, and answers go out before idle connections have
/// closed and the process has ended, all before SIGKILL.
#[test]
fn the_times_are_in_order_however_short_the_deadlines() {
    for deadline in [1, 50, 100, 300, 500, 1_000, 3_000, 20_000].map(Duration::from_millis) {
        let signalled = Instant::now();
        let shutdown = Shutdown::new(signalled, deadline);
        let killed = signalled + deadline.min(LONGEST_DEADLINE) + KILL_GRACE;
        let crowd = signalled + Duration::from_secs(10);
        for last_accepted in [signalled, signalled + NEW_CONNECTIONS_COME_FOR, crowd] {
            let accepts_until = shutdown.accepts_until(last_accepted);
            assert!(accepts_until >= signalled + NEW_CONNECTIONS_COME_FOR, "{deadline:?}");
            assert!(accepts_until < shutdown.closes_idle_by(), "{deadline:?}");
            assert!(accepts_until <= signalled + LISTEN_MOST, "{deadline:?}");
        }
        assert!(shutdown.closes_idle_by() < shutdown.ends_by() && shutdown.ends_by() < killed);
    }
}
