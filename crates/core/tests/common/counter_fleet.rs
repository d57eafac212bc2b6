//! A fleet whose gateways share a counter.

use super::actions::{counter_calls, forwarded_to, CounterCall};
use super::events::counter_total;
use super::fleet_gateway::FleetGateway;
use super::settings::{in_fleet, settings_with_usage_reports, with_shared_counter};
use super::{MILLISECOND, SECOND};
use grebehook_core::{Action, CounterId, Micros};
use std::collections::BTreeMap;

/// The customer whose requests the tests count.
const CUSTOMER: u64 = 5;
/// How long the counter takes to reply.
const REPLY_TIME: Micros = 2 * MILLISECOND;

/// Gateways that share a counter, which adds each call at once and replies a moment later.
pub struct CounterFleet {
    /// The gateways.
    pub gateways: Vec<FleetGateway>,
    /// The counter's totals.
    pub totals: BTreeMap<CounterId, f64>,
    /// The number of the last request.
    last_request: u64,
}

impl CounterFleet {
    /// Gateways that have not called the counter yet.
    pub fn new(gateway_count: usize) -> CounterFleet {
        let settings = with_shared_counter(settings_with_usage_reports());
        let start =
            |index| FleetGateway::start(in_fleet(&settings, index, gateway_count), 31 * index as u64 + 7);
        CounterFleet {
            gateways: (0..gateway_count).map(start).collect(),
            totals: BTreeMap::new(),
            last_request: 0,
        }
    }

    /// Gateways that have saved counter calls and call whenever a total would help.
    pub fn with_saved_calls(gateway_count: usize) -> CounterFleet {
        let mut fleet = CounterFleet::new(gateway_count);
        fleet.save_calls(990 * SECOND);
        fleet.totals.clear();
        fleet
    }

    /// Adds an amount to a counter at once; returns its total.
    pub fn add(&mut self, call: CounterCall) -> f64 {
        let total = self.totals.entry(call.counter).or_default();
        *total += call.amount;
        *total
    }

    /// One request of the counted customer at a gateway; whether it was forwarded.
    pub fn request(&mut self, gateway: usize, now: Micros) -> bool {
        self.last_request += 1;
        let actions = self.gateways[gateway].request(now, self.last_request, CUSTOMER);
        let forwarded = self.complete_calls(gateway, now, actions);
        let actions = self.gateways[gateway].tick(now + 50 * MILLISECOND);
        self.complete_calls(gateway, now + 50 * MILLISECOND, actions);
        forwarded
    }

    /// Each gateway gets requests of other customers for four seconds, some of which need no counter call.
    fn save_calls(&mut self, from: Micros) {
        for gateway in 0..self.gateways.len() {
            for k in 0..60 {
                let now = from + k * 66 * MILLISECOND;
                self.last_request += 1;
                // A customer whose bucket is ample and was just counted needs no call.
                let customer = if k < 40 { 100 + self.last_request } else { 100 };
                let actions = self.gateways[gateway].request(now, self.last_request, customer);
                self.complete_calls(gateway, now, actions);
            }
            let now = from + 4 * SECOND;
            let actions = self.gateways[gateway].tick(now);
            self.complete_calls(gateway, now, actions);
        }
    }

    /// Replies to counter calls until none is left; whether a request was forwarded meanwhile.
    fn complete_calls(&mut self, gateway: usize, mut now: Micros, mut actions: Vec<Action>) -> bool {
        let mut forwarded = false;
        while !actions.is_empty() {
            forwarded |= forwarded_to(&actions).is_some();
            let mut following = Vec::new();
            for call in counter_calls(&actions) {
                now += REPLY_TIME;
                let total = self.add(call);
                let reply = counter_total(call.counter, total, REPLY_TIME);
                following.extend(self.gateways[gateway].handle(now, reply));
            }
            actions = following;
        }
        forwarded
    }
}
