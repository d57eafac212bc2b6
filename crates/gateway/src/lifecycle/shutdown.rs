//! The end of a process that was told to stop: until when it takes clients in, by when every request has its answer
//! and when the process ends by itself, all before SIGKILL may come.

use crate::clients::server::ClientServer;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::time::{sleep, sleep_until, timeout};
use tracing::warn;

/// SIGKILL comes no sooner than the longest deadline, counted as so much where it is longer...
const LONGEST_DEADLINE: Duration = Duration::from_millis(3_000);
/// ...and so much more after the signal to stop.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// So long before SIGKILL every request has its final answer, to leave time to write it.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// So long before SIGKILL the process has ended.
const END_MARGIN: Duration = Duration::from_millis(50);
/// How long clients may still connect after the signal.
const STILL_CONNECTING: Duration = Duration::from_millis(500);
/// How long after the last of them the listener closes, and after that idle connections.
const QUIET: Duration = Duration::from_millis(200);
/// By then the listener closes whoever still connects.
const LISTEN_MOST: Duration = Duration::from_millis(800);
/// How often idle connections are closed.
const CLOSE_EVERY: Duration = Duration::from_millis(50);

/// The times of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    signalled: Instant,
    /// From the signal to the earliest SIGKILL.
    grace: Duration,
}

impl Shutdown {
    /// A shutdown of a process that was told to stop at a time, and whose requests wait no longer than so long.
    pub fn new(signalled: Instant, longest_deadline: Duration) -> Shutdown {
        Shutdown { signalled, grace: longest_deadline.min(LONGEST_DEADLINE) + KILL_GRACE }
    }

    /// When every request has its final answer.
    pub fn answers_by(&self) -> Instant {
        self.signalled + self.grace - ANSWER_MARGIN
    }

    /// When the process has ended.
    fn ends_by(&self) -> Instant {
        self.signalled + self.grace - END_MARGIN
    }

    /// When idle connections close at the latest: what is sent on one later could not be answered.
    fn closes_idle_by(&self) -> Instant {
        self.answers_by()
    }

    /// Until when clients are accepted, where the last has come at a time. What connected last is left some quiet to
    /// send its request before idle connections close.
    fn accepts_until(&self, last_accepted: Instant) -> Instant {
        let still_connecting = self.signalled + STILL_CONNECTING;
        let quiet = last_accepted + QUIET;
        let latest = (self.signalled + LISTEN_MOST).min(self.closes_idle_by() - QUIET / 2);
        still_connecting.max(quiet).min(latest)
    }

    /// Takes in the clients that still come, and closes the listener.
    pub async fn accept_late(&self, front: &Rc<ClientServer>, listener: TcpListener) {
        loop {
            let until = self.accepts_until(front.last_accepted());
            let left = until.saturating_duration_since(Instant::now());
            let accepted = timeout(left, front.accept(&listener)).await;
            if accepted.is_err() && Instant::now() >= self.accepts_until(front.last_accepted()) {
                break;
            }
        }
        front.accept_rest(listener, self.closes_idle_by()).await;
    }

    /// Waits until no client is left, and closes those who have nothing open.
    pub async fn drain_clients(&self, front: &Rc<ClientServer>) {
        // What came last may have its request on the way; give it a moment before idle connections close.
        let first_close = (Instant::now() + QUIET).min(self.closes_idle_by());
        let late = async {
            sleep_until(first_close.into()).await;
            loop {
                front.close_idle();
                sleep(CLOSE_EVERY).await;
            }
        };
        tokio::select! {
            () = front.wait_until_empty() => {}
            () = late => {}
            () = sleep_until(self.ends_by().into()) => warn!("stopped with requests still open"),
        }
    }
}

#[cfg(test)]
mod tests;
