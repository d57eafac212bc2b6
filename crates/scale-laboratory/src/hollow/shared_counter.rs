//! Shared counter on simulated time: a queue with limited capacity, keys that expire, and outages.

use crate::experiment::CounterService;
use crate::settings::{micros_from_milliseconds, CONNECT_TIMEOUT};
use crate::wire;
use grebehook_core::{CounterId, CounterResult, Micros};
use std::collections::BTreeMap;

/// Address of the counter, which counts towards the length of its calls.
const COUNTER_ADDRESS: &str = "10.2.0.2:6400";
/// Longest time to live of a key, in microseconds.
const MAX_TTL: Micros = 60_000_000;

/// A gateway's call to the counter.
#[derive(Clone, Copy, Debug)]
pub struct CounterCall {
    /// Key to add to.
    pub counter: CounterId,
    /// Amount to add to the key's total.
    pub amount: f64,
    /// Time to live of a new key, in microseconds.
    pub ttl: Micros,
    /// Version of the configuration that specifies the counter's address; totals are separate for each
    /// address.
    pub address_version: u32,
    /// Whether the network connects the gateway to the counter.
    pub reachable: bool,
}

/// Result of a call.
#[derive(Clone, Copy, Debug)]
pub struct CounterReply {
    /// Time at which the call ends, in microseconds; for a reply, without the network's round trip.
    pub at: Micros,
    /// Result that the gateway receives.
    pub result: CounterResult,
    /// Length of the call and of its reply, in bytes.
    pub bytes: u64,
}

/// A key's total with its expiry.
#[derive(Clone, Copy)]
struct Total {
    value: f64,
    /// Time at which the key expires, in microseconds.
    expires_at: Micros,
}

/// Shared counter with its queue, its totals and its availability.
pub struct SharedCounter {
    /// Latency of a call without queueing, in microseconds.
    latency: Micros,
    /// Time after which a gateway gives up on a call, in microseconds.
    timeout: Micros,
    /// Time for which a call occupies the counter, in microseconds.
    service_time_us: f64,
    /// Time at which the queue will be empty, in microseconds.
    busy_until_us: f64,
    /// Whether the counter accepts calls without replying to them.
    unresponsive: bool,
    /// Totals by address version and key.
    totals: BTreeMap<(u32, CounterId), Total>,
}

impl SharedCounter {
    /// Returns a counter without keys.
    pub fn new(settings: &CounterService) -> SharedCounter {
        SharedCounter {
            latency: micros_from_milliseconds(settings.latency_milliseconds),
            timeout: micros_from_milliseconds(settings.limit_milliseconds),
            service_time_us: 1e6 / settings.capacity_per_second,
            busy_until_us: 0.0,
            unresponsive: false,
            totals: BTreeMap::new(),
        }
    }

    /// Sets whether the counter accepts calls without replying to them.
    pub fn set_unresponsive(&mut self, unresponsive: bool) {
        self.unresponsive = unresponsive;
    }

    /// Processes a call when it is sent and returns when and how it will end. A call that times out in the
    /// queue is added to the total nevertheless.
    pub fn call(&mut self, now: Micros, call: CounterCall) -> CounterReply {
        if !call.reachable {
            let at = now + CONNECT_TIMEOUT.min(self.timeout);
            return CounterReply { at, result: CounterResult::Refused, bytes: 0 };
        }
        let request =
            wire::counter_call(COUNTER_ADDRESS, call.counter.0, call.amount, call.ttl.div_ceil(1_000));
        let request_bytes = request.len() as u64;
        let timed_out =
            CounterReply { at: now + self.timeout, result: CounterResult::Unknown, bytes: request_bytes };
        if self.unresponsive {
            return timed_out;
        }
        self.busy_until_us = self.busy_until_us.max(now as f64) + self.service_time_us;
        let at = self.busy_until_us as Micros + self.latency;
        let total = self.add(now, call);
        if at > timed_out.at {
            return timed_out;
        }
        let bytes = request_bytes + wire::counter_reply(total).len() as u64;
        CounterReply { at, result: CounterResult::Total(total), bytes }
    }

    /// Adds the amount of a call to its key and returns the key's new total.
    fn add(&mut self, now: Micros, call: CounterCall) -> f64 {
        let new = Total { value: 0.0, expires_at: now + call.ttl.min(MAX_TTL) };
        let total = self.totals.entry((call.address_version, call.counter)).or_insert(new);
        if total.expires_at <= now {
            *total = new;
        }
        total.value += call.amount;
        total.value
    }
}
