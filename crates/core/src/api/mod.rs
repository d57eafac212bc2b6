//! The interface of the decision core: settings in, events in, actions out. Types only; nothing is decided
//! here.

mod actions;
mod endpoints;
mod events;
mod ids;
mod settings;

pub use actions::Action;
pub use endpoints::{Endpoint, EndpointCounts, EndpointState, WatchEvent};
pub use events::{AttemptReport, AttemptStatus, CounterResult, Event, LoadReport, RequestArrival};
pub use ids::{CounterId, CustomerId, Micros, NonZeroMicros, RequestId, ServerId, TimerId};
pub use settings::{
    Capabilities, Class, DeduplicationScope, Idempotency, LoadReports, Plan, ProtocolRules, Settings,
    SettingsError,
};
