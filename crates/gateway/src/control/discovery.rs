//! Service discovery: keeps a watch of the endpoint list open and passes each change to the decision driver.

mod agent_client;
mod backoff;
mod error;

use crate::config::names::WireNames;
use crate::control::discovery::agent_client::AgentClient;
use crate::control::discovery::backoff::{Backoff, RETRY_INTERVAL};
use crate::control::discovery::error::WatchError;
use crate::control::endpoint_list::{EndpointList, EndpointListMessage};
use crate::driver::decision_driver::DecisionDriver;
use crate::logging::ErrorChain;
use grebehook_core::{Settings, WatchEvent};
use grebehook_simulator_adapter::fields;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tracing::warn;

/// The path of the endpoint list.
const LIST_PATH: &str = "/catalog/members";

/// Where the list is pushed, an agent on the gateway's own machine answers at once. Once discovery has recovered,
/// what the agent knows must be learnt within a second, even if it never answers a call that was opened before: a
/// watch and the call after it end within that time.
const AGENT_TIMEOUTS: CallTimeouts = CallTimeouts {
    long_poll: Duration::from_millis(600),
    response_grace: Duration::from_millis(300),
    snapshot: Duration::from_millis(500),
};
/// Where the list is polled, all gateways share one service. A change must be learnt within 6 s, also one that an
/// unanswered watch missed. A call for the snapshot may queue behind those of every other gateway; since an abandoned
/// call still costs the service its work, a short timeout gains nothing.
const SHARED_SERVICE_TIMEOUTS: CallTimeouts = CallTimeouts {
    long_poll: Duration::from_millis(4_000),
    response_grace: Duration::from_millis(1_000),
    snapshot: Duration::from_millis(4_000),
};
/// The longest time from the start of a failed call to the start of the next. A change must be learnt within 6 s,
/// however the call in between ends; the rest of that time is left for the response.
const MAX_CALL_INTERVAL: Duration = Duration::from_millis(5_000);

/// How long calls may take.
#[derive(Clone, Copy)]
struct CallTimeouts {
    /// How long a watch asks discovery to wait for a change.
    long_poll: Duration,
    /// How much later than that its response may come.
    response_grace: Duration,
    /// How long a call for the snapshot may take.
    snapshot: Duration,
}

/// The next agent address that the configuration names.
async fn next_address(addresses: &mut watch::Receiver<SocketAddr>) -> SocketAddr {
    match addresses.changed().await {
        Ok(()) => *addresses.borrow_and_update(),
        // No sender is left that could name one.
        Err(_) => std::future::pending().await,
    }
}

/// A watch of the endpoint list.
pub struct EndpointWatch {
    /// The addresses of the agent, as the configuration changes.
    addresses: watch::Receiver<SocketAddr>,
    /// The current agent.
    agent: AgentClient,
    /// The names of zones.
    names: WireNames,
    /// The version of the known list; `None` asks for the snapshot.
    index: Option<u64>,
    /// The list is polled from a shared service, not pushed to an agent.
    is_shared_service: bool,
    /// The delays between failed calls.
    backoff: Backoff,
    /// The last call failed.
    is_failing: bool,
}

impl EndpointWatch {
    /// A watch that continues from the list known at the start.
    pub fn new(
        mut addresses: watch::Receiver<SocketAddr>,
        names: WireNames,
        known_index: u64,
        settings: &Settings,
        seed: u64,
    ) -> EndpointWatch {
        let address = *addresses.borrow_and_update();
        EndpointWatch {
            addresses,
            agent: AgentClient::new(address),
            names,
            index: Some(known_index),
            is_shared_service: settings.capabilities.polls_discovery,
            backoff: Backoff::new(settings.gateway_count, seed),
            is_failing: false,
        }
    }

