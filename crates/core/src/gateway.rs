//! The state of one gateway, on which the policy modules decide. Nothing is decided here.

use crate::api::*;
use crate::customer_table::{ChangedCustomers, CustomerTable};
use crate::decaying_rate::Rate;
use crate::gossip_queue::GossipQueue;
use crate::random_source::RandomSource;
use crate::ranked_tree::Subset;
use crate::request::Request;
use crate::server_index::ServerIndex;
use crate::servers::{enforced_ejections, AttemptTimeouts};
use crate::start_times::StartTimes;
use std::collections::BTreeMap;

/// Where a decision appends what is to be done.
pub(crate) type Actions<'a> = &'a mut Vec<Action>;

/// The decisions of one gateway.
#[derive(Default)]
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) process_started_at: Micros,
    pub(crate) incarnation: u32,
    pub(crate) servers: ServerIndex,
    pub(crate) start_times: StartTimes,
    pub(crate) customers: CustomerTable,
    pub(crate) entries_examined: u64,
    pub(crate) health_checked_at: Micros,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) attempt_rate: Rate,
    pub(crate) goodput: Rate,
    pub(crate) relative_latency: f64,
    pub(crate) highest_value: f64,
    pub(crate) highest_overage_cost: f64,
    pub(crate) typical_client_timeouts: Vec<f64>,
    pub(crate) attempt_timeouts: AttemptTimeouts,
    pub(crate) attempts_in_flight: u32,
    pub(crate) retry_budget: f64,
    pub(crate) random_source: RandomSource,
    pub(crate) server_sampler: RandomSource,
    pub(crate) usage_reported_at: Micros,
    pub(crate) gossip_budget: f64,
    pub(crate) gossip_interval: Micros,
    pub(crate) full_mesh_gossip: bool,
    pub(crate) peers_heard_at: Vec<Micros>,
    pub(crate) gossip_queue: GossipQueue,
    pub(crate) gossip_sent_at: Micros,
    pub(crate) counter_call_budget: f64,
    pub(crate) calls_per_request: f64,
    pub(crate) last_backoff_at: Micros,
    pub(crate) changed_customers: ChangedCustomers,
    pub(crate) pending_counter_calls: BTreeMap<CounterId, (CustomerId, Micros, Micros)>,
    pub(crate) has_started: bool,
    pub(crate) virtual_time: f64,
    pub(crate) shutdown_deadline: Micros,
}

impl Gateway {
    /// How many servers are listed, and how many of them no new work goes to for how they answered.
    pub fn endpoint_counts(&self, now: Micros) -> (usize, usize) {
        let enforced_ejections =
            enforced_ejections(self.servers.ejected_at(now), self.servers.count(Subset::Ready));
        (self.servers.listed(), enforced_ejections)
    }

    /// How many entries for servers, customers and gateways were examined since the start, which tests
    /// hold to a bound. Steps of a search in an index are not counted.
    pub fn entries_visited(&self) -> u64 {
        self.servers.visited() + self.customers.visited() + self.entries_examined
    }
}
