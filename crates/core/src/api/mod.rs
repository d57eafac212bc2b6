//! The interface of the decision core: the types of its settings, of the events that it receives and of the
//! actions that it returns. Contains no decision logic.

mod actions;
mod endpoints;
mod events;
mod ids;
mod settings;

pub use actions::{Action, AnswerReason};
pub use endpoints::{Endpoint, EndpointCounts, EndpointState, WatchEvent};
pub use events::{AttemptReport, AttemptStatus, CounterResult, Event, LoadReport, RequestArrival};
pub use ids::{CounterId, CustomerId, Micros, NonZeroMicros, RequestId, ServerId, TimerId};
pub use settings::{
    Capabilities, Class, DeduplicationScope, Idempotency, LoadReports, Plan, ProtocolRules, Settings,
    SettingsError,
};
