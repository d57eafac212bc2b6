//! One gateway under simulation.

use crate::actions;
use crate::names::Names;
use crate::settings::{LaunchSettings, LoadColumn};
use grebehook_core::{Action, AttemptReport, Event, Gateway, Micros, RequestId, SettingsError};
use serde_json::{json, Value};
use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// One gateway.
pub(crate) struct Instance {
    /// The wire's number for it.
    id: u64,
    /// Its decision core.
    gateway: Gateway,
    /// The columns of load reports.
    pub(crate) load_columns: Vec<LoadColumn>,
    /// The wire's names of servers and requests.
    pub(crate) names: Names,
}

impl Instance {
    /// Starts a gateway.
    pub(crate) fn launch(
        id: u64,
        settings: LaunchSettings,
        seed: u64,
        now: Micros,
    ) -> Result<Instance, SettingsError> {
        Ok(Instance {
            id,
            gateway: Gateway::new(settings.core, seed, now)?,
            load_columns: settings.load_columns,
            names: Names::default(),
        })
    }

    /// Hands an event to the decision core and writes the actions that follow. A panic there becomes a reply, too.
    pub(crate) fn play(&mut self, now: Micros, event: Event, replies: &mut Vec<Value>) {
        let end = End::of(&event);
        let mut actions: Vec<Action> = Vec::new();
        let handled = catch_unwind(AssertUnwindSafe(|| self.gateway.handle(now, event, &mut actions)));
        for action in &actions {
            replies.extend(actions::write(&mut self.names, self.id, action));
        }
        if let Some(end) = end {
            self.apply(end);
        }
        if let Err(panic) = handled {
            replies.push(internal_error(self.id, &panic_text(&*panic)));
        }
    }

    /// Notes what an event ended, once its actions are written.
    fn apply(&mut self, end: End) {
        if end.attempt {
            self.names.attempt_ended(end.id);
        }
        if end.request {
            self.names.finish(end.id);
        }
    }
}

/// What an event ends.
struct End {
    /// The request.
    id: RequestId,
    /// An attempt of it ended.
    attempt: bool,
    /// The request itself ended.
    request: bool,
}

impl End {
    /// What an event ends; `None` if nothing.
    fn of(event: &Event) -> Option<End> {
        match event {
            Event::AttemptCompleted(AttemptReport { id, request_finished, .. }) => {
                Some(End { id: *id, attempt: true, request: *request_finished })
            }
            Event::ClientDisconnected { id } => Some(End { id: *id, attempt: false, request: true }),
            _ => None,
        }
    }
}

/// The reply that reports a fault of an instance.
pub(crate) fn internal_error(instance: u64, text: &str) -> Value {
    json!(["internalError", instance, text])
}

/// What a panic said.
fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic").to_owned()
}
