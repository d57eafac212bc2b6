//! One gateway under simulation, and the wire's names for what the decision core numbers.

use crate::actions;
use crate::settings::{LaunchSettings, LoadColumn};
use grebehook_core::{Action, AttemptReport, Event, Gateway, Micros, RequestId, ServerId, SettingsError};
use serde_json::{json, Value};
use std::any::Any;
use std::collections::HashMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// A request's name, kept while an attempt is in flight or an answer is due.
struct NamedRequest {
    /// The wire's name.
    name: String,
    /// Attempts that have not ended.
    attempts_in_flight: u32,
    /// Answered, or its client disconnected.
    finished: bool,
}

/// One gateway.
pub(crate) struct Instance {
    /// The wire's number for it.
    id: u64,
    /// Its decision core.
    gateway: Gateway,
    /// The columns of load reports.
    pub(crate) load_columns: Vec<LoadColumn>,
    /// The wire's names of servers.
    pub(crate) server_names: HashMap<ServerId, String>,
    /// The numbers of requests by their names.
    request_ids: HashMap<String, RequestId>,
    /// The requests by their numbers.
    requests: HashMap<RequestId, NamedRequest>,
    /// The highest number given to a request.
    last_request_id: u64,
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
            server_names: HashMap::new(),
            request_ids: HashMap::new(),
            requests: HashMap::new(),
            last_request_id: 0,
        })
    }

    /// The number of a request's name; a name not yet known gets a new one.
    pub(crate) fn request_id(&mut self, name: &str) -> RequestId {
        if let Some(id) = self.known_request_id(name) {
            return id;
        }
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let request = NamedRequest { name: name.to_owned(), attempts_in_flight: 0, finished: false };
        self.request_ids.insert(name.to_owned(), id);
        self.requests.insert(id, request);
        id
    }

    /// The number of a request's name; `None` if the name is not known.
    pub(crate) fn known_request_id(&self, name: &str) -> Option<RequestId> {
        self.request_ids.get(name).copied()
    }

    /// The name of a request; `None` once it is forgotten.
    pub(crate) fn request_name(&self, id: RequestId) -> Option<&str> {
        Some(&self.requests.get(&id)?.name)
    }

    /// An attempt was sent.
    pub(crate) fn attempt_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight += 1;
        }
    }

    /// An attempt ended.
    fn attempt_ended(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            self.forget_if_unused(id);
        }
    }

    /// The request has its answer, or its client disconnected.
    pub(crate) fn finish(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.finished = true;
            self.forget_if_unused(id);
        }
    }

    /// Forgets the name of a request that no event will name again.
    fn forget_if_unused(&mut self, id: RequestId) {
        let unused = |request: &NamedRequest| request.finished && request.attempts_in_flight == 0;
        if self.requests.get(&id).is_some_and(unused) {
            let request = self.requests.remove(&id);
            request.and_then(|request| self.request_ids.remove(&request.name));
        }
    }

    /// Hands an event to the decision core and writes the actions that follow. A panic there becomes a reply, too.
    pub(crate) fn play(&mut self, now: Micros, event: Event, replies: &mut Vec<Value>) {
        let end = End::of(&event);
        let mut actions: Vec<Action> = Vec::new();
        let handled = catch_unwind(AssertUnwindSafe(|| self.gateway.handle(now, event, &mut actions)));
        for action in &actions {
            replies.extend(actions::write(self, self.id, action));
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
            self.attempt_ended(end.id);
        }
        if end.request {
            self.finish(end.id);
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
