//! Decodes messages of the simulator's protocol into events of the decision core. Each message has a list of
//! column names, in which `-` marks a column that is not read.

use crate::instance::Instance;
use crate::row::{ColumnError, Row};
use crate::settings::LoadReportColumn;
use base64::{prelude::BASE64_STANDARD, Engine};
use fnv::FnvHasher;
use grebehook_core::{
    AttemptReport, AttemptStatus, CounterId, CounterResult, CustomerId, Endpoint, EndpointState, Event,
    LoadReport, NonZeroMicros, RequestArrival, ServerId, TimerId, WatchEvent,
};
use serde_json::Value;
use std::hash::Hasher;
use std::net::SocketAddrV4;

/// Columns of `targets`.
const ENDPOINTS_CHANGED_COLUMNS: &[&str] = &["mode", "-", "records"];
/// Columns of one record of `targets`.
const ENDPOINT_COLUMNS: &[&str] = &["pod", "readiness", "readyAtUs", "size", "-", "locality", "server"];
/// Columns of `demand`.
const REQUEST_ARRIVED_COLUMNS: &[&str] =
    &["call", "tierClass", "tier", "apiKey", "graceUs", "units", "setSize", "firstDoor", "flags"];
/// Columns of `finished`.
const ATTEMPT_COMPLETED_COLUMNS: &[&str] =
    &["call", "hop", "server", "verdict", "costTimeUs", "closed", "usage", "settled", "stats"];
/// Columns of `established` and `gone`; later ones are not read.
const REQUEST_COLUMNS: &[&str] = &["call"];
/// Columns of `due`.
const TIMER_COLUMNS: &[&str] = &["name"];
/// Columns of `checkResult`.
const HEALTH_CHECK_COMPLETED_COLUMNS: &[&str] = &["-", "server", "verdict", "stats"];
/// Columns of `peerData`.
const GOSSIP_RECEIVED_COLUMNS: &[&str] = &["who", "body"];
/// Columns of `counterReply`.
const COUNTER_REPLIED_COLUMNS: &[&str] = &["entryName", "verdict", "total", "costTimeUs"];

/// Bit of the `flags` column that marks a retry.
const RETRY_FLAG: u64 = 2;
/// Bit set in the id of a server with a textual name, so that it differs from every id made of an IPv4
/// address and a port.
const HASHED_SERVER_BIT: u64 = 1 << 63;

/// A decoded value, or the column that is missing or malformed.
type DecodeResult<T> = Result<T, ColumnError>;

/// Decodes an item into an event, or returns `None` if the event name is unknown.
pub(crate) fn decode(
    instance: &mut Instance,
    event_name: &str,
    values: &[Value],
) -> DecodeResult<Option<Event>> {
    let row = |columns| Row::new(columns, values);
    Ok(Some(match event_name {
        "targets" => decode_endpoints_changed(instance, row(ENDPOINTS_CHANGED_COLUMNS))?,
        "demand" => decode_request_arrived(instance, row(REQUEST_ARRIVED_COLUMNS))?,
        "established" => decode_response_started(instance, row(REQUEST_COLUMNS))?,
        "finished" => decode_attempt_completed(instance, row(ATTEMPT_COMPLETED_COLUMNS))?,
        "gone" => {
            Event::ClientDisconnected { id: instance.names.request_id(row(REQUEST_COLUMNS).text("call")?) }
        }
        "due" => decode_timer(row(TIMER_COLUMNS))?,
        "checkResult" => decode_health_check_completed(instance, row(HEALTH_CHECK_COMPLETED_COLUMNS))?,
        "peerData" => decode_gossip_received(row(GOSSIP_RECEIVED_COLUMNS))?,
        "counterReply" => decode_counter_replied(row(COUNTER_REPLIED_COLUMNS))?,
        _ => return Ok(None),
    }))
}

/// Decodes a change of the endpoint list or a failure of the watch.
fn decode_endpoints_changed(instance: &mut Instance, row: Row) -> DecodeResult<Event> {
    let watch_event = match row.unsigned_or_zero("mode")? {
        0 => WatchEvent::Snapshot,
        2 => WatchEvent::Failed,
        3 => WatchEvent::Delta,
        4 => WatchEvent::CachedSnapshot,
        _ => return Err(ColumnError { column: "mode" }),
    };
    let records = row.list("records")?;
    let endpoints =
        records.iter().map(|record| decode_endpoint(instance, record)).collect::<DecodeResult<_>>()?;
    Ok(Event::EndpointsChanged { watch_event, endpoints })
}

fn decode_endpoint(instance: &mut Instance, record: &Value) -> DecodeResult<Endpoint> {
    let record = record.as_array().ok_or(ColumnError { column: "records" })?;
    let row = Row::new(ENDPOINT_COLUMNS, record);
    Ok(Endpoint {
        cell: row.unsigned_or_zero("pod")? as u32,
        state: match row.unsigned_or_zero("readiness")? {
            0 => EndpointState::Removed,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            _ => return Err(ColumnError { column: "readiness" }),
        },
        started_at: row.nonzero_unsigned("readyAtUs")?.and_then(NonZeroMicros::new),
        relative_size: row.optional_number("size").unwrap_or(1.0),
        zone: row.unsigned_or_zero("locality")? as u32,
        server: decode_server(instance, row)?,
    })
}

