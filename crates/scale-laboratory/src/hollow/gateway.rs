//! The host of a hollow gateway: its decision core, its requests in flight, and its version of the endpoint list.

use super::event_queue::Incarnation;
use crate::error::Result;
use grebehook_core::{AttemptStatus, Gateway, Micros, RequestId, Settings};
use std::collections::BTreeMap;

/// Counter calls that a gateway has in flight at most.
pub const MAX_COUNTER_CALLS: usize = 16;

/// An attempt that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Where to.
    pub server: usize,
    /// The server's incarnation then.
    pub server_incarnation: u32,
    /// When.
    pub sent_at: Micros,
    /// How long the core waits for it.
    pub timeout: Micros,
    /// How it ends.
    pub status: AttemptStatus,
    /// Whether it has not ended yet.
    pub in_flight: bool,
}

/// A request that the host keeps until its last attempt has ended.
#[derive(Debug, Default)]
pub struct HostedRequest {
    /// Its attempts, in the order of their sends.
    pub attempts: Vec<Attempt>,
    /// The client has its response or has disconnected.
    pub finished: bool,
}

impl HostedRequest {
    /// An attempt that has not ended.
    pub fn attempt_in_flight(&mut self, number: u32) -> Option<&mut Attempt> {
        self.attempts.get_mut(number as usize).filter(|attempt| attempt.in_flight)
    }

    /// Whether nothing more happens to it.
    pub fn is_over(&self) -> bool {
        self.finished && self.attempts.iter().all(|attempt| !attempt.in_flight)
    }
}

/// A hollow gateway.
pub struct HollowGateway {
    /// Its number.
    pub number: usize,
    /// Counts its starts.
    starts: u32,
    /// Its decision core; `None` while it is down.
    pub core: Option<Gateway>,
    /// The requests it keeps.
    pub requests: BTreeMap<RequestId, HostedRequest>,
    /// The version of the endpoint list that it has.
    pub list_version: u64,
    /// The number of its last watch, so that an answered one does not time out.
    pub last_watch: u64,
    /// Counter calls that have not ended.
    pub counter_calls_in_flight: usize,
    /// The version of its configuration, which says which counter it calls.
    pub configuration_version: u32,
    /// Its host carries out no more actions.
    pub stalled: bool,
    /// The load balancer knows that it is down.
    pub marked_down: bool,
}

impl HollowGateway {
    /// One that is down.
    pub fn new(number: usize) -> HollowGateway {
        HollowGateway {
            number,
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

    /// Starts it without any state of an earlier incarnation.
    pub fn start(&mut self, now: Micros, settings: Settings, seed: u64) -> Result<()> {
        self.starts += 1;
        let seed = seed ^ ((self.number as u64) << 32) ^ u64::from(self.starts);
        self.core = Some(Gateway::new(settings, seed, now)?);
        self.counter_calls_in_flight = 0;
        self.marked_down = false;
        Ok(())
    }

    /// Kills it; the requests that had no response.
    pub fn kill(&mut self) -> Vec<RequestId> {
        self.core = None;
        let requests = std::mem::take(&mut self.requests);
        requests.into_iter().filter(|(_, request)| !request.finished).map(|(id, _)| id).collect()
    }

    /// Its current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { gateway: self.number, number: self.starts }
    }

    /// Whether it still runs as this incarnation.
    pub fn is_running(&self, incarnation: Incarnation) -> bool {
        self.core.is_some() && self.starts == incarnation.number
    }
}
