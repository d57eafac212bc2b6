//! A scripted discovery agent: it serves a versioned endpoint list and watches of its changes.

use super::endpoint::Endpoint;
use super::message::read_message;
use super::EVENT_TIMEOUT;
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// By how much the list's version rises when a fully new list replaces it: more than one, so that a watch of the version
/// before gets a snapshot.
const SNAPSHOT_INDEX_STEP: u64 = 10;

/// What an agent does with a call instead of answering it.
#[derive(Clone, PartialEq)]
pub enum WatchFault {
    /// Leaves the open call unanswered for ever.
    Unanswered,
    /// Leaves all calls unanswered until [`DiscoveryAgent::restore`].
    Down,
    /// Closes the connection of the open call.
    CloseConnection,
    /// Closes the connection of the open call after a delay.
    CloseConnectionAfter(Duration),
    /// Answers the open call with this text alone.
    RawResponse(String),
}

/// The list and the state of its service.
#[derive(Default)]
struct AgentState {
    /// The version of the list.
    index: u64,
    /// The endpoints.
    endpoints: Vec<Endpoint>,
    /// What the last version changed.
    last_change: Vec<Endpoint>,
    /// Whether all calls are answered with an error.
    failing: bool,
    /// What happens to the next call.
    fault: Option<WatchFault>,
    /// The paths of all calls so far.
    calls: Vec<String>,
}

/// How the agent ends a call.
enum Outcome {
    /// Writes this text.
    Respond(String),
    /// Writes nothing and closes the connection after a delay.
    CloseAfter(Duration),
    /// Writes nothing until the caller closes the connection.
    Hang,
}

impl AgentState {
    /// The answer to a call that knows the list of a version, or none.
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

    /// A list message of the current version.
    fn list(&self, snapshot: bool, endpoints: &[Endpoint]) -> Value {
        json!({"index": self.index, "snapshot": snapshot, "endpoints": endpoints})
    }

    /// Takes the fault of the next call; an agent that is down stays so.
    fn take_fault(&mut self) -> Option<WatchFault> {
        if self.fault == Some(WatchFault::Down) {
            return self.fault.clone();
        }
        self.fault.take()
    }

    /// Whether a call has asked for what follows the version of the list.
    fn is_watched_from(&self, index: u64) -> bool {
        let watch = format!("index={index}&");
        self.calls.iter().any(|call| call.contains(&watch))
    }

    /// Whether a call has asked for the full list.
    fn snapshot_requested(&self) -> bool {
        self.calls.iter().any(|call| !call.contains("index="))
    }
}

/// A handle on a scripted discovery agent, which serves for as long as the test program runs.
#[derive(Clone)]
pub struct DiscoveryAgent {
    /// Where it listens.
    pub address: SocketAddr,
    /// The list, and the signal that something has changed.
    state: Arc<(Mutex<AgentState>, Condvar)>,
}

impl DiscoveryAgent {
    /// Starts an agent with these endpoints.
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
            match self.outcome(path) {
                Outcome::Respond(text) => {
                    let _ = writer.write_all(text.as_bytes());
                }
                Outcome::CloseAfter(delay) => return thread::sleep(delay),
                Outcome::Hang => {
                    let _ = reader.read_to_end(&mut Vec::new());
                    return;
                }
            }
        }
    }

    /// Records a call and waits, if it is a watch, until there is something to answer or a fault to show.
    fn outcome(&self, path: String) -> Outcome {
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
            None => Outcome::Respond(state.response(known_index)),
            Some(WatchFault::Unanswered | WatchFault::Down) => Outcome::Hang,
            Some(WatchFault::CloseConnection) => Outcome::CloseAfter(Duration::ZERO),
            Some(WatchFault::CloseConnectionAfter(delay)) => Outcome::CloseAfter(delay),
            Some(WatchFault::RawResponse(text)) => Outcome::Respond(text),
        }
    }

    /// Waits until a condition holds; `awaited` names what the gateway should have asked for.
    fn wait_until(&self, awaited: &str, condition: impl Fn(&AgentState) -> bool) {
        let (lock, changed) = &*self.state;
        let state = lock.lock().unwrap();
        let (_state, wait) =
            changed.wait_timeout_while(state, EVENT_TIMEOUT, |state| !condition(state)).unwrap();
        assert!(!wait.timed_out(), "discovery was never asked {awaited}");
    }

    /// Changes the state and wakes all calls that wait.
    fn update<R>(&self, change: impl FnOnce(&mut AgentState) -> R) -> R {
        let result = change(&mut self.state.0.lock().unwrap());
        self.state.1.notify_all();
        result
    }

    /// Waits until the gateway has asked for the full list and watches from there.
    pub fn wait_until_watched(&self) {
        self.wait_until("for the full list", |state| {
            state.calls.first().is_some_and(|call| !call.contains("index="))
        });
        self.wait_until("for what follows", |state| state.calls.iter().any(|call| call.contains("index=")));
    }

    /// Publishes changed endpoints as the next version and waits until the gateway watches from there.
    pub fn publish(&self, changed: Vec<Endpoint>) {
        self.publish_and(changed, || {});
    }

    /// As [`DiscoveryAgent::publish`], and calls a function at the moment in which the list changes: before that no call
    /// is answered with the new list.
    pub fn publish_and(&self, changed: Vec<Endpoint>, record: impl FnOnce()) {
        let index = self.update(|state| {
            record();
            state.index += 1;
            state.endpoints.retain(|endpoint| changed.iter().all(|change| change.name != endpoint.name));
            state.endpoints.extend(changed.iter().cloned());
            state.last_change = changed;
            state.index
        });
        self.wait_until("for what follows a change", |state| state.is_watched_from(index));
    }

    /// Shows a fault to the open call, or the next one, and waits until that has happened.
    pub fn inject(&self, fault: WatchFault) {
        self.update(|state| state.fault = Some(fault));
        self.wait_until("anything", |state| state.fault.is_none() || state.fault == Some(WatchFault::Down));
    }

    /// Waits for a number of further calls.
    pub fn wait_for_calls(&self, count: usize) {
        let before = self.state.0.lock().unwrap().calls.len();
        self.wait_until("again", |state| state.calls.len() >= before + count);
    }

    /// Answers calls again after [`WatchFault::Down`].
    pub fn restore(&self) {
        self.update(|state| state.fault = None);
    }

    /// Answers with errors until [`DiscoveryAgent::recover`]; waits until the gateway has retried.
    pub fn fail(&self) {
        let calls = self.update(|state| {
            state.failing = true;
            state.calls.len()
        });
        self.wait_until("again after an error", |state| state.calls.len() > calls + 1);
    }

    /// Whether the gateway has ever asked for the full list.
    pub fn snapshot_requested(&self) -> bool {
        self.state.0.lock().unwrap().snapshot_requested()
    }

    /// Answers again, with a new list; waits until the gateway watches from there.
    pub fn recover(&self, endpoints: Vec<Endpoint>) {
        let index = self.update(|state| {
            state.failing = false;
            state.index += SNAPSHOT_INDEX_STEP;
            state.endpoints = endpoints;
            state.index
        });
        self.wait_until("for what follows the new list", |state| state.is_watched_from(index));
    }
}

/// The version of the list that a call says it knows.
fn known_index(path: &str) -> Option<u64> {
    let (_, query) = path.split_once("index=")?;
    query.split('&').next()?.parse().ok()
}
