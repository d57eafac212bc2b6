//! Events, read off the wire: a function for each message, beside the names of its columns. `-` stands for a
//! column that is not read.

use crate::instance::Instance;
use crate::row::{ColumnError, Row};
use crate::settings::LoadColumn;
use base64::{prelude::BASE64_STANDARD, Engine};
use fnv::FnvHasher;
use grebehook_core::{
    AttemptReport, AttemptStatus, CounterId, CounterResult, CustomerId, Endpoint, EndpointState, Event,
    LoadReport, NonZeroMicros, RequestArrival, ServerId, TimerId, WatchEvent,
};
use serde_json::Value;
use std::hash::Hasher;
use std::net::SocketAddrV4;

/// The columns of `targets`.
const ENDPOINTS_CHANGED: &[&str] = &["mode", "-", "records"];
/// The columns of one of its records.
const ENDPOINT: &[&str] = &["pod", "readiness", "readyAtUs", "size", "-", "locality", "server"];
/// The columns of `demand`.
const REQUEST_ARRIVED: &[&str] =
    &["call", "tierClass", "tier", "apiKey", "graceUs", "units", "setSize", "firstDoor", "flags"];
/// The columns of `finished`.
const ATTEMPT_COMPLETED: &[&str] =
    &["call", "hop", "server", "verdict", "costTimeUs", "closed", "usage", "settled", "stats"];
/// The column that `established` and `gone` are read for.
const REQUEST: &[&str] = &["call"];
/// The columns of `due`.
const TIMER: &[&str] = &["name"];
/// The columns of `checkResult`.
const HEALTH_CHECK_COMPLETED: &[&str] = &["-", "server", "verdict", "stats"];
/// The columns of `peerData`.
const GOSSIP_RECEIVED: &[&str] = &["who", "body"];
/// The columns of `counterReply`.
const COUNTER_REPLIED: &[&str] = &["entryName", "verdict", "total", "costTimeUs"];

/// The bit of `flags` that marks a retry.
const RETRY_FLAG: u64 = 2;
/// The bit that keeps servers named by a text apart from those named by an address.
const HASHED_SERVER: u64 = 1 << 63;

/// A message's event, or the column at fault.
type Read<T> = Result<T, ColumnError>;

/// The event of an item; `None` if its name is not known.
pub(crate) fn read(instance: &mut Instance, name: &str, fields: &[Value]) -> Read<Option<Event>> {
    let row = |columns| Row::new(columns, fields);
    Ok(Some(match name {
        "targets" => endpoints_changed(instance, row(ENDPOINTS_CHANGED))?,
        "demand" => request_arrived(instance, row(REQUEST_ARRIVED))?,
        "established" => response_started(instance, row(REQUEST))?,
        "finished" => attempt_completed(instance, row(ATTEMPT_COMPLETED))?,
        "gone" => Event::ClientDisconnected { id: instance.names.request_id(row(REQUEST).text("call")?) },
        "due" => timer(row(TIMER))?,
        "checkResult" => health_check_completed(instance, row(HEALTH_CHECK_COMPLETED))?,
        "peerData" => gossip_received(row(GOSSIP_RECEIVED))?,
        "counterReply" => counter_replied(row(COUNTER_REPLIED))?,
        _ => return Ok(None),
    }))
}

/// The endpoint list changed, or a watch of it failed.
fn endpoints_changed(instance: &mut Instance, row: Row) -> Read<Event> {
    let watch_event = match row.unsigned_or_zero("mode")? {
        0 => WatchEvent::Snapshot,
        2 => WatchEvent::Failed,
        3 => WatchEvent::Delta,
        4 => WatchEvent::CachedSnapshot,
        _ => return Err(ColumnError { column: "mode" }),
    };
    let records = row.list("records")?;
    let endpoints = records.iter().map(|record| endpoint(instance, record)).collect::<Read<_>>()?;
    Ok(Event::EndpointsChanged { watch_event, endpoints })
}

/// One entry of the endpoint list.
fn endpoint(instance: &mut Instance, record: &Value) -> Read<Endpoint> {
    let record = record.as_array().ok_or(ColumnError { column: "records" })?;
    let row = Row::new(ENDPOINT, record);
    Ok(Endpoint {
        cell: row.unsigned_or_zero("pod")? as u32,
        state: match row.unsigned_or_zero("readiness")? {
            0 => EndpointState::Removed,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            _ => return Err(ColumnError { column: "readiness" }),
        },
        started_at: row.positive("readyAtUs")?.and_then(NonZeroMicros::new),
        relative_size: row.optional_number("size").unwrap_or(1.0),
        zone: row.unsigned_or_zero("locality")? as u32,
        server: server(instance, row)?,
    })
}

