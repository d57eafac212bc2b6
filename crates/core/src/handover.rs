//! What a gateway knows, as text, for the process that takes its place: use, debts and verdicts outlive it.

use crate::api::*;
use crate::customer_table::Customer;
use crate::gateway::Gateway;
use crate::server_index::Server;
use crate::text_record::{next, record};
use std::fmt::Write;
use std::str::SplitAsciiWhitespace;

/// The version of the text, its first line. The second is the time at which it was written, by the clock of the process
/// that wrote it, to which all times in it refer.
const VERSION: &str = "grebehook-2";

/// Why a text was not taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverError {
    /// The line at fault, from 1.
    pub line: usize,
}

impl std::fmt::Display for HandoverError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {} of what was handed over cannot be read", self.line)
    }
}

impl std::error::Error for HandoverError {}

record!(write_gateway, read_gateway, Gateway:
    relative_latency, calls_per_request, usage_reported_at, attempt_rate.value, attempt_rate.at, goodput.value, goodput.at);
record!(write_server, read_server, Server: success_rate, last_outcome_at, ejected_until, consecutive_ejections, service_time_us, slow_start_budget, attempts_in_flight);
record!(write_customer, read_customer, Customer:
    plan_index, gateway_count, first_gateway, bucket_level, local_allowance, refilled_at, local_usage_rate.value, local_usage_rate.at, reported_demand, demand_reported_at, pacing_delay_ms,
    pacing_interval_started_at, pacing_interval_units, next_dequeue_at, hard_limit_tokens, unreported_units, possibly_counted_units, counter_replied_at, bucket_overflow);

/// From the clock of the process that wrote a text to that of the one which reads it: each counts from the wall clock as
/// it stood when the process began, and that may have been stepped between the two.
#[derive(Clone, Copy)]
struct ClockShift {
    from: Micros,
    to: Micros,
}

impl ClockShift {
    /// Brings times to the reader's clock; 0 stays what it is, long past.
    fn apply<const COUNT: usize>(self, times: [&mut Micros; COUNT]) {
        for time in times.into_iter().filter(|time| **time > 0) {
            *time = (self.to + *time).saturating_sub(self.from);
        }
    }
}

impl Gateway {
    /// What the next process has to know. What was not counted yet is its to count; this one keeps what its
    /// open requests still settle for.
    pub fn hand_over(&mut self, now: Micros) -> String {
        let mut text = format!("{VERSION}\nclock {now}\ngateway {}\n", write_gateway(self));
        // Writing to a string cannot fail.
        for x in self.servers.iter() {
            let _ = writeln!(text, "server {} {}", x.endpoint.server.0, write_server(x));
        }
        for (id, c) in self.customers.iter_mut() {
            c.unreported_units += std::mem::take(&mut c.settlement_due);
            // A call that is out may have been added by the time of the next one.
            let unsure = c.possibly_counted_units;
            c.possibly_counted_units += c.units_in_call;
            let total = c.counter_total.map_or("-".to_owned(), |t| t.to_string());
            let _ = writeln!(text, "customer {} {} {total}", id.0, write_customer(c));
            (c.unreported_units, c.possibly_counted_units) = (0.0, unsure);
        }
        text
    }

    /// Takes up what the process before has handed over; all of it, or nothing. Servers that are not listed
    /// are passed over.
    pub fn take_over(&mut self, now: Micros, text: &str) -> Result<(), HandoverError> {
        let mut lines = text.lines().zip(1..);
        if lines.next().is_none_or(|(version, _)| version != VERSION) {
            return Err(HandoverError { line: 1 });
        }
        let written = lines.next().and_then(|(text, _)| text.strip_prefix("clock ")?.parse().ok());
        let shift = ClockShift { from: written.ok_or(HandoverError { line: 2 })?, to: now };
        let (mut gateways, mut servers, mut customers) = (Vec::new(), Vec::new(), Vec::new());
        for (text, line) in lines {
            let mut words = text.split_ascii_whitespace();
            let read = match words.next() {
                Some("gateway") => read_gateway(&mut words).map(|g| gateways.push(g)),
                Some("server") => next(&mut words)
                    .zip(read_server(&mut words))
                    .map(|(id, x)| servers.push((ServerId(id), x))),
                Some("customer") => self.read_customer(&mut words).map(|c| customers.push(c)),
                _ => None,
            };
            read.ok_or(HandoverError { line })?;
        }
        for mut g in gateways {
            shift.apply([&mut g.usage_reported_at, &mut g.attempt_rate.at, &mut g.goodput.at]);
            (self.relative_latency, self.calls_per_request, self.usage_reported_at) =
                (g.relative_latency, g.calls_per_request, g.usage_reported_at);
            (self.attempt_rate, self.goodput) = (g.attempt_rate, g.goodput);
        }
        for (id, mut seen) in servers {
            shift.apply([&mut seen.last_outcome_at, &mut seen.ejected_until]);
            self.servers.update(now, id, |x| {
                (x.success_rate, x.last_outcome_at, x.ejected_until, x.consecutive_ejections) =
                    (seen.success_rate, seen.last_outcome_at, seen.ejected_until, seen.consecutive_ejections);
                (x.service_time_us, x.slow_start_budget) = (seen.service_time_us, seen.slow_start_budget);
                // What the old process still has out there is others' work to this one.
                (x.peers_in_flight, x.load_reported_at) = (f64::from(seen.attempts_in_flight), now);
            });
        }
        for (id, mut customer) in customers {
            shift.apply([
                &mut customer.refilled_at,
                &mut customer.local_usage_rate.at,
                &mut customer.demand_reported_at,
                &mut customer.pacing_interval_started_at,
                &mut customer.next_dequeue_at,
            ]);
            self.changed_customers.insert(id);
            self.customers.insert(id, customer);
        }
        Ok(())
    }

    fn read_customer(&self, words: &mut SplitAsciiWhitespace<'_>) -> Option<(CustomerId, Customer)> {
        let (id, seen) = (CustomerId(next(words)?), read_customer(words)?);
        let (terms, gateways) =
            (self.settings.plans.get(seen.plan_index)?.clone(), self.settings.gateway_count);
        if !(1..=gateways).contains(&seen.gateway_count) || seen.first_gateway >= gateways {
            return None;
        }
        let total = match words.next()? {
            "-" => None,
            total => Some(next(&mut total.split_ascii_whitespace())?),
        };
        Some((id, Customer { plan: terms, counter_total: total, ..seen }))
    }
}
