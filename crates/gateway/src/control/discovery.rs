//! Discovery: keeps a watch on the list of servers open and hands what it tells to the core.

use crate::config::names::WireNames;
use crate::control::endpoint_list::{EndpointList, EndpointListMessage};
use crate::driver::decision_driver::DecisionDriver;
use crate::network::socket::Socket;
use crate::network::system_error::is_local;
use bytes::Bytes;
use grebehook_core::{Settings, WatchEvent};
use grebehook_simulator_adapter::fields::{self, FieldError};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tracing::warn;

/// Where a list is pushed, an agent on the gateway's own machine answers at once and at no cost. What it gets when
/// discovery is back counts as told at once, though it may never answer a call that was opened before: one call
/// after the other has to end within the second that the rule on drains gives.
const AGENT: Limits = Limits {
    wait: Duration::from_millis(600),
    silent: Duration::from_millis(300),
    whole: Duration::from_millis(500),
};
/// Where it is asked for, all gateways share one service. A watch may wait only so long, since what a silent one
/// misses counts as told 6 s after it fell silent. A call for the whole list may stand in line behind every other
/// gateway's; one given up is worked on all the same, so giving up early wins nothing.
const SERVICE: Limits = Limits {
    wait: Duration::from_millis(4_000),
    silent: Duration::from_millis(1_000),
    whole: Duration::from_millis(4_000),
};
/// The pause after a failed call of an agent, and after one that told nothing new at once: a watch goes on, and
/// what changes meanwhile counts as told, if the next call comes within 200 ms.
const AGAIN: Duration = Duration::from_millis(100);
/// The first pause after a failed call of a shared service, for each gateway of the fleet: the more there are, the more
/// seldom each may ask again...
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
/// ...and the longest, for each gateway...
const LONGEST_BACKOFF: Duration = Duration::from_millis(60);
/// ...but no shorter than this...
const LONGEST_BACKOFF_OF_FEW: Duration = Duration::from_millis(500);
/// ...and no longer: what discovery tells must not be learnt much later.
const LONGEST_BACKOFF_OF_ANY: Duration = Duration::from_millis(4_000);
/// What discovery has counts as told 6 s after it could be reached, however the call that was out then ends: the next
/// one begins so long after it at the latest, and has the rest for its answer.
const NEXT_CALL: Duration = Duration::from_millis(5_000);
/// Largest list taken in.
const MAX_ENDPOINT_LIST_BYTES: usize = 4 << 20;

/// How long calls may take.
#[derive(Clone, Copy)]
struct Limits {
    /// How long a watch may wait for news.
    wait: Duration,
    /// One without an answer so long after its wait has failed.
    silent: Duration,
    /// So has a call for the whole list by then.
    whole: Duration,
}

/// Why a call of discovery failed.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The answer is not JSON.
    #[error("the answer is not JSON: {0}")]
    NotJson(serde_json::Error),
    /// A field of the answer is missing or malformed.
    #[error("the answer is malformed: {0}")]
    Malformed(FieldError),
    /// The answer's body broke off, or is too long.
    #[error("the answer's body cannot be read: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// No connection, or it broke.
    #[error("no connection: {0}")]
    Io(std::io::Error),
    /// The HTTP exchange failed.
    #[error("{0}")]
    Http(hyper::Error),
    /// The call cannot be written as a request.
    #[error("the request cannot be written: {0}")]
    Request(hyper::http::Error),
    /// An answer other than 200.
    #[error("answered {0}")]
    AttemptStatus(u16),
    /// No answer in time.
    #[error("no answer in time")]
    Silent,
    /// A version older than the one that was asked about.
    #[error("an older version than the one held")]
    Stale,
}

impl WatchError {
    /// What cannot be read, or is refused for good, may be so because of the version that was asked about.
    fn blames_version(&self) -> bool {
        match self {
            WatchError::NotJson(_) | WatchError::Malformed(_) | WatchError::Body(_) => true,
            WatchError::Request(_) | WatchError::Stale | WatchError::AttemptStatus(400..=499) => true,
            WatchError::Io(_) | WatchError::Http(_) | WatchError::AttemptStatus(_) | WatchError::Silent => {
                false
            }
        }
    }
}

/// The next agent that is named; never, once none can be named any more.
async fn next(agents: &mut watch::Receiver<SocketAddr>) -> SocketAddr {
    match agents.changed().await {
        Ok(()) => *agents.borrow_and_update(),
        Err(_) => std::future::pending().await,
    }
}

type Sender = http1::SendRequest<Empty<Bytes>>;

/// The pauses between failed calls of a shared service: they double, and are drawn anew each time, since
/// gateways that failed together would else come again together.
struct Pauses {
    rng: fastrand::Rng,
    first: Duration,
    most: Duration,
    next: Duration,
}

impl Pauses {
    fn new(gateways: usize, seed: u64) -> Pauses {
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        let most =
            LONGEST_BACKOFF.saturating_mul(gateways).clamp(LONGEST_BACKOFF_OF_FEW, LONGEST_BACKOFF_OF_ANY);
        let first = FIRST_BACKOFF.saturating_mul(gateways).min(most);
        Pauses { rng: fastrand::Rng::with_seed(seed), first, most, next: first }
    }

    /// A call was answered: the next failure is the first again.
    fn reset(&mut self) {
        self.next = self.first;
    }

    /// Half to all of the pause that is due.
    fn draw(&mut self) -> Duration {
        let due = self.next;
        self.next = (due * 2).min(self.most);
        due.mul_f64(0.5 + 0.5 * self.rng.f64())
    }

