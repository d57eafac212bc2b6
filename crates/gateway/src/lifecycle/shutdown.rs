//! Graceful shutdown: accepts clients that still connect after the stop signal, and answers all requests before SIGKILL
//! may be sent. The process exits as soon as no response is being delivered: SIGKILL may come much later.

use crate::clients::server::ClientServer;
use crate::driver::decision_driver::DecisionDriver;
use crate::lifecycle::services::ServingTasks;
use crate::lifecycle::serving::ServingEnd;
use crate::lifecycle::startup::ClientListener;
use crate::network::handshake_filter::refuse_new_handshakes;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until, timeout};
use tracing::{info, warn};

/// Maximum deadline that the calculation of the kill time takes into account: SIGKILL is sent no sooner after
/// the stop signal than the longest deadline, limited to this value, plus [`KILL_GRACE`].
const MAX_COUNTED_DEADLINE: Duration = Duration::from_millis(3_000);
/// Time from the longest deadline, limited to [`MAX_COUNTED_DEADLINE`], to the earliest SIGKILL.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Time before SIGKILL by which every request has its final answer, which leaves time to write it.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Time before the earliest SIGKILL at which the process exits unless responses are being delivered.
const EXIT_MARGIN: Duration = Duration::from_millis(50);
/// Length of the longest response, in bytes.
const LONGEST_RESPONSE_BYTES: u64 = 32 << 20;
/// Lowest rate at which clients read responses, in bytes a second.
const LOWEST_READ_RATE: u64 = 64_000;
/// Maximum time for which the process exits later because responses are being delivered. The longest one ends in that
/// time; one without an end, or with a client that reads hardly anything, would keep the process for ever.
const MAX_DELIVERY_TIME: Duration = Duration::from_secs(LONGEST_RESPONSE_BYTES.div_ceil(LOWEST_READ_RATE));
/// Minimum time for which clients are accepted after the stop signal.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(500);
/// Maximum time for which clients are accepted after the stop signal.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(800);
/// Time from the last accepted client to the close of the listener, and from that to the close of idle
/// connections. A client that has just connected needs this time to send its request.
const QUIET_PERIOD: Duration = Duration::from_millis(200);
/// Time for handshakes in progress to complete once new ones are refused: a round trip between zones.
const HANDSHAKE_TIME: Duration = Duration::from_millis(20);
/// Interval at which connections that are no longer needed are closed.
const CLOSE_CONNECTIONS_INTERVAL: Duration = Duration::from_millis(50);

/// Schedule of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// Time at which the stop signal arrived.
    signalled_at: Instant,
    /// Time from the stop signal to the earliest SIGKILL.
    time_to_kill: Duration,
}

impl Shutdown {
    /// Schedules the shutdown after a stop signal. `longest_deadline` is the longest deadline of any request
    /// class.
    pub fn new(signalled_at: Instant, longest_deadline: Duration) -> Shutdown {
        Shutdown { signalled_at, time_to_kill: longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE }
    }

    /// Answers all requests, ends the tasks that serve further ones, and completes the deliveries of responses.
    pub async fn run(
        &self,
        clients: &Rc<ClientServer>,
        driver: &Rc<DecisionDriver>,
        serving_tasks: ServingTasks,
        listener: ClientListener,
        serving_end: &ServingEnd,
    ) {
        self.answer_requests(clients, driver, listener, serving_end).await;
        drop(serving_tasks);
        driver.end_attempts();
        self.complete_deliveries(clients).await;
    }

    /// Accepts late clients, unless a successor process does so at the same listener, and waits until every
    /// client has disconnected or the exit deadline is reached. Every request has its final answer by then.
    async fn answer_requests(
        &self,
        clients: &Rc<ClientServer>,
        driver: &Rc<DecisionDriver>,
        listener: ClientListener,
        serving_end: &ServingEnd,
    ) {
        driver.begin_shutdown(self.answer_deadline());
        clients.stop();
        if serving_end.is_handed_over {
            // The backlog stays open as long as any process holds the listener, and the successor may end
            // before this process, which no longer accepts clients.
            drop(listener);
        } else {
            self.accept_late_clients(clients, listener).await;
        }
        self.drain_clients(clients).await;
    }

