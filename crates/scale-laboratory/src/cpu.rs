//! Processor time of the calling thread, which excludes other work on the machine.

use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Returns the processor time that this thread has used.
fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Returns the processor time that a closure takes on this thread, in microseconds.
pub fn measure_cpu_micros(work: impl FnOnce()) -> f64 {
    let before = thread_cpu_time();
    work();
    (thread_cpu_time() - before).as_secs_f64() * 1e6
}