/// A client's request.
fn request_arrived(instance: &mut Instance, row: Row) -> Read<Event> {
    let id = instance.names.request_id(row.text("call")?);
    let customer = row.text("apiKey")?;
    Ok(Event::RequestArrived(RequestArrival {
        id,
        class: row.unsigned_or_zero("tierClass")? as usize,
        plan: row.unsigned_or_zero("tier")? as usize,
        customer: CustomerId(u64::from_str_radix(customer, 16).unwrap_or_else(|_| hash(customer))),
        client_timeout: row.unsigned_or_zero("graceUs")?,
        age: 0,
        units: row.number("units")?,
        customer_gateway_count: row.unsigned_or_zero("setSize")? as usize,
        first_gateway: row.unsigned_or_zero("firstDoor")? as usize,
        is_retry: row.unsigned_or_zero("flags")? & RETRY_FLAG != 0,
        body_incomplete: false,
    }))
}

/// A streamed response has begun.
fn response_started(instance: &Instance, row: Row) -> Read<Event> {
    let id = instance.names.known_request_id(row.text("call")?);
    Ok(Event::ResponseStarted { id: id.ok_or(ColumnError { column: "call" })? })
}

/// An attempt ended.
fn attempt_completed(instance: &mut Instance, row: Row) -> Read<Event> {
    Ok(Event::AttemptCompleted(AttemptReport {
        id: instance.names.request_id(row.text("call")?),
        attempt: row.unsigned_or_zero("hop")? as u32,
        server: server(instance, row)?,
        status: status(row)?,
        elapsed: row.unsigned_or_zero("costTimeUs")?,
        request_finished: row.flag("closed"),
        reported_usage: row.positive("usage")?.map(usage_share),
        settled_units: row.optional_number("settled").filter(|units| *units > 0.0),
        load_report: load_report(instance, row),
    }))
}

/// A timer fell due.
fn timer(row: Row) -> Read<Event> {
    let timer = row.text("name")?.parse().map_err(|_| ColumnError { column: "name" })?;
    Ok(Event::Timer { timer: TimerId(timer) })
}

/// A health check ended.
fn health_check_completed(instance: &mut Instance, row: Row) -> Read<Event> {
    Ok(Event::HealthCheckCompleted {
        server: server(instance, row)?,
        status: status(row)?,
        load_report: load_report(instance, row),
    })
}

/// A gossip message of another gateway.
fn gossip_received(row: Row) -> Read<Event> {
    let from = row.unsigned_or_zero("who")? as usize;
    let message = BASE64_STANDARD.decode(row.text("body")?);
    Ok(Event::GossipReceived { from, message: message.map_err(|_| ColumnError { column: "body" })? })
}

/// A call of the shared counter ended.
fn counter_replied(row: Row) -> Read<Event> {
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

/// The server that a message names; its name is kept for actions that name it.
fn server(instance: &mut Instance, row: Row) -> Read<ServerId> {
    let name = row.text("server")?;
    let id = ServerId(match name.parse::<SocketAddrV4>() {
        Ok(address) => u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port()),
        Err(_) => hash(name) | HASHED_SERVER,
    });
    instance.names.servers.entry(id).or_insert_with(|| name.to_owned());
    Ok(id)
}

/// How an attempt or a health check ended.
fn status(row: Row) -> Read<AttemptStatus> {
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

/// The load report that came along; `None` if there is none.
fn load_report(instance: &Instance, row: Row) -> Option<LoadReport> {
    let values = row.value("stats")?.as_array()?;
    let mut report = LoadReport::default();
    for (column, value) in instance.load_columns.iter().zip(values) {
        match column {
            LoadColumn::InFlight => report.in_flight = value.as_f64(),
            LoadColumn::Queued => report.queued = value.as_f64(),
            LoadColumn::Utilization => report.utilization = value.as_f64(),
            LoadColumn::LatencyMs => report.latency_ms = value.as_f64(),
            LoadColumn::Unknown => {}
        }
    }
    Some(report)
}

/// Use of a customer's rate as a share; the wire gives it in percent and adds 1, since 0 stands for none.
fn usage_share(reported: u64) -> f64 {
    (reported - 1) as f64 / 100.0
}

/// A number for a text that is the same at every gateway (64-bit FNV-1a).
fn hash(text: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}
