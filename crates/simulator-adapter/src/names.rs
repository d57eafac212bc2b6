//! Maps between wire names and the ids by which the decision core refers to servers and requests.

use grebehook_core::{RequestId, ServerId};
use std::collections::HashMap;

/// The wire name of a request, kept until the request is finished and has no attempt in flight.
struct NamedRequest {
    name: String,
    attempts_in_flight: u32,
    /// Whether the request has its final answer or its client disconnected.
    finished: bool,
}

/// The wire names of the servers and requests of one gateway.
#[derive(Default)]
pub(crate) struct WireNames {
    /// Wire names of servers; never removed.
    pub(crate) servers: HashMap<ServerId, String>,
    /// Ids of requests by their wire names.
    request_ids: HashMap<String, RequestId>,
    requests: HashMap<RequestId, NamedRequest>,
    /// The highest id assigned to a request; ids are not reused.
    last_request_id: u64,
}

impl WireNames {
    /// Returns the id of a request, assigning a new one to an unknown name.
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

    /// Returns the id of a request, or `None` if its name is unknown.
    pub(crate) fn known_request_id(&self, name: &str) -> Option<RequestId> {
        self.request_ids.get(name).copied()
    }

    /// Returns the wire name of a request, or `None` if it has been removed.
    pub(crate) fn request_name(&self, id: RequestId) -> Option<&str> {
        Some(&self.requests.get(&id)?.name)
    }

    /// Records that an attempt of a request was sent.
    pub(crate) fn record_attempt_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight += 1;
        }
    }

    /// Records that an attempt of a request completed. Removes the request once no later event refers to it.
    pub(crate) fn record_attempt_completed(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            self.remove_if_unused(id);
        }
    }

    /// Records that a request has its final answer or that its client disconnected. Removes the request once
    /// no later event refers to it.
    pub(crate) fn record_request_finished(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.finished = true;
            self.remove_if_unused(id);
        }
    }

    /// Removes a request if it is finished and has no attempt in flight, so that no later event refers to it.
    fn remove_if_unused(&mut self, id: RequestId) {
        let unused = |request: &NamedRequest| request.finished && request.attempts_in_flight == 0;
        if self.requests.get(&id).is_some_and(unused) {
            let request = self.requests.remove(&id);
            request.and_then(|request| self.request_ids.remove(&request.name));
        }
    }
}
