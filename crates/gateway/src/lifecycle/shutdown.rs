//! The graceful shutdown: until when clients are accepted, by when every request has its answer and when the process
//! exits, all before SIGKILL may come.

use crate::clients::server::ClientServer;
use crate::driver::decision_driver::DecisionDriver;
use crate::lifecycle::serving::ServingEnd;
use crate::lifecycle::startup::ClientListener;
use crate::network::handshake_filter::refuse_new_handshakes;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until, timeout};
use tracing::{info, warn};

/// SIGKILL comes no sooner after the stop signal than the longest deadline, of which no more than this counts...
const MAX_COUNTED_DEADLINE: Duration = Duration::from_millis(3_000);
/// ...plus this.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// How long before SIGKILL every request has its answer, which leaves time to write it.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// How long before SIGKILL the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(50);
/// How long clients are accepted at least.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(500);
/// How long they are accepted at most.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(800);
/// How long after the last client the listener closes, and how long after that idle connections close: a client
/// that has just connected needs time to send its request.
const QUIET_PERIOD: Duration = Duration::from_millis(200);
/// How long a handshake may take that has begun when new ones are refused: a round trip between zones.
const HANDSHAKE_TIME: Duration = Duration::from_millis(20);
/// How often idle connections are closed.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_millis(50);

/// The times of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// When the stop signal arrived.
    signalled_at: Instant,
    /// From the signal to the earliest SIGKILL.
    time_to_kill: Duration,
}

impl Shutdown {
    /// The shutdown that follows a stop signal, with the longest deadline of any request.
    pub fn new(signalled_at: Instant, longest_deadline: Duration) -> Shutdown {
        Shutdown { signalled_at, time_to_kill: longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE }
    }

    /// Shuts down: accepts late clients unless a successor process does so at the same listener, and waits until
    /// every client has disconnected or the time has run out.
    pub async fn run(
        &self,
        clients: &Rc<ClientServer>,
        driver: &Rc<DecisionDriver>,
        listener: ClientListener,
        serving_end: &ServingEnd,
    ) {
        driver.shut_down_by(self.answers_by());
        clients.stop();
        if serving_end.is_handed_over {
            // Its queue stays open for as long as any process has the listener, and the successor may end first.
            drop(listener);
        } else {
            self.accept_late(clients, listener).await;
        }
        self.drain_clients(clients).await;
    }

    /// When every request has its final answer.
    fn answers_by(&self) -> Instant {
        self.signalled_at + self.time_to_kill - ANSWER_MARGIN
    }

    /// When the process exits.
    fn exits_by(&self) -> Instant {
        self.signalled_at + self.time_to_kill - EXIT_MARGIN
    }

    /// When idle connections close at the latest: a request that arrives later could not be answered.
    fn closes_idle_by(&self) -> Instant {
        self.answers_by()
    }

    /// Until when clients are accepted, if the last one connected at a time.
    fn accepts_until(&self, last_accepted: Instant) -> Instant {
        let earliest = self.signalled_at + MIN_ACCEPT_TIME;
        let latest = (self.signalled_at + MAX_ACCEPT_TIME).min(self.closes_idle_by() - QUIET_PERIOD / 2);
        earliest.max(last_accepted + QUIET_PERIOD).min(latest)
    }

    /// Accepts the clients that still connect, then closes the listener.
    async fn accept_late(&self, clients: &Rc<ClientServer>, listener: ClientListener) {
        loop {
            let until = self.accepts_until(clients.last_accepted_at());
            let remaining = until.saturating_duration_since(Instant::now());
            let accepted = timeout(remaining, clients.accept(&listener.socket)).await;
            if accepted.is_err() && Instant::now() >= self.accepts_until(clients.last_accepted_at()) {
                break;
            }
        }
        self.close_listener(clients, listener).await;
        info!("no longer accepting clients");
    }

    /// Accepts the clients whose handshake has begun, and closes the listener. Unless new handshakes are refused
    /// meanwhile, one may end between the last `accept` and the close, and its client loses its request.
    async fn close_listener(&self, clients: &Rc<ClientServer>, listener: ClientListener) {
        let is_shared = listener.is_shared();
        let Ok(socket) = listener.socket.into_std() else { return };
        if !is_shared {
            match refuse_new_handshakes(&socket) {
                Ok(()) => sleep(HANDSHAKE_TIME).await,
                Err(error) => warn!(%error, "new connections cannot be refused while the listener closes"),
            }
        }
        clients.accept_backlog(&socket, self.closes_idle_by()).await;
    }

    /// Closes idle connections and waits until no client is left, or the process has to exit.
    async fn drain_clients(&self, clients: &Rc<ClientServer>) {
        let first_close = (Instant::now() + QUIET_PERIOD).min(self.closes_idle_by());
        let close_idle = async {
            sleep_until(first_close.into()).await;
            loop {
                clients.close_idle();
                sleep(CLOSE_IDLE_INTERVAL).await;
            }
        };
        tokio::select! {
            () = clients.wait_until_empty() => {}
            () = close_idle => {}
            () = sleep_until(self.exits_by().into()) => warn!("exiting with requests still open"),
        }
    }
}

#[cfg(test)]
mod tests;
