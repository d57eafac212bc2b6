//! One simulated gateway: a decision core with the wire names of its servers and requests.

use crate::actions;
use crate::names::WireNames;
use crate::settings::{InstanceSettings, LoadReportColumn};
use grebehook_core::{Action, AttemptReport, Event, Gateway, Micros, RequestId, SettingsError};
use serde_json::{json, Value};
use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// One simulated gateway.
pub(crate) struct Instance {
    /// Number of the instance in the simulator's protocol.
    id: u64,
    /// Decision core of the simulated gateway.
    gateway: Gateway,
    /// Columns of load reports, in order.
    pub(crate) load_report_columns: Vec<LoadReportColumn>,
    /// Wire names of servers and requests.
    pub(crate) names: WireNames,
}

impl Instance {
    /// Starts a gateway, unless the decision core rejects the settings.
    pub(crate) fn start(
        id: u64,
        settings: InstanceSettings,
        seed: u64,
        now: Micros,
    ) -> Result<Instance, SettingsError> {
        Ok(Instance {
            id,
            gateway: Gateway::new(settings.core, seed, now)?,
            load_report_columns: settings.load_report_columns,
            names: WireNames::default(),
        })
    }

    /// Passes an event to the decision core and appends the resulting actions to `replies`. If the core
    /// panics, appends the actions it produced before the panic and an `internalError` message.
    pub(crate) fn handle_event(&mut self, now: Micros, event: Event, replies: &mut Vec<Value>) {
        let completion = Completion::of(&event);
        let mut actions: Vec<Action> = Vec::new();
        let handled = catch_unwind(AssertUnwindSafe(|| self.gateway.handle(now, event, &mut actions)));
        for action in &actions {
            replies.extend(actions::encode(&mut self.names, self.id, action));
        }
        if let Some(completion) = completion {
            self.record_completion(completion);
        }
        if let Err(panic) = handled {
            replies.push(internal_error(self.id, &panic_message(&*panic)));
        }
    }

    /// Records what an event completed. Called after the event's actions are encoded, since recording can
    /// remove the name of the request that they refer to.
    fn record_completion(&mut self, completion: Completion) {
        if completion.attempt_completed {
            self.names.record_attempt_completed(completion.request_id);
        }
        if completion.request_finished {
            self.names.record_request_finished(completion.request_id);
        }
    }
}

/// The attempt, the request, or both, that one event completes.
struct Completion {
    request_id: RequestId,
    attempt_completed: bool,
    request_finished: bool,
}

impl Completion {
    /// Returns what an event completes, or `None` if it completes nothing.
    fn of(event: &Event) -> Option<Completion> {
        match event {
            Event::AttemptCompleted(AttemptReport { id, request_finished, .. }) => Some(Completion {
                request_id: *id,
                attempt_completed: true,
                request_finished: *request_finished,
            }),
            Event::ClientDisconnected { id } => {
                Some(Completion { request_id: *id, attempt_completed: false, request_finished: true })
            }
            _ => None,
        }
    }
}

/// Returns the message that reports an internal error of an instance.
pub(crate) fn internal_error(instance_id: u64, text: &str) -> Value {
    json!(["internalError", instance_id, text])
}

/// Returns the message of a panic, or `panic` if its payload is not text.
fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic").to_owned()
}