/// Decodes the arrival of a client's request. A customer key that is not a hexadecimal number is hashed.
fn decode_request_arrived(instance: &mut Instance, row: Row) -> DecodeResult<Event> {
    let id = instance.names.request_id(row.text("call")?);
    let customer = row.text("apiKey")?;
    Ok(Event::RequestArrived(RequestArrival {
        id,
        class: row.unsigned_or_zero("tierClass")? as usize,
        plan: row.unsigned_or_zero("tier")? as usize,
        customer: CustomerId(u64::from_str_radix(customer, 16).unwrap_or_else(|_| fnv1a_hash(customer))),
        client_timeout: row.unsigned_or_zero("graceUs")?,
        age: 0,
        units: row.number("units")?,
        customer_gateway_count: row.unsigned_or_zero("setSize")? as usize,
        first_gateway: row.unsigned_or_zero("firstDoor")? as usize,
        is_retry: row.unsigned_or_zero("flags")? & RETRY_FLAG != 0,
        body_incomplete: false,
    }))
}

/// Decodes the start of a streamed response. An unknown request is an error.
fn decode_response_started(instance: &Instance, row: Row) -> DecodeResult<Event> {
    let id = instance.names.known_request_id(row.text("call")?);
    Ok(Event::ResponseStarted { id: id.ok_or(ColumnError { column: "call" })? })
}

fn decode_attempt_completed(instance: &mut Instance, row: Row) -> DecodeResult<Event> {
    Ok(Event::AttemptCompleted(AttemptReport {
        id: instance.names.request_id(row.text("call")?),
        attempt: row.unsigned_or_zero("hop")? as u32,
        server: decode_server(instance, row)?,
        status: decode_status(row)?,
        elapsed: row.unsigned_or_zero("costTimeUs")?,
        request_finished: row.flag("closed"),
        reported_usage: row.nonzero_unsigned("usage")?.map(usage_share),
        settled_units: row.optional_number("settled").filter(|units| *units > 0.0),
        load_report: decode_load_report(instance, row),
    }))
}

fn decode_timer(row: Row) -> DecodeResult<Event> {
    let timer = row.text("name")?.parse().map_err(|_| ColumnError { column: "name" })?;
    Ok(Event::Timer { timer: TimerId(timer) })
}

fn decode_health_check_completed(instance: &mut Instance, row: Row) -> DecodeResult<Event> {
    Ok(Event::HealthCheckCompleted {
        server: decode_server(instance, row)?,
        status: decode_status(row)?,
        load_report: decode_load_report(instance, row),
    })
}

fn decode_gossip_received(row: Row) -> DecodeResult<Event> {
    let from = row.unsigned_or_zero("who")? as usize;
    let message = BASE64_STANDARD.decode(row.text("body")?);
    Ok(Event::GossipReceived { from, message: message.map_err(|_| ColumnError { column: "body" })? })
}

fn decode_counter_replied(row: Row) -> DecodeResult<Event> {
    let status = row.text("verdict")?;
    let counter = u64::from_str_radix(row.text("entryName")?, 16);
    let counter = counter.map_err(|_| ColumnError { column: "entryName" })?;
    let result = match status {
        "OK" => CounterResult::Total(row.number("total")?),
        "DEADLINE_EXCEEDED" => CounterResult::Unknown,
        _ => CounterResult::Refused,
    };
    let elapsed = row.unsigned_or_zero("costTimeUs")?;
    Ok(Event::CounterReplied { counter: CounterId(counter), result, elapsed })
}

/// Decodes the id of a message's server and records the server's name for the encoding of actions.
fn decode_server(instance: &mut Instance, row: Row) -> DecodeResult<ServerId> {
    let name = row.text("server")?;
    let id = ServerId(match name.parse::<SocketAddrV4>() {
        Ok(address) => u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port()),
        Err(_) => fnv1a_hash(name) | HASHED_SERVER_BIT,
    });
    instance.names.servers.entry(id).or_insert_with(|| name.to_owned());
    Ok(id)
}

fn decode_status(row: Row) -> DecodeResult<AttemptStatus> {
    Ok(match row.text("verdict")? {
        "OK" => AttemptStatus::Ok,
        "INTERNAL" => AttemptStatus::Error,
        "RESOURCE_EXHAUSTED" => AttemptStatus::Rejected,
        "DEADLINE_EXCEEDED" => AttemptStatus::Timeout,
        "UNAVAILABLE" => AttemptStatus::ConnectFailed,
        "ABORTED" => AttemptStatus::ConnectionReset,
        "CANCELLED" => AttemptStatus::Cancelled,
        "TOO_LATE" => AttemptStatus::NotSent,
        _ => return Err(ColumnError { column: "verdict" }),
    })
}

/// Decodes the load report of a message, or returns `None` if it has none. Values that are not numbers are
/// left out of the report.
fn decode_load_report(instance: &Instance, row: Row) -> Option<LoadReport> {
    let values = row.value("stats")?.as_array()?;
    let mut report = LoadReport::default();
    for (column, value) in instance.load_report_columns.iter().zip(values) {
        match column {
            LoadReportColumn::InFlight => report.in_flight = value.as_f64(),
            LoadReportColumn::Queued => report.queued = value.as_f64(),
            LoadReportColumn::Utilization => report.utilization = value.as_f64(),
            LoadReportColumn::LatencyMs => report.latency_ms = value.as_f64(),
            LoadReportColumn::Unknown => {}
        }
    }
    Some(report)
}

/// Converts a reported usage to a share of the customer's rate. The protocol encodes it as a percentage plus
/// 1, because 0 means that no usage is reported.
fn usage_share(percent_plus_one: u64) -> f64 {
    (percent_plus_one - 1) as f64 / 100.0
}

/// Returns the 64-bit FNV-1a hash of a text, which is the same on every gateway.
fn fnv1a_hash(text: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}
