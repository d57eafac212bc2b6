//! The host of a hollow gateway: its decision core, the requests it holds, and its version of the list.

use super::queue::GatewayLife;
use crate::error::Result;
use grebehook_core::{AttemptStatus, Gateway, Micros, RequestId, Settings};
use std::collections::BTreeMap;

/// Calls of the counter that a gateway has out at once.
pub const COUNTER_CALLS_MOST: usize = 16;

/// An attempt that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Where to.
    pub server: usize,
    /// The server's life then.
    pub epoch: u32,
    /// When.
    pub sent_at: Micros,
    /// How long the core waits for it.
    pub timeout: Micros,
    /// How it ends.
    pub status: AttemptStatus,
    /// Whether it is still out.
    pub in_flight: bool,
}

/// A request that the host holds.
#[derive(Debug, Default)]
pub struct HeldRequest {
    /// Its attempts, in the order of their sends.
    pub attempts: Vec<Attempt>,
    /// The client has its answer or has left.
    pub over: bool,
}

/// A hollow gateway.
pub struct HollowGateway {
    /// Its number.
    pub number: usize,
    /// Counts its starts.
    pub life: u32,
    /// Its decisions; none while it is down.
    pub core: Option<Gateway>,
    /// Requests it holds.
    pub requests: BTreeMap<RequestId, HeldRequest>,
    /// The version of the list that it has.
    pub version: u64,
    /// Counts its watches, so that an answered one does not expire.
    pub watches: u64,
    /// Calls of the counter that are out.
    pub counter_calls: usize,
    /// Which of the counters it calls, by its configuration.
    pub configuration: u32,
    /// Its host carries out nothing any more.
    pub stalled: bool,
    /// The front knows that it is down.
    pub noticed_down: bool,
}

impl HollowGateway {
    /// One that is down.
    pub fn new(number: usize) -> HollowGateway {
        HollowGateway {
            number,
            life: 0,
            core: None,
            requests: BTreeMap::new(),
            version: 0,
            watches: 0,
            counter_calls: 0,
            configuration: 0,
            stalled: false,
            noticed_down: false,
        }
    }

    /// Starts it from nothing.
    pub fn start(&mut self, now: Micros, settings: Settings, seed: u64) -> Result<()> {
        self.life += 1;
        let seed = seed ^ ((self.number as u64) << 32) ^ u64::from(self.life);
        self.core = Some(Gateway::new(settings, seed, now)?);
        self.counter_calls = 0;
        self.noticed_down = false;
        Ok(())
    }

    /// Ends it with no warning; the requests that it held.
    pub fn kill(&mut self) -> Vec<RequestId> {
        self.core = None;
        let held = std::mem::take(&mut self.requests);
        held.into_iter().filter(|(_, r)| !r.over).map(|(id, _)| id).collect()
    }

    /// This life of it.
    pub fn this_life(&self) -> GatewayLife {
        GatewayLife { gateway: self.number, life: self.life }
    }

    /// Whether this life goes on.
    pub fn lives(&self, life: GatewayLife) -> bool {
        self.core.is_some() && self.life == life.life
    }
}
