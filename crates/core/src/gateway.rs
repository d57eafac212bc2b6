//! The state of one gateway, on which the policy modules decide. Nothing is decided here.

use crate::api::*;
use crate::customer_table::{ChangedCustomers, CustomerTable};
use crate::decaying_rate::Rate;
use crate::gossip_queue::GossipQueue;
use crate::random_source::RandomSource;
use crate::ranked_tree::Subset;
use crate::request::Request;
use crate::server_index::ServerIndex;
use crate::servers::{avoided, Patience};
use crate::start_times::StartTimes;
use std::collections::BTreeMap;

/// Where a decision appends what is to be done.
pub(crate) type Out<'a> = &'a mut Vec<Action>;

/// The decisions of one gateway.
#[derive(Default)]
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) launched: Micros,
    pub(crate) life: u32,
    pub(crate) servers: ServerIndex,
    pub(crate) start_times: StartTimes,
    pub(crate) customers: CustomerTable,
    pub(crate) visited: u64,
    pub(crate) probed: Micros,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) sends: Rate,
    pub(crate) flow: Rate,
    pub(crate) latency_estimate: f64,
    pub(crate) highest_value: f64,
    pub(crate) highest_overage_cost: f64,
    pub(crate) usual: Vec<f64>,
    pub(crate) patience: Patience,
    pub(crate) out_now: u32,
    pub(crate) retry_budget: f64,
    pub(crate) random_source: RandomSource,
    pub(crate) server_sampler: RandomSource,
    pub(crate) metered: Micros,
    pub(crate) gossip_budget: f64,
    pub(crate) gossip_interval: Micros,
    pub(crate) near: bool,
    pub(crate) peers: Vec<Micros>,
    pub(crate) gossip_queue: GossipQueue,
    pub(crate) last_gossip: Micros,
    pub(crate) calls: f64,
    pub(crate) call_share: f64,
    pub(crate) cut: Micros,
    pub(crate) changed: ChangedCustomers,
    pub(crate) asked: BTreeMap<CounterId, (CustomerId, Micros, Micros)>,
    pub(crate) begun: bool,
    pub(crate) turn: f64,
    pub(crate) ends: Micros,
}

impl Gateway {
    /// How many servers are listed, and how many of them no new work goes to for how they answered.
    pub fn pool(&self, now: Micros) -> (usize, usize) {
        let avoided = avoided(self.servers.ejected_at(now), self.servers.count(Subset::Ready));
        (self.servers.listed(), avoided)
    }

    /// How many entries for servers, customers and gateways were examined since the start, which tests
    /// hold to a bound. Steps of a search in an index are not counted.
    pub fn entries_visited(&self) -> u64 {
        self.servers.visited() + self.customers.visited() + self.visited
    }
}
