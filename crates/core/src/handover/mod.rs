//! Hand-over of a gateway's state to its successor process as text, so that usage, deficits and ejections
//! are kept across a restart.
//!
//! The first line is the version of the format. The second line is the time of writing by the writer's clock,
//! to which all times in the text refer. The remaining lines hold one record each: of the gateway, of a
//! server or of a customer.

pub(crate) mod text;

use crate::api::{CustomerId, Micros, ServerId};
use crate::attempts::load::LoadSnapshot;
use crate::customer::Customer;
use crate::decaying_rate::DecayingRate;
use crate::endpoints::server::Server;
use crate::gateway::Gateway;
use text::{handover_record, ClockShift, HandoverRecord, Words};

/// Version of the text format, its first line.
const VERSION: &str = "grebehook-2";

/// The reason why a hand-over text was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverError {
    /// Number of the malformed line, counted from 1.
    pub line: usize,
}

impl std::fmt::Display for HandoverError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {} of the hand-over text is malformed", self.line)
    }
}

impl std::error::Error for HandoverError {}

/// The record of the gateway itself.
#[derive(Default)]
struct GatewayRecord {
    /// Mean latency as a fraction of the latency objective.
    relative_latency: f64,
    /// Counter calls per request.
    calls_per_request: f64,
    /// Time at which a response last reported usage.
    usage_reported_at: Micros,
    /// Attempts per second.
    attempt_rate: DecayingRate,
    /// Number of requests in flight if each successful answer took the target latency.
    in_flight_at_target_latency: DecayingRate,
}

handover_record!(GatewayRecord {
    relative_latency, calls_per_request, usage_reported_at, attempt_rate, in_flight_at_target_latency
} times { usage_reported_at });

/// The records of a text.
#[derive(Default)]
struct Records {
    /// Records of the gateway itself, normally one.
    gateways: Vec<GatewayRecord>,
    /// Servers with their ids.
    servers: Vec<(ServerId, Server)>,
    /// Customers with their ids.
    customers: Vec<(CustomerId, Customer)>,
}

/// Formats one record as a line of the text.
fn format_line(kind: &str, id: Option<u64>, record: &impl HandoverRecord) -> String {
    let mut words = vec![kind.to_owned()];
    words.extend(id.map(|id| id.to_string()));
    record.write(&mut words);
    words.join(" ") + "\n"
}

impl Gateway {
    /// Returns the state for the successor process, which also reports to the shared counter the usage that
    /// no call has reported yet. This process keeps only what its open requests still settle.
    pub fn hand_over(&mut self, now: Micros) -> String {
        let mut text = format!("{VERSION}\nclock {now}\n");
        text += &format_line("gateway", None, &self.gateway_record());
        for server in self.servers.iter() {
            text += &format_line("server", Some(server.endpoint.server.0), server);
        }
        for (id, customer) in self.customers.iter_mut() {
            let possibly_counted = customer.counter.prepare_handover();
            text += &format_line("customer", Some(id.0), customer);
            customer.counter.complete_handover(possibly_counted);
        }
        text
    }

    /// Returns the record of the gateway itself.
    fn gateway_record(&self) -> GatewayRecord {
        let load = self.load.snapshot();
        GatewayRecord {
            relative_latency: load.relative_latency,
            calls_per_request: self.counter_calls.calls_per_request(),
            usage_reported_at: self.usage_reported_at,
            attempt_rate: load.attempt_rate,
            in_flight_at_target_latency: load.in_flight_at_target_latency,
        }
    }

    /// Restores the state that the predecessor process handed over. A malformed text changes nothing. Servers
    /// that are not in the endpoint list are skipped.
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

    /// Reads one line; `None` if it is malformed or refers to an unknown plan or gateway.
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

    /// Reads the record of a customer; `None` if its plan or gateways do not exist in the settings.
    fn read_customer(&self, words: &mut Words<'_>) -> Option<(CustomerId, Customer)> {
        let id = CustomerId(u64::read(words)?);
        let customer = Customer::read(words)?;
        let plan = self.settings.plans.get(customer.plan_index)?.clone();
        let gateway_count = self.settings.gateway_count;
        let is_count_valid = (1..=gateway_count).contains(&customer.gateway_count);
        let are_gateways_valid = is_count_valid && customer.first_gateway < gateway_count;
        are_gateways_valid.then_some((id, Customer { plan, ..customer }))
    }

    /// Restores the records of a text, with their times converted to this process's clock.
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

    /// Restores the record of the gateway itself.
    fn restore_gateway(&mut self, record: GatewayRecord) {
        self.counter_calls.set_calls_per_request(record.calls_per_request);
        self.usage_reported_at = record.usage_reported_at;
        self.load.restore(LoadSnapshot {
            relative_latency: record.relative_latency,
            attempt_rate: record.attempt_rate,
            in_flight_at_target_latency: record.in_flight_at_target_latency,
        });
    }
}

/// Restores the state of a server from the predecessor's record.
fn restore_server(known: &mut Server, now: Micros, record: &Server) {
    known.health = record.health.clone();
    known.service_time_us = record.service_time_us;
    known.slow_start_budget = record.slow_start_budget;
    // The predecessor's attempts still in flight count as requests of another gateway.
    known.peers_in_flight = f64::from(record.attempts_in_flight);
    known.load_reported_at = now;
}