    /// Returns the time by which every request has its final answer.
    fn answer_deadline(&self) -> Instant {
        self.signalled_at + self.time_to_kill - ANSWER_MARGIN
    }

    /// Returns the time at which the process exits unless responses are being delivered.
    fn exit_deadline(&self) -> Instant {
        self.signalled_at + self.time_to_kill - EXIT_MARGIN
    }

    /// Returns the time at which the process exits at the latest.
    fn delivery_deadline(&self) -> Instant {
        self.exit_deadline() + MAX_DELIVERY_TIME
    }

    /// Returns the time at which idle connections close at the latest; a request that arrived later could not
    /// be answered.
    fn idle_close_deadline(&self) -> Instant {
        self.answer_deadline()
    }

    /// Returns the time until which clients are accepted, given the time at which the last one was accepted.
    fn accept_deadline(&self, last_accepted: Instant) -> Instant {
        let earliest = self.signalled_at + MIN_ACCEPT_TIME;
        let latest = (self.signalled_at + MAX_ACCEPT_TIME).min(self.idle_close_deadline() - QUIET_PERIOD / 2);
        earliest.max(last_accepted + QUIET_PERIOD).min(latest)
    }

    /// Accepts clients until the accept deadline, then closes the listener.
    async fn accept_late_clients(&self, clients: &Rc<ClientServer>, listener: ClientListener) {
        loop {
            let deadline = self.accept_deadline(clients.last_accepted_at());
            let remaining = deadline.saturating_duration_since(Instant::now());
            let accepted = timeout(remaining, clients.accept(&listener.socket)).await;
            if accepted.is_err() && Instant::now() >= self.accept_deadline(clients.last_accepted_at()) {
                break;
            }
        }
        self.close_listener(clients, listener).await;
        info!("no longer accepting clients");
    }

    /// Accepts the clients whose handshakes are in progress, and closes the listener. New handshakes are
    /// refused in the meantime, since one that completed between the last `accept` and the close would lose
    /// its client's request.
    async fn close_listener(&self, clients: &Rc<ClientServer>, listener: ClientListener) {
        let is_shared = listener.is_shared();
        let Ok(socket) = listener.socket.into_std() else { return };
        if !is_shared {
            match refuse_new_handshakes(&socket) {
                Ok(()) => sleep(HANDSHAKE_TIME).await,
                Err(error) => warn!(%error, "new connections cannot be refused while the listener closes"),
            }
        }
        // A client in the backlog is still answered, if late, as long as the process runs.
        clients.accept_backlog(&socket, self.exit_deadline()).await;
    }

    /// Closes idle connections until no client is left or the exit deadline is reached.
    async fn drain_clients(&self, clients: &Rc<ClientServer>) {
        let first_close = (Instant::now() + QUIET_PERIOD).min(self.idle_close_deadline());
        let close_idle = async {
            sleep_until(first_close.into()).await;
            loop {
                clients.close_idle();
                sleep(CLOSE_CONNECTIONS_INTERVAL).await;
            }
        };
        tokio::select! {
            () = clients.wait_until_empty() => {}
            () = close_idle => {}
            () = sleep_until(self.exit_deadline().into()) => {}
        }
    }

    /// Closes all connections but those on which a response is being delivered, and waits until these responses have
    /// ended or the delivery deadline is reached.
    async fn complete_deliveries(&self, clients: &Rc<ClientServer>) {
        if clients.is_empty() {
            return;
        }
        warn!(
            "exit deadline reached with client connections still open; completing only responses in delivery"
        );
        let abort_others = async {
            loop {
                clients.abort_undelivering();
                sleep(CLOSE_CONNECTIONS_INTERVAL).await;
            }
        };
        tokio::select! {
            () = clients.wait_until_empty() => {}
            () = abort_others => {}
            () = sleep_until(self.delivery_deadline().into()) => {
                warn!("delivery deadline reached; exiting with responses incomplete");
            }
        }
    }
}

#[cfg(test)]
mod tests;
