//! Events with defaults; tests change a field with `..arrival(id, customer)`.

use super::{MILLISECOND, SECOND};
use grebehook_core::{
    AttemptReport, AttemptStatus, CounterId, CounterResult, CustomerId, Endpoint, Event, LoadReport, Micros,
    RequestArrival, RequestId, ServerId, TimerId, WatchEvent,
};

/// A request of one unit in class 0 and plan 0, of a customer with two gateways and a timeout of two seconds.
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

/// The end of a first attempt after 30 ms, with nothing reported; success finishes the request.
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

/// The regular tick.
pub fn tick() -> Event {
    Event::Timer { timer: TimerId::TICK }
}

/// The complete endpoint list.
pub fn endpoint_snapshot(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointsChanged { watch_event: WatchEvent::Snapshot, endpoints }
}

/// Changed entries of the endpoint list.
pub fn endpoint_delta(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointsChanged { watch_event: WatchEvent::Delta, endpoints }
}

/// A load report with the requests in flight and nothing else.
pub fn in_flight_report(in_flight: f64) -> LoadReport {
    LoadReport { in_flight: Some(in_flight), ..LoadReport::default() }
}

/// A successful health check that reports so many requests in flight.
pub fn health_check(server: u64, in_flight: f64) -> Event {
    Event::HealthCheckCompleted {
        server: ServerId(server),
        status: AttemptStatus::Ok,
        load_report: Some(in_flight_report(in_flight)),
    }
}

/// The shared counter's reply with a total.
pub fn counter_total(counter: CounterId, total: f64, elapsed: Micros) -> Event {
    Event::CounterReplied { counter, result: CounterResult::Total(total), elapsed }
}
