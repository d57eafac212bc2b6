//! Host of a hollow gateway: its decision core, its requests in flight and its version of the endpoint list.

use super::event_queue::Incarnation;
use crate::error::Result;
use grebehook_core::{AttemptStatus, Gateway, Micros, RequestId, Settings};
use std::collections::BTreeMap;

/// Largest number of counter calls that a gateway has in flight.
pub const MAX_COUNTER_CALLS: usize = 16;

/// An attempt that was sent to a server.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Index of the server.
    pub server: usize,
    /// Incarnation of the server when the attempt was sent.
    pub server_incarnation: u32,
    /// Time at which the attempt was sent, in microseconds.
    pub sent_at: Micros,
    /// Time after which the attempt times out, in microseconds.
    pub timeout: Micros,
    /// Status with which the attempt ends.
    pub status: AttemptStatus,
    /// Whether the attempt has not ended yet.
    pub in_flight: bool,
}

/// A request that the host keeps until its last attempt has ended.
#[derive(Debug, Default)]
pub struct HostedRequest {
    /// Attempts of the request in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// Whether the client has its response or has disconnected.
    pub finished: bool,
}

impl HostedRequest {
    /// Returns the attempt with this index, if it has not ended.
    pub fn attempt_in_flight(&mut self, number: u32) -> Option<&mut Attempt> {
        self.attempts.get_mut(number as usize).filter(|attempt| attempt.in_flight)
    }

    /// Returns whether the client has its response and no attempt is in flight.
    pub fn is_complete(&self) -> bool {
        self.finished && self.attempts.iter().all(|attempt| !attempt.in_flight)
    }
}

/// A gateway that consists of a decision core and a minimal host, without sockets.
pub struct HollowGateway {
    /// Index of the gateway.
    pub index: usize,
    /// Number of starts.
    starts: u32,
    /// Decision core; `None` while the gateway is down.
    pub core: Option<Gateway>,
    /// Requests that the host keeps.
    pub requests: BTreeMap<RequestId, HostedRequest>,
    /// Version of the endpoint list that the gateway has.
    pub list_version: u64,
    /// Number of the last watch; the timeout of an earlier watch, which was answered, is ignored.
    pub last_watch: u64,
    /// Number of counter calls in flight.
    pub counter_calls_in_flight: usize,
    /// Version of the configuration, which determines the address of the shared counter.
    pub configuration_version: u32,
    /// Whether the host no longer carries out actions of the core, as a `stop-answering` fault causes.
    pub stalled: bool,
    /// Whether the load balancer knows that the gateway is down.
    pub marked_down: bool,
}

impl HollowGateway {
    /// Returns a gateway that is down.
    pub fn new(index: usize) -> HollowGateway {
        HollowGateway {
            index,
            starts: 0,
            core: None,
            requests: BTreeMap::new(),
            list_version: 0,
            last_watch: 0,
            counter_calls_in_flight: 0,
            configuration_version: 0,
            stalled: false,
            marked_down: false,
        }
    }

    /// Starts the gateway without the state of earlier incarnations.
    pub fn start(&mut self, now: Micros, settings: Settings, seed: u64) -> Result<()> {
        self.starts += 1;
        let seed = seed ^ ((self.index as u64) << 32) ^ u64::from(self.starts);
        self.core = Some(Gateway::new(settings, seed, now)?);
        self.counter_calls_in_flight = 0;
        self.marked_down = false;
        Ok(())
    }

    /// Kills the gateway and returns the requests that had no response.
    pub fn kill(&mut self) -> Vec<RequestId> {
        self.core = None;
        let requests = std::mem::take(&mut self.requests);
        requests.into_iter().filter(|(_, request)| !request.finished).map(|(id, _)| id).collect()
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { gateway: self.index, number: self.starts }
    }

    /// Returns whether the gateway is running as the given incarnation.
    pub fn is_running(&self, incarnation: Incarnation) -> bool {
        self.core.is_some() && self.starts == incarnation.number
    }
}
