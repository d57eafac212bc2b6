//! Service discovery: watches the endpoint list and passes each change to the decision driver.

mod agent_client;
mod backoff;
mod error;

use crate::config::names::WireNames;
use crate::control::current_list::CurrentList;
use crate::control::discovery::agent_client::AgentClient;
use crate::control::discovery::backoff::{Backoff, RETRY_INTERVAL};
use crate::control::discovery::error::WatchError;
use crate::control::endpoint_list::{EndpointList, EndpointListMessage};
use crate::logging::ErrorChain;
use grebehook_core::Settings;
use grebehook_simulator_adapter::fields;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

/// HTTP path of the endpoint list.
const LIST_PATH: &str = "/catalog/members";

/// Timeouts where the list is pushed to an agent on the gateway's machine, which answers at once. Once
/// discovery has recovered, the agent's list has to reach the gateway within a second, even if the agent
/// never answers a call that was opened before. A watch and the call after it therefore both end within that
/// time.
const AGENT_TIMEOUTS: CallTimeouts = CallTimeouts {
    long_poll: Duration::from_millis(600),
    response_grace: Duration::from_millis(300),
    snapshot: Duration::from_millis(500),
};
/// Timeouts where the list is polled from a service that all gateways share. A change has to reach the
/// gateway within 6 s, even if a watch that was not answered missed it. A snapshot call may queue behind
/// those of all other gateways; a short timeout would not help, since the service still does the work for an
/// abandoned call.
const SHARED_SERVICE_TIMEOUTS: CallTimeouts = CallTimeouts {
    long_poll: Duration::from_millis(4_000),
    response_grace: Duration::from_millis(1_000),
    snapshot: Duration::from_millis(4_000),
};
/// Maximum time from the start of a failed call to the start of the next one. A change has to reach the
/// gateway within 6 s however the failed call ended; the remaining time is left for the response to the next
/// one.
const MAX_CALL_INTERVAL: Duration = Duration::from_millis(5_000);

/// Timeouts of discovery calls.
#[derive(Clone, Copy)]
struct CallTimeouts {
    /// Time for which discovery, at the request of a watch, waits for a change before it responds.
    long_poll: Duration,
    /// Time after the end of the long poll within which the response has to arrive.
    response_grace: Duration,
    /// Timeout of a snapshot call.
    snapshot: Duration,
}

/// A call to discovery.
struct Call {
    /// Version that a watch continues from; `None` if the call requests a snapshot.
    known_version: Option<u64>,
    /// Revision of the current list at the start of the call.
    list_revision: u64,
    started_at: Instant,
}

/// Waits until the configuration specifies another agent and returns its address.
async fn next_agent_address(addresses: &mut watch::Receiver<SocketAddr>) -> SocketAddr {
    match addresses.changed().await {
        Ok(()) => *addresses.borrow_and_update(),
        // The sender has been dropped, so the address can no longer change.
        Err(_) => std::future::pending().await,
    }
}

/// Watch of the endpoint list.
pub struct EndpointWatch {
    /// Receives the address of the discovery agent when the configuration changes.
    addresses: watch::Receiver<SocketAddr>,
    agent: AgentClient,
    names: WireNames,
    list: Rc<CurrentList>,
    /// Whether the next call has to request a snapshot, as the version may have caused the last one to fail.
    needs_snapshot: bool,
    /// Whether the list is polled from a shared service rather than pushed to an agent.
    is_shared_service: bool,
    backoff: Backoff,
    /// Whether the last call failed.
    is_failing: bool,
    /// Whether discovery has answered a call of this process.
    has_answered: bool,
}

impl EndpointWatch {
    /// Creates a watch that continues from the list known at the start.
    pub fn new(
        mut addresses: watch::Receiver<SocketAddr>,
        names: WireNames,
        list: Rc<CurrentList>,
        settings: &Settings,
        seed: u64,
    ) -> EndpointWatch {
        let address = *addresses.borrow_and_update();
        EndpointWatch {
            addresses,
            agent: AgentClient::new(address),
            names,
            list,
            needs_snapshot: false,
            is_shared_service: settings.capabilities.polls_discovery,
            backoff: Backoff::new(settings.gateway_count, seed),
            is_failing: false,
            has_answered: false,
        }
    }

