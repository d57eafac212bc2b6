//! A fleet of gateways with a simulated shared counter.

use super::actions::{counter_calls, forwarded_to, CounterCall};
use super::events::counter_total;
use super::fleet_gateway::FleetGateway;
use super::settings::{in_fleet, settings_with_usage_reports, with_shared_counter};
use super::{MILLISECOND, SECOND};
use grebehook_core::{Action, CounterId, Micros};
use std::collections::BTreeMap;

/// Customer whose requests tests count.
const CUSTOMER: u64 = 5;
/// Time until the counter replies to a call.
const REPLY_TIME: Micros = 2 * MILLISECOND;

/// A fleet of gateways and their shared counter, which applies each call at once and replies after
/// [`REPLY_TIME`].
pub struct CounterFleet {
    /// The fleet's gateways, by index.
    pub gateways: Vec<FleetGateway>,
    /// Totals of the shared counter, by key.
    pub totals: BTreeMap<CounterId, f64>,
    /// Id of the most recent request.
    last_request_id: u64,
}

impl CounterFleet {
    /// Creates a fleet that has not called the counter yet, with the initial balances of its call budgets.
    pub fn new(gateway_count: usize) -> CounterFleet {
        let settings = with_shared_counter(settings_with_usage_reports());
        let start =
            |index| FleetGateway::start(in_fleet(&settings, index, gateway_count), 31 * index as u64 + 7);
        CounterFleet {
            gateways: (0..gateway_count).map(start).collect(),
            totals: BTreeMap::new(),
            last_request_id: 0,
        }
    }

    /// Creates a fleet whose call budgets have enough balance for a call whenever a total is useful. The
    /// totals start from 0.
    pub fn with_call_balance(gateway_count: usize) -> CounterFleet {
        let mut fleet = CounterFleet::new(gateway_count);
        fleet.raise_call_balances(990 * SECOND);
        fleet.totals.clear();
        fleet
    }

    /// Applies a call to the counter and returns the key's new total.
    pub fn apply_call(&mut self, call: CounterCall) -> f64 {
        let total = self.totals.entry(call.counter).or_default();
        *total += call.amount;
        *total
    }

    /// Delivers a request of [`CUSTOMER`] to a gateway, then a tick 50 ms later, and replies to the resulting
    /// counter calls. Returns whether the request was forwarded before the tick.
    pub fn request(&mut self, gateway: usize, now: Micros) -> bool {
        self.last_request_id += 1;
        let actions = self.gateways[gateway].request(now, self.last_request_id, CUSTOMER);
        let forwarded = self.complete_calls(gateway, now, actions);
        let actions = self.gateways[gateway].tick(now + 50 * MILLISECOND);
        self.complete_calls(gateway, now + 50 * MILLISECOND, actions);
        forwarded
    }

    /// Delivers requests of other customers to each gateway for four seconds. Each request deposits calls in
    /// the gateway's call budget, but some make no call, so that the balance grows.
    fn raise_call_balances(&mut self, from: Micros) {
        for gateway in 0..self.gateways.len() {
            for k in 0..60 {
                let now = from + k * 66 * MILLISECOND;
                self.last_request_id += 1;
                // A customer with a nearly full bucket and a recent total needs no call.
                let customer = if k < 40 { 100 + self.last_request_id } else { 100 };
                let actions = self.gateways[gateway].request(now, self.last_request_id, customer);
                self.complete_calls(gateway, now, actions);
            }
            let now = from + 4 * SECOND;
            let actions = self.gateways[gateway].tick(now);
            self.complete_calls(gateway, now, actions);
        }
    }

    /// Replies to counter calls until none is left. Returns whether the given actions, or those that follow the
    /// replies, forward a request.
    fn complete_calls(&mut self, gateway: usize, mut now: Micros, mut actions: Vec<Action>) -> bool {
        let mut forwarded = false;
        while !actions.is_empty() {
            forwarded |= forwarded_to(&actions).is_some();
            let mut next_actions = Vec::new();
            for call in counter_calls(&actions) {
                now += REPLY_TIME;
                let total = self.apply_call(call);
                let reply = counter_total(call.counter, total, REPLY_TIME);
                next_actions.extend(self.gateways[gateway].handle(now, reply));
            }
            actions = next_actions;
        }
        forwarded
    }
}
