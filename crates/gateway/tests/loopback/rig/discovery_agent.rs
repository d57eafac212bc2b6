//! A scripted discovery agent that serves a versioned endpoint list and watches of its changes.

use super::endpoint::Endpoint;
use super::message::read_message;
use super::EVENT_TIMEOUT;
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Increase of the list's version when [`DiscoveryAgent::recover`] replaces the whole list; greater than
/// one, so that a watch from the previous version gets a snapshot.
const SNAPSHOT_INDEX_STEP: u64 = 10;

/// A fault that an agent injects instead of answering a call.
#[derive(Clone, PartialEq)]
pub enum WatchFault {
    /// Never answers the open call.
    Unanswered,
    /// Answers no call until [`DiscoveryAgent::restore`].
    Down,
    /// Closes the connection of the open call.
    CloseConnection,
    /// Closes the connection of the open call after a delay.
    CloseConnectionAfter(Duration),
    /// Writes this text unchanged as the answer to the open call.
    RawResponse(String),
}

/// The endpoint list, the injected faults and the calls received.
#[derive(Default)]
struct AgentState {
    /// Version of the list.
    index: u64,
    endpoints: Vec<Endpoint>,
    /// Endpoints that changed in the current version.
    last_change: Vec<Endpoint>,
    /// Whether all calls are answered with status 500.
    failing: bool,
    /// Fault injected into the next call.
    fault: Option<WatchFault>,
    /// Paths of all calls received.
    calls: Vec<String>,
}

/// Reaction of the agent to a call.
enum Reaction {
    /// Writes this text.
    Respond(String),
    /// Closes the connection after a delay without writing anything.
    CloseAfter(Duration),
    /// Writes nothing and waits until the caller closes the connection.
    Hang,
}

impl AgentState {
    /// Returns the answer to a call: a delta if the caller has the previous version, else a snapshot.
    fn response(&self, known_index: Option<u64>) -> String {
        let mut status = "200 OK";
        let body = match known_index {
            _ if self.failing => {
                status = "500 Failing";
                json!({})
            }
            Some(known) if known + 1 == self.index => self.list(false, &self.last_change),
            _ => self.list(true, &self.endpoints),
        };
        let body = body.to_string();
        format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    }

    /// Returns a list message of the current version.
    fn list(&self, snapshot: bool, endpoints: &[Endpoint]) -> Value {
        json!({"index": self.index, "snapshot": snapshot, "endpoints": endpoints})
    }

    /// Takes the fault for the next call; [`WatchFault::Down`] persists.
    fn take_fault(&mut self) -> Option<WatchFault> {
        if self.fault == Some(WatchFault::Down) {
            return self.fault.clone();
        }
        self.fault.take()
    }

    /// Returns whether a call has requested a watch from this version of the list.
    fn is_watched_from(&self, index: u64) -> bool {
        let watch = format!("index={index}&");
        self.calls.iter().any(|call| call.contains(&watch))
    }

    /// Returns whether a call has requested the full list.
    fn snapshot_requested(&self) -> bool {
        self.calls.iter().any(|call| !call.contains("index="))
    }
}

/// A handle to a scripted discovery agent, whose threads serve until the test program exits.
#[derive(Clone)]
pub struct DiscoveryAgent {
    /// Address on which the agent listens.
    pub address: SocketAddr,
    /// State, and the condition variable that is notified of each change.
    state: Arc<(Mutex<AgentState>, Condvar)>,
}

