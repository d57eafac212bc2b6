//! The shared counter on simulated time: one queue with a capacity, names that expire, and silence.

use crate::experiment::CounterService;
use crate::settings::{micros, CONNECT_TIMEOUT};
use crate::wire;
use grebehook_core::{CounterId, CounterResult, Micros};
use std::collections::BTreeMap;

/// The counter's address in calls, for their length.
const ADDRESS: &str = "10.2.0.2:6400";
/// Longest life of a name.
const LIFE_MOST: Micros = 60_000_000;

/// A call by a gateway.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// The number's name.
    pub counter: CounterId,
    /// What to add.
    pub amount: f64,
    /// Life of a new name.
    pub life: Micros,
    /// Which of the counters that configurations have named.
    pub address: u32,
    /// Whether the network lets it through.
    pub reachable: bool,
}

/// When a call ends, how, and the bytes that went both ways.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// When the gateway learns of it.
    pub at: Micros,
    /// How it ended.
    pub end: CounterResult,
    /// Bytes of the call and its answer.
    pub bytes: u64,
}

#[derive(Clone, Copy)]
struct Number {
    total: f64,
    expires: Micros,
}

/// The shared counter.
pub struct Counter {
    latency: Micros,
    limit: Micros,
    service: f64,
    busy_until: f64,
    silent: bool,
    numbers: BTreeMap<(u32, CounterId), Number>,
}

impl Counter {
    /// A counter without any numbers.
    pub fn new(settings: &CounterService) -> Counter {
        Counter {
            latency: micros(settings.latency_milliseconds),
            limit: micros(settings.limit_milliseconds),
            service: 1e6 / settings.capacity_per_second,
            busy_until: 0.0,
            silent: false,
            numbers: BTreeMap::new(),
        }
    }

    /// Answers no call from now on, or does again.
    pub fn set_silent(&mut self, silent: bool) {
        self.silent = silent;
    }

    /// Takes a call at the moment it is sent and tells how it will end.
    pub fn call(&mut self, now: Micros, call: Call) -> Answer {
        let text = wire::counter_call(ADDRESS, call.counter.0, call.amount, call.life.div_ceil(1_000));
        if !call.reachable {
            return Answer {
                at: now + CONNECT_TIMEOUT.min(self.limit),
                end: CounterResult::Refused,
                bytes: 0,
            };
        }
        let written = text.len() as u64;
        if self.silent {
            return Answer { at: now + self.limit, end: CounterResult::Unknown, bytes: written };
        }
        self.busy_until = self.busy_until.max(now as f64) + self.service;
        let answered = self.busy_until as Micros + self.latency;
        let total = self.add(now, call);
        if answered > now + self.limit {
            return Answer { at: now + self.limit, end: CounterResult::Unknown, bytes: written };
        }
        let bytes = written + wire::counter_answer(total).len() as u64;
        Answer { at: answered, end: CounterResult::Total(total), bytes }
    }

    fn add(&mut self, now: Micros, call: Call) -> f64 {
        let fresh = Number { total: 0.0, expires: now + call.life.min(LIFE_MOST) };
        let number = self.numbers.entry((call.address, call.counter)).or_insert(fresh);
        if number.expires <= now {
            *number = fresh;
        }
        number.total += call.amount;
        number.total
    }
}