    /// Watches for as long as the process lives, and moves to another agent as soon as one is named.
    pub async fn run(mut self, driver: Rc<DecisionDriver>) {
        let mut addresses = self.addresses.clone();
        loop {
            let started_at = Instant::now();
            let called = tokio::select! {
                called = self.call() => called,
                address = next_address(&mut addresses) => {
                    self.switch_agent(address);
                    continue;
                }
            };
            let delay = match called {
                Ok(list) => self.apply(list, started_at, &driver),
                Err(error) => Some(self.fail(&error, started_at, &driver)),
            };
            if let Some(delay) = delay {
                self.wait(delay, &mut addresses).await;
            }
        }
    }

    /// Passes a list to the driver. Returns the delay before the next call, if there has to be one.
    fn apply(
        &mut self,
        list: EndpointList,
        started_at: Instant,
        driver: &Rc<DecisionDriver>,
    ) -> Option<Duration> {
        self.backoff.reset();
        self.is_failing = false;
        let is_unchanged = self.index == Some(list.index) && list.endpoints.is_empty();
        self.index = Some(list.index);
        let watch_event = if list.is_snapshot { WatchEvent::Snapshot } else { WatchEvent::Delta };
        driver.endpoints_changed(watch_event, list.endpoints);
        (is_unchanged && started_at.elapsed() < RETRY_INTERVAL).then_some(RETRY_INTERVAL)
    }

    /// Reports a failed call and returns the delay before the next. The known list and its version stay valid:
    /// the next watch returns all newer changes. The snapshot costs discovery far more and is asked for only if
    /// the version itself is in doubt.
    fn fail(&mut self, error: &WatchError, started_at: Instant, driver: &Rc<DecisionDriver>) -> Duration {
        if !std::mem::replace(&mut self.is_failing, true) {
            let agent = self.agent.address();
            let error = ErrorChain(error);
            warn!(%agent, %error, "endpoint watch failed; keeping the previous endpoint list");
        }
        self.agent.disconnect();
        if error.discredits_version() {
            self.index = None;
        }
        driver.endpoints_changed(WatchEvent::Failed, Vec::new());
        let delay = self.backoff.delay_after(error, self.is_shared_service);
        delay.min(MAX_CALL_INTERVAL.saturating_sub(started_at.elapsed()))
    }

    /// Waits, unless another agent is named.
    async fn wait(&mut self, delay: Duration, addresses: &mut watch::Receiver<SocketAddr>) {
        tokio::select! {
            () = sleep(delay) => {}
            address = next_address(addresses) => self.switch_agent(address),
        }
    }

    /// Moves to another agent, whose versions are unrelated to those of the one before.
    fn switch_agent(&mut self, address: SocketAddr) {
        self.agent = AgentClient::new(address);
        self.index = None;
        self.backoff.reset();
    }

    /// Makes one call: a watch from the known version, or else for the snapshot.
    async fn call(&mut self) -> Result<EndpointList, WatchError> {
        let timeouts = if self.is_shared_service { SHARED_SERVICE_TIMEOUTS } else { AGENT_TIMEOUTS };
        let body = match self.index {
            Some(index) => {
                let long_poll = self.long_poll(timeouts);
                let path = format!("{LIST_PATH}?index={index}&wait={}", long_poll.as_millis());
                timeout(long_poll + timeouts.response_grace, self.agent.get(&path)).await
            }
            None => timeout(timeouts.snapshot, self.agent.get(LIST_PATH)).await,
        };
        let body = body.map_err(|_| WatchError::TimedOut)??;
        let document = serde_json::from_slice(&body).map_err(WatchError::NotJson)?;
        let message: EndpointListMessage = fields::deserialize(&document).map_err(WatchError::Malformed)?;
        let list = message.into_list(&self.names);
        // An older list may name servers that are gone.
        if self.index.is_some_and(|known| list.index < known) {
            return Err(WatchError::Stale);
        }
        Ok(list)
    }

    /// How long a watch asks discovery to wait for a change.
    fn long_poll(&self, timeouts: CallTimeouts) -> Duration {
        // Discovery may be down behind an agent, and recover at any time.
        let is_agent_failing = self.is_failing && !self.is_shared_service;
        if is_agent_failing {
            RETRY_INTERVAL
        } else {
            timeouts.long_poll
        }
    }
}