impl DiscoveryAgent {
    /// Starts an agent whose list has these endpoints.
    pub fn start(endpoints: Vec<Endpoint>) -> DiscoveryAgent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = AgentState { index: 1, endpoints, ..AgentState::default() };
        let agent = DiscoveryAgent { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let served = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let agent = served.clone();
                thread::spawn(move || agent.serve(stream.unwrap()));
            }
        });
        agent
    }

    /// Answers the calls of one connection.
    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_message(&mut reader) {
            let path = call.start_line.split(' ').nth(1).unwrap_or("").to_owned();
            match self.reaction(path) {
                Reaction::Respond(text) => {
                    let _ = writer.write_all(text.as_bytes());
                }
                Reaction::CloseAfter(delay) => return thread::sleep(delay),
                Reaction::Hang => {
                    let _ = reader.read_to_end(&mut Vec::new());
                    return;
                }
            }
        }
    }

    /// Records a call and returns the reaction to it. For a watch, waits for a change of the list or an
    /// injected fault.
    fn reaction(&self, path: String) -> Reaction {
        let known_index = known_index(&path);
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.calls.push(path);
        changed.notify_all();
        let is_current = |state: &AgentState| known_index.is_some_and(|known| known >= state.index);
        while !state.failing && state.fault.is_none() && is_current(&state) {
            state = changed.wait(state).unwrap();
        }
        let fault = state.take_fault();
        changed.notify_all();
        match fault {
            None => Reaction::Respond(state.response(known_index)),
            Some(WatchFault::Unanswered | WatchFault::Down) => Reaction::Hang,
            Some(WatchFault::CloseConnection) => Reaction::CloseAfter(Duration::ZERO),
            Some(WatchFault::CloseConnectionAfter(delay)) => Reaction::CloseAfter(delay),
            Some(WatchFault::RawResponse(text)) => Reaction::Respond(text),
        }
    }

    /// Waits until a condition holds; `awaited` describes the expected call in the message of a failure.
    fn wait_until(&self, awaited: &str, condition: impl Fn(&AgentState) -> bool) {
        let (lock, changed) = &*self.state;
        let state = lock.lock().unwrap();
        let (_state, wait) =
            changed.wait_timeout_while(state, EVENT_TIMEOUT, |state| !condition(state)).unwrap();
        assert!(!wait.timed_out(), "the discovery agent did not receive {awaited}");
    }

    /// Changes the state and wakes all waiting threads.
    fn update<R>(&self, change: impl FnOnce(&mut AgentState) -> R) -> R {
        let result = change(&mut self.state.0.lock().unwrap());
        self.state.1.notify_all();
        result
    }

    /// Waits until the gateway has requested the full list and then a watch.
    pub fn wait_until_watched(&self) {
        self.wait_until("a call for the full list first", |state| {
            state.calls.first().is_some_and(|call| !call.contains("index="))
        });
        self.wait_until("a watch", |state| state.calls.iter().any(|call| call.contains("index=")));
    }

    /// Publishes changed endpoints as the next version and waits until the gateway watches from it.
    pub fn publish(&self, changed: Vec<Endpoint>) {
        self.publish_and(changed, || {});
    }

    /// Publishes like [`DiscoveryAgent::publish`], and calls `record` under the lock right before the list
    /// changes, so that no call is answered with the new list before `record` has run.
    pub fn publish_and(&self, changed: Vec<Endpoint>, record: impl FnOnce()) {
        let index = self.update(|state| {
            record();
            state.index += 1;
            state.endpoints.retain(|endpoint| changed.iter().all(|change| change.name != endpoint.name));
            state.endpoints.extend(changed.iter().cloned());
            state.last_change = changed;
            state.index
        });
        self.wait_until("a watch from the published version", |state| state.is_watched_from(index));
    }

    /// Injects a fault into the open call, or else the next one, and waits until a call has taken it.
    pub fn inject(&self, fault: WatchFault) {
        self.update(|state| state.fault = Some(fault));
        self.wait_until("a call for the injected fault", |state| {
            state.fault.is_none() || state.fault == Some(WatchFault::Down)
        });
    }

    /// Answers no call from now on, whether or not one is open.
    pub fn fail_silently(&self) {
        self.update(|state| state.fault = Some(WatchFault::Down));
    }

    /// Waits for `count` further calls.
    pub fn wait_for_calls(&self, count: usize) {
        let before = self.state.0.lock().unwrap().calls.len();
        self.wait_until("the further calls", |state| state.calls.len() >= before + count);
    }

    /// Resumes answering calls after [`WatchFault::Down`].
    pub fn restore(&self) {
        self.update(|state| state.fault = None);
    }

    /// Answers calls with errors until [`DiscoveryAgent::recover`]; waits for two further calls, so that the
    /// gateway has retried.
    pub fn fail(&self) {
        let calls = self.update(|state| {
            state.failing = true;
            state.calls.len()
        });
        self.wait_until("a retry after an error", |state| state.calls.len() > calls + 1);
    }

    /// Returns whether the gateway has ever requested the full list.
    pub fn snapshot_requested(&self) -> bool {
        self.state.0.lock().unwrap().snapshot_requested()
    }

    /// Resumes answering calls, with a new list; waits until the gateway watches from its version.
    pub fn recover(&self, endpoints: Vec<Endpoint>) {
        let index = self.update(|state| {
            state.failing = false;
            state.index += SNAPSHOT_INDEX_STEP;
            state.endpoints = endpoints;
            state.index
        });
        self.wait_until("a watch from the new list", |state| state.is_watched_from(index));
    }
}

/// Returns the list version that a call states in its query; `None` for a call for the full list.
fn known_index(path: &str) -> Option<u64> {
    let (_, query) = path.split_once("index=")?;
    query.split('&').next()?.parse().ok()
}
