//! The state of a gateway as text, for its successor process: use, deficits and ejections outlive the
//! process.
//!
//! The first line is the version of the text. The second is the time at which it was written, by the clock of
//! the process that wrote it, to which all times in it refer. A line each for the gateway, its servers and
//! its customers follows.

pub(crate) mod text;

use crate::api::{CustomerId, Micros, ServerId};
use crate::attempts::load::LoadSnapshot;
use crate::customer::Customer;
use crate::decaying_rate::DecayingRate;
use crate::endpoints::server::Server;
use crate::gateway::Gateway;
use text::{handover_record, ClockShift, HandoverRecord, Words};

/// The version of the text.
const VERSION: &str = "grebehook-2";

/// Why a text was not taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverError {
    /// The line at fault, from 1.
    pub line: usize,
}

impl std::fmt::Display for HandoverError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {} of the hand-over text is malformed", self.line)
    }
}

impl std::error::Error for HandoverError {}

/// The gateway's own line.
#[derive(Default)]
struct GatewayRecord {
    /// Mean latency, as a part of the latency objective.
    relative_latency: f64,
    /// Counter calls for each request.
    calls_per_request: f64,
    /// When a response last reported use.
    usage_reported_at: Micros,
    /// Attempts a second.
    attempt_rate: DecayingRate,
    /// Requests in flight at the target latency.
    goodput: DecayingRate,
}

handover_record!(GatewayRecord {
    relative_latency, calls_per_request, usage_reported_at, attempt_rate, goodput
} times { usage_reported_at });

/// All records of a text.
#[derive(Default)]
struct Records {
    /// The gateway's own; there should be one.
    gateways: Vec<GatewayRecord>,
    /// Servers, by number.
    servers: Vec<(ServerId, Server)>,
    /// Customers, by number.
    customers: Vec<(CustomerId, Customer)>,
}

/// A line of the text.
fn line(kind: &str, id: Option<u64>, record: &impl HandoverRecord) -> String {
    let mut words = vec![kind.to_owned()];
    words.extend(id.map(|id| id.to_string()));
    record.write(&mut words);
    words.join(" ") + "\n"
}

impl Gateway {
    /// The state for the successor process. What is not reported to the counter yet is left to it; this one
    /// keeps what its open requests still settle for.
    pub fn hand_over(&mut self, now: Micros) -> String {
        let mut text = format!("{VERSION}\nclock {now}\n");
        text += &line("gateway", None, &self.gateway_record());
        for server in self.servers.iter() {
            text += &line("server", Some(server.endpoint.server.0), server);
        }
        for (id, customer) in self.customers.iter_mut() {
            let possibly_counted = customer.counter.prepare_handover();
            text += &line("customer", Some(id.0), customer);
            customer.counter.complete_handover(possibly_counted);
        }
        text
    }

    /// The gateway's own line.
    fn gateway_record(&self) -> GatewayRecord {
        let load = self.load.snapshot();
        GatewayRecord {
            relative_latency: load.relative_latency,
            calls_per_request: self.counter_calls.calls_per_request(),
            usage_reported_at: self.usage_reported_at,
            attempt_rate: load.attempt_rate,
            goodput: load.goodput,
        }
    }

    /// Restores the state that the predecessor process handed over; all of it, or nothing. Servers that are
    /// not listed are skipped.
    pub fn take_over(&mut self, now: Micros, text: &str) -> Result<(), HandoverError> {
        let mut lines = text.lines().zip(1..);
        if lines.next().is_none_or(|(version, _)| version != VERSION) {
            return Err(HandoverError { line: 1 });
        }
        let written_at = lines.next().and_then(|(text, _)| text.strip_prefix("clock ")?.parse().ok());
        let shift = ClockShift { from: written_at.ok_or(HandoverError { line: 2 })?, to: now };
        let mut records = Records::default();
        for (text, line) in lines {
            self.read_line(text, &mut records).ok_or(HandoverError { line })?;
        }
        self.restore(now, records, shift);
        Ok(())
    }

    /// Reads one line; `None` if it is malformed or names a plan or gateway that there is not.
    fn read_line(&self, text: &str, records: &mut Records) -> Option<()> {
        let mut words = text.split_ascii_whitespace();
        match words.next()? {
            "gateway" => records.gateways.push(GatewayRecord::read(&mut words)?),
            "server" => {
                let id = ServerId(u64::read(&mut words)?);
                records.servers.push((id, Server::read(&mut words)?));
            }
            "customer" => records.customers.push(self.read_customer(&mut words)?),
            _ => return None,
        }
        Some(())
    }

    /// Reads a customer, whose plan and gateways must exist.
    fn read_customer(&self, words: &mut Words<'_>) -> Option<(CustomerId, Customer)> {
        let id = CustomerId(u64::read(words)?);
        let customer = Customer::read(words)?;
        let plan = self.settings.plans.get(customer.plan_index)?.clone();
        let gateway_count = self.settings.gateway_count;
        let is_served = (1..=gateway_count).contains(&customer.gateway_count);
        let is_known = is_served && customer.first_gateway < gateway_count;
        is_known.then_some((id, Customer { plan, ..customer }))
    }

    /// Restores the records of a text.
    fn restore(&mut self, now: Micros, records: Records, shift: ClockShift) {
        for mut gateway in records.gateways {
            gateway.shift(shift);
            self.restore_gateway(gateway);
        }
        for (id, mut server) in records.servers {
            server.shift(shift);
            self.servers.update(now, id, |known| restore_server(known, now, &server));
        }
        for (id, mut customer) in records.customers {
            customer.shift(shift);
            self.changed_customers.insert(id);
            self.customers.insert(id, customer);
        }
    }

    /// Restores the gateway's own line.
    fn restore_gateway(&mut self, record: GatewayRecord) {
        self.counter_calls.set_calls_per_request(record.calls_per_request);
        self.usage_reported_at = record.usage_reported_at;
        self.load.restore(LoadSnapshot {
            relative_latency: record.relative_latency,
            attempt_rate: record.attempt_rate,
            goodput: record.goodput,
        });
    }
}

/// Restores what the predecessor process knew of a server.
fn restore_server(known: &mut Server, now: Micros, record: &Server) {
    known.health = record.health.clone();
    known.service_time_us = record.service_time_us;
    known.slow_start_budget = record.slow_start_budget;
    // What the predecessor still has in flight there counts as others' requests.
    known.peers_in_flight = f64::from(record.attempts_in_flight);
    known.load_reported_at = now;
}
