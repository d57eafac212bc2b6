//! The shared counter on simulated time: one queue with a capacity, keys that expire, and an outage.

use crate::experiment::CounterService;
use crate::settings::{micros, CONNECT_TIMEOUT};
use crate::wire;
use grebehook_core::{CounterId, CounterResult, Micros};
use std::collections::BTreeMap;

/// The counter's address in calls, for their length.
const ADDRESS: &str = "10.2.0.2:6400";
/// Longest life of a key.
const MAX_TTL: Micros = 60_000_000;

/// A call by a gateway.
#[derive(Clone, Copy, Debug)]
pub struct CounterCall {
    /// The key.
    pub counter: CounterId,
    /// What to add.
    pub amount: f64,
    /// How long a new key lives.
    pub ttl: Micros,
    /// Which of the counters that configurations have named.
    pub address: u32,
    /// Whether the network lets it through.
    pub reachable: bool,
}

/// When a call ends, how, and the bytes that went both ways.
#[derive(Clone, Copy, Debug)]
pub struct CounterReply {
    /// When the gateway learns of it.
    pub at: Micros,
    /// How it ended.
    pub result: CounterResult,
    /// Bytes of the call and its reply.
    pub bytes: u64,
}

/// A key's total.
#[derive(Clone, Copy)]
struct Total {
    /// The total.
    value: f64,
    /// When the key expires.
    expires_at: Micros,
}

/// The shared counter.
pub struct SharedCounter {
    /// Time of a call without a queue.
    latency: Micros,
    /// A gateway gives up a call after this time.
    timeout: Micros,
    /// Time that the counter works on a call, microseconds.
    service_time_us: f64,
    /// When it has worked off its queue, microseconds.
    busy_until_us: f64,
    /// It takes calls and answers none.
    silent: bool,
    /// Totals by address and key.
    totals: BTreeMap<(u32, CounterId), Total>,
}

impl SharedCounter {
    /// A counter without any keys.
    pub fn new(settings: &CounterService) -> SharedCounter {
        SharedCounter {
            latency: micros(settings.latency_milliseconds),
            timeout: micros(settings.limit_milliseconds),
            service_time_us: 1e6 / settings.capacity_per_second,
            busy_until_us: 0.0,
            silent: false,
            totals: BTreeMap::new(),
        }
    }

    /// Whether it answers no call from now on.
    pub fn set_silent(&mut self, silent: bool) {
        self.silent = silent;
    }

    /// Takes a call at the moment it is sent, and says how it will end.
    pub fn call(&mut self, now: Micros, call: CounterCall) -> CounterReply {
        if !call.reachable {
            let at = now + CONNECT_TIMEOUT.min(self.timeout);
            return CounterReply { at, result: CounterResult::Refused, bytes: 0 };
        }
        let request = wire::counter_call(ADDRESS, call.counter.0, call.amount, call.ttl.div_ceil(1_000));
        let request_bytes = request.len() as u64;
        let timed_out =
            CounterReply { at: now + self.timeout, result: CounterResult::Unknown, bytes: request_bytes };
        if self.silent {
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

    /// Adds an amount to a key; its total.
    fn add(&mut self, now: Micros, call: CounterCall) -> f64 {
        let new = Total { value: 0.0, expires_at: now + call.ttl.min(MAX_TTL) };
        let total = self.totals.entry((call.address, call.counter)).or_insert(new);
        if total.expires_at <= now {
            *total = new;
        }
        total.value += call.amount;
        total.value
    }
}