    /// The pause after a call failed so. A silent one was waited for long enough, while the clock of what it
    /// misses runs. Who turns calls away is busy, and a service of many, whatever the settings say.
    fn after_error(&mut self, e: &WatchError, asked: bool) -> Duration {
        match e {
            WatchError::Silent => Duration::ZERO,
            WatchError::AttemptStatus(500..) => self.draw(),
            // The call never left this machine.
            WatchError::Io(e) if is_local(e) => AGAIN,
            _ if asked => self.draw(),
            _ => AGAIN,
        }
    }
}

/// A watch on the list of servers.
pub struct EndpointWatch {
    agents: watch::Receiver<SocketAddr>,
    agent: SocketAddr,
    names: WireNames,
    sender: Option<Sender>,
    index: Option<u64>,
    /// The list is asked for, not pushed.
    polled: bool,
    pauses: Pauses,
    failing: bool,
}

impl EndpointWatch {
    /// A watch that goes on from the list known at the start, at the agent named last.
    pub fn new(
        mut agents: watch::Receiver<SocketAddr>,
        names: WireNames,
        index: u64,
        settings: &Settings,
        seed: u64,
    ) -> EndpointWatch {
        let agent = *agents.borrow_and_update();
        let (pauses, asked) =
            (Pauses::new(settings.gateway_count, seed), settings.capabilities.polls_discovery);
        EndpointWatch {
            agents,
            agent,
            names,
            sender: None,
            index: Some(index),
            polled: asked,
            pauses,
            failing: false,
        }
    }

    /// Watches for ever, at once at another agent when one is named. A failed call leaves the list as it is, and
    /// its version too: the next watch tells all that is newer. The whole list costs discovery far more, and is
    /// asked for only where no version can be told.
    pub async fn run(mut self, core: Rc<DecisionDriver>) {
        let mut agents = self.agents.clone();
        loop {
            let begun = Instant::now();
            let called = tokio::select! {
                called = self.call() => called,
                agent = next(&mut agents) => {
                    // The call in progress ended with its future.
                    self.connect_to(agent);
                    continue;
                }
            };
            match called {
                Ok(listing) => {
                    self.pauses.reset();
                    self.failing = false;
                    let idle = self.index == Some(listing.index) && listing.endpoints.is_empty();
                    self.index = Some(listing.index);
                    let kind = if listing.is_snapshot { WatchEvent::Snapshot } else { WatchEvent::Delta };
                    core.endpoints_changed(kind, listing.endpoints);
                    if idle && begun.elapsed() < AGAIN {
                        self.pause(AGAIN, &mut agents).await;
                    }
                }
                Err(e) => {
                    if !std::mem::replace(&mut self.failing, true) {
                        warn!(error = %e, "discovery failed; the old list stays in use");
                    }
                    self.sender = None;
                    if e.blames_version() {
                        self.index = None;
                    }
                    core.endpoints_changed(WatchEvent::Failed, Vec::new());
                    let pause = self.pauses.after_error(&e, self.polled);
                    self.pause(pause.min(NEXT_CALL.saturating_sub(begun.elapsed())), &mut agents).await;
                }
            }
        }
    }

    /// Lets some time pass, unless another agent is named.
    async fn pause(&mut self, pause: Duration, agents: &mut watch::Receiver<SocketAddr>) {
        tokio::select! {
            () = sleep(pause) => {}
            agent = next(agents) => self.connect_to(agent),
        }
    }

    /// Another agent counts versions of its own.
    fn connect_to(&mut self, agent: SocketAddr) {
        (self.agent, self.sender, self.index) = (agent, None, None);
        self.pauses.reset();
    }

    async fn call(&mut self) -> Result<EndpointList, WatchError> {
        let Limits { mut wait, silent, whole } = if self.polled { SERVICE } else { AGENT };
        if self.failing && !self.polled {
            // Discovery may be down, and back at any time.
            wait = AGAIN;
        }
        let (path, limit) = match self.index {
            Some(index) => {
                (format!("/catalog/members?index={index}&wait={}", wait.as_millis()), wait + silent)
            }
            None => ("/catalog/members".to_owned(), whole),
        };
        let body = timeout(limit, self.get(&path)).await.map_err(|_| WatchError::Silent)??;
        let list = serde_json::from_slice(&body).map_err(WatchError::NotJson)?;
        let list: EndpointListMessage = fields::read(&list).map_err(WatchError::Malformed)?;
        let listing = list.into_list(&self.names);
        // Servers that it still names may be gone by the version held.
        if self.index.is_some_and(|held| listing.index < held) {
            return Err(WatchError::Stale);
        }
        Ok(listing)
    }

    async fn get(&mut self, path: &str) -> Result<Bytes, WatchError> {
        let mut sender = match self.sender.take().filter(Sender::is_ready) {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let request = hyper::Request::get(path).header("Host", self.agent.to_string()).body(Empty::new());
        let request = request.map_err(WatchError::Request)?;
        let response = sender.send_request(request).await.map_err(WatchError::Http)?;
        if response.status() != 200 {
            return Err(WatchError::AttemptStatus(response.status().as_u16()));
        }
        let body = Limited::new(response.into_body(), MAX_ENDPOINT_LIST_BYTES).collect().await;
        let body = body.map_err(WatchError::Body)?.to_bytes();
        self.sender = Some(sender);
        Ok(body)
    }

    async fn connect(&self) -> Result<Sender, WatchError> {
        let stream = TcpStream::connect(self.agent).await.map_err(WatchError::Io)?;
        stream.set_nodelay(true).map_err(WatchError::Io)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(Socket::new(stream))).await.map_err(WatchError::Http)?;
        tokio::task::spawn_local(connection);
        Ok(sender)
    }
}

#[cfg(test)]
mod tests;
