//! Events and reports with default values, of which tests override single fields by struct update, as in
//! `..arrival(id, customer)`.

use super::{MILLISECOND, SECOND};
use grebehook_core::{
    AttemptReport, AttemptStatus, CounterId, CounterResult, CustomerId, Endpoint, Event, LoadReport, Micros,
    RequestArrival, RequestId, ServerId, TimerId, WatchEvent,
};

/// Returns a request of one unit in class 0 and plan 0, with a client timeout of two seconds, from a customer
/// that two gateways serve.
pub fn arrival(id: u64, customer: u64) -> RequestArrival {
    RequestArrival {
        id: RequestId(id),
        class: 0,
        plan: 0,
        customer: CustomerId(customer),
        client_timeout: 2 * SECOND,
        age: 0,
        units: 1.0,
        customer_gateway_count: 2,
        first_gateway: 0,
        is_retry: false,
        body_incomplete: false,
    }
}

/// Returns the report of a first attempt that ended after 30 ms, with neither usage nor load reported.
/// Success finishes the request.
pub fn attempt_report(id: RequestId, server: ServerId, status: AttemptStatus) -> AttemptReport {
    AttemptReport {
        id,
        attempt: 0,
        server,
        status,
        elapsed: 30 * MILLISECOND,
        request_finished: status == AttemptStatus::Ok,
        reported_usage: None,
        settled_units: None,
        load_report: None,
    }
}

/// Returns the event of the gateway's periodic tick.
pub fn tick() -> Event {
    Event::Timer { timer: TimerId::TICK }
}

/// Returns the event that delivers the complete endpoint list.
pub fn endpoint_snapshot(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointsChanged { watch_event: WatchEvent::Snapshot, endpoints }
}

/// Returns the event that delivers changed entries of the endpoint list.
pub fn endpoint_delta(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointsChanged { watch_event: WatchEvent::Delta, endpoints }
}

/// Returns a load report that contains only the number of requests in flight.
pub fn in_flight_report(in_flight: f64) -> LoadReport {
    LoadReport { in_flight: Some(in_flight), ..LoadReport::default() }
}

/// Returns the event of a successful health check whose load report contains only `in_flight`.
pub fn health_check(server: u64, in_flight: f64) -> Event {
    Event::HealthCheckCompleted {
        server: ServerId(server),
        status: AttemptStatus::Ok,
        load_report: Some(in_flight_report(in_flight)),
    }
}

/// Returns the event of a shared counter's reply with the total of a key.
pub fn counter_total(counter: CounterId, total: f64, elapsed: Micros) -> Event {
    Event::CounterReplied { counter, result: CounterResult::Total(total), elapsed }
}
