//! The decision core of grebehook, a gateway that holds customers to their quotas before a shared back end:
//! it decides whether a request is admitted at once, queued or rejected, and which server receives it.
//!
//! The core performs no input or output and reads no clock. The caller passes in [`Event`]s with the time and
//! carries out the returned [`Action`]s:
//!
//! ```
//! use grebehook_core::{
//!     Action, Capabilities, Class, CustomerId, Endpoint, EndpointState, Event, Gateway, Idempotency, Plan,
//!     ProtocolRules, RequestArrival, RequestId, ServerId, Settings, SettingsError, WatchEvent,
//! };
//!
//! let settings = Settings {
//!     gateway_index: 0,
//!     gateway_count: 1,
//!     zone: 0,
//!     batch_interval: 1_000,
//!     classes: vec![Class {
//!         latency_objective: 500_000,
//!         deadline: 2_000_000,
//!         late_priority_weight: 0.0,
//!         priority_weight: 1.0,
//!         idempotency: Idempotency::Idempotent,
//!         streaming: false,
//!     }],
//!     plans: vec![Plan { rate: 2.0, burst: 4.0, weight_multiplier: 1.0, ..Plan::default() }],
//!     capabilities: Capabilities {
//!         cancellation: true,
//!         retry_after: true,
//!         max_retry_after: 1_000_000,
//!         max_attempts: 3,
//!         ..Capabilities::default()
//!     },
//!     rules: ProtocolRules {
//!         response_grace: 5_000,
//!         initial_capacity: 0.2,
//!         warm_up: 10_000_000,
//!         overload_multiple: 3.0,
//!         overload_window: 2_000_000,
//!     },
//! };
//! let mut actions = Vec::new();
//! let mut gateway = Gateway::new(settings, 7, 0)?;
//! let endpoint = Endpoint { server: ServerId(1), state: EndpointState::Ready, ..Endpoint::default() };
//! let list = Event::EndpointsChanged { watch_event: WatchEvent::Snapshot, endpoints: vec![endpoint] };
//! gateway.handle(0, list, &mut actions);
//! let request = RequestArrival {
//!     id: RequestId(1),
//!     class: 0,
//!     plan: 0,
//!     customer: CustomerId(9),
//!     client_timeout: 2_000_000,
//!     age: 0,
//!     units: 1.0,
//!     customer_gateway_count: 1,
//!     first_gateway: 0,
//!     is_retry: false,
//!     body_incomplete: false,
//! };
//! gateway.handle(1_000, Event::RequestArrived(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: ServerId(1), .. })));
//! // The caller returns each `Action::Timer` as an `Event::Timer` when it expires.
//! for action in actions.split_off(0) {
//!     if let Action::Timer { at, timer } = action {
//!         gateway.handle(at, Event::Timer { timer }, &mut actions);
//!     }
//! }
//! # Ok::<(), SettingsError>(())
//! ```

mod admission;
mod api;
mod attempts;
mod balancing;
mod customer;
mod decaying_rate;
mod endpoints;
mod gateway;
mod gossip;
mod handover;
mod health;
mod quota;
mod random_source;
mod requests;
mod running_quantile;
mod settings_check;
mod timer;

#[cfg(test)]
#[path = "../tests/unit/mod.rs"]
mod tests;

pub use api::{
    Action, AnswerReason, AttemptReport, AttemptStatus, Capabilities, Class, CounterId, CounterResult,
    CustomerId, DeduplicationScope, Endpoint, EndpointCounts, EndpointState, Event, Idempotency, LoadReport,
    LoadReports, Micros, NonZeroMicros, Plan, ProtocolRules, RequestArrival, RequestId, ServerId, Settings,
    SettingsError, TimerId, WatchEvent,
};
pub use gateway::Gateway;
pub use handover::HandoverError;
