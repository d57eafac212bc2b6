//! Processor time of the calling thread: other work on the machine does not count into it.

use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Processor time that this thread has used.
fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Microseconds of processor time that a closure takes on this thread.
pub fn measure_micros(work: impl FnOnce()) -> f64 {
    let before = thread_time();
    work();
    (thread_time() - before).as_secs_f64() * 1e6
}