    /// Watches the list for the lifetime of the process. Switches to another agent as soon as the
    /// configuration specifies one.
    pub async fn run(mut self) {
        let mut addresses = self.addresses.clone();
        loop {
            let call = self.next_call();
            let result = tokio::select! {
                biased;
                address = next_agent_address(&mut addresses) => {
                    self.switch_agent(address);
                    continue;
                }
                result = self.call(&call) => result,
            };
            let delay = match result {
                Ok(list) => self.apply_list(list, &call),
                Err(error) => Some(self.handle_failure(&error, &call)),
            };
            if let Some(delay) = delay {
                self.wait_for_retry(delay, &mut addresses).await;
            }
        }
    }

    /// Passes a list to the driver. Returns the delay before the next call, or `None` to call again at once.
    fn apply_list(&mut self, list: EndpointList, call: &Call) -> Option<Duration> {
        self.backoff.reset();
        self.needs_snapshot = false;
        if std::mem::replace(&mut self.is_failing, false) || !std::mem::replace(&mut self.has_answered, true)
        {
            let agent = self.agent.address();
            info!(%agent, version = list.version, "discovery tells the endpoint list");
        }
        let is_unchanged = call.known_version == Some(list.version) && list.endpoints.is_empty();
        self.list.apply_discovered(self.agent.address(), list, call.list_revision);
        (is_unchanged && call.started_at.elapsed() < RETRY_INTERVAL).then_some(RETRY_INTERVAL)
    }

    /// Reports a failed call to the driver and returns the delay before the next call. The known list and its
    /// version stay valid, since the next watch returns all newer changes. A snapshot is far more expensive
    /// for discovery, and is requested only if the version may have caused the failure.
    fn handle_failure(&mut self, error: &WatchError, call: &Call) -> Duration {
        if !std::mem::replace(&mut self.is_failing, true) {
            let agent = self.agent.address();
            let error = ErrorChain(error);
            warn!(%agent, %error, "endpoint watch failed; keeping the previous endpoint list");
        }
        self.agent.disconnect();
        if error.invalidates_version() {
            self.needs_snapshot = true;
        }
        self.list.report_failed_call();
        let delay = self.backoff.delay_after(error, self.is_shared_service);
        delay.min(MAX_CALL_INTERVAL.saturating_sub(call.started_at.elapsed()))
    }

    /// Waits for the delay, or switches to another agent as soon as the configuration specifies one.
    async fn wait_for_retry(&mut self, delay: Duration, addresses: &mut watch::Receiver<SocketAddr>) {
        tokio::select! {
            () = sleep(delay) => {}
            address = next_agent_address(addresses) => self.switch_agent(address),
        }
    }

    /// Switches to another agent, whose versions are unrelated to those of the previous one, so that the next call
    /// requests a snapshot.
    fn switch_agent(&mut self, address: SocketAddr) {
        self.agent = AgentClient::new(address);
        self.needs_snapshot = false;
        self.backoff.reset();
    }

    /// Returns the next call: a watch from the known version, or a snapshot call if no version is known.
    fn next_call(&self) -> Call {
        let known_version = self.list.version_of(self.agent.address()).filter(|_| !self.needs_snapshot);
        Call { known_version, list_revision: self.list.revision(), started_at: Instant::now() }
    }

    /// Makes a call.
    async fn call(&mut self, call: &Call) -> Result<EndpointList, WatchError> {
        let timeouts = if self.is_shared_service { SHARED_SERVICE_TIMEOUTS } else { AGENT_TIMEOUTS };
        let body = match call.known_version {
            Some(version) => {
                let long_poll = self.long_poll(timeouts);
                let path = format!("{LIST_PATH}?index={version}&wait={}", long_poll.as_millis());
                timeout(long_poll + timeouts.response_grace, self.agent.get(&path)).await
            }
            None => timeout(timeouts.snapshot, self.agent.get(LIST_PATH)).await,
        };
        let body = body.map_err(|_| WatchError::TimedOut)??;
        let document = serde_json::from_slice(&body).map_err(WatchError::NotJson)?;
        let message: EndpointListMessage = fields::deserialize(&document).map_err(WatchError::Malformed)?;
        let list = message.into_list(&self.names);
        // An older list may contain servers that have been removed since.
        if call.known_version.is_some_and(|known| list.version < known) {
            return Err(WatchError::Stale);
        }
        Ok(list)
    }

    /// Returns the time for which discovery is to wait for a change before it responds.
    fn long_poll(&self, timeouts: CallTimeouts) -> Duration {
        // Discovery may be unavailable behind the agent and recover at any time, so the agent is polled
        // often.
        let is_agent_failing = self.is_failing && !self.is_shared_service;
        if is_agent_failing {
            RETRY_INTERVAL
        } else {
            timeouts.long_poll
        }
    }
}
