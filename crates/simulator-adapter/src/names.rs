//! The wire's names for what the decision core numbers.

use grebehook_core::{RequestId, ServerId};
use std::collections::HashMap;

/// A request's name, kept while an attempt is in flight or an answer is due.
struct NamedRequest {
    /// The wire's name.
    name: String,
    /// Attempts that have not ended.
    attempts_in_flight: u32,
    /// Answered, or its client disconnected.
    finished: bool,
}

/// The names of one gateway's servers and requests.
#[derive(Default)]
pub(crate) struct Names {
    /// The wire's names of servers.
    pub(crate) servers: HashMap<ServerId, String>,
    /// The numbers of requests by their names.
    request_ids: HashMap<String, RequestId>,
    /// The requests by their numbers.
    requests: HashMap<RequestId, NamedRequest>,
    /// The highest number given to a request.
    last_request_id: u64,
}

impl Names {
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
    pub(crate) fn attempt_ended(&mut self, id: RequestId) {
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
}
