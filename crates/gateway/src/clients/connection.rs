//! One client's connection: its state between requests, and when it may be closed.

use crate::clients::eviction::Candidate;
use crate::clients::stream::ClientStream;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// Longest time from the accepting of a connection, or from a later request's first byte, to a complete request.
/// A client may need 2 s; a connection that never brings a request must be closed within 3 s.
const MAX_REQUEST_TIME: Duration = Duration::from_millis(2_500);
/// Longest idle time of a connection that has brought a request.
const MAX_IDLE: Duration = Duration::from_secs(15);

/// A client's connection and its state between requests.
pub struct ClientConnection {
    /// Identifies the connection among those that are open.
    pub key: u64,
    /// Its socket, under hyper.
    pub stream: Rc<ClientStream>,
    /// Whether the decision core has a request of it.
    request_in_progress: Cell<bool>,
    /// Whether a response is being forwarded to it as it arrives.
    response_streaming: Cell<bool>,
    /// Whether any request of it was accepted.
    has_sent_request: Cell<bool>,
    /// Since when no request has been in progress.
    idle_since: Cell<Instant>,
    /// Whether it was asked to close.
    closing: Cell<bool>,
    /// Whether it is to close though part of a request had arrived.
    closing_mid_request: Cell<bool>,
    /// Whether what it still sends cannot be read as a request. It is to receive its response before it closes.
    input_unreadable: Cell<bool>,
    /// Asks its task to end it with the current request.
    drain: Notify,
    /// Asks its task to end it now, if it is idle.
    close: Notify,
}

impl ClientConnection {
    /// A connection that was just accepted.
    pub fn new(key: u64, stream: TcpStream) -> Rc<ClientConnection> {
        Rc::new(ClientConnection {
            key,
            stream: ClientStream::new(stream),
            request_in_progress: Cell::new(false),
            response_streaming: Cell::new(false),
            has_sent_request: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            closing: Cell::new(false),
            closing_mid_request: Cell::new(false),
            input_unreadable: Cell::new(false),
            drain: Notify::new(),
            close: Notify::new(),
        })
    }

    /// Records that it has sent a request.
    pub fn record_request(&self) {
        self.has_sent_request.set(true);
    }

    /// Records that the decision core has a request of it.
    pub fn begin_request(&self) {
        self.request_in_progress.set(true);
        self.record_request();
    }

    /// Records that its request, with a body of this length, gets its response now.
    pub fn end_request(&self, body_length: usize) {
        self.request_in_progress.set(false);
        self.idle_since.set(Instant::now());
        self.stream.response_begins(body_length);
    }

    /// Records that a response is forwarded to it as it arrives.
    pub fn begin_streaming(&self) {
        self.response_streaming.set(true);
    }

    /// Records that the response that was forwarded has ended.
    pub fn end_streaming(&self) {
        self.response_streaming.set(false);
        self.idle_since.set(Instant::now());
    }

    /// Records whether what it still sends cannot be read as a request.
    pub fn set_input_unreadable(&self, input_unreadable: bool) {
        self.input_unreadable.set(input_unreadable);
    }

    /// Whether what it still sends cannot be read as a request.
    pub fn is_input_unreadable(&self) -> bool {
        self.input_unreadable.get()
    }

    /// Whether no request is in progress and no response being written.
    pub fn is_idle(&self) -> bool {
        !self.request_in_progress.get() && !self.response_streaming.get() && !self.stream.is_responding()
    }

    /// Whether the client has stopped reading its response.
    fn is_stalled(&self, now: Instant) -> bool {
        !self.request_in_progress.get()
            && self.stream.is_responding()
            && now.duration_since(self.stream.last_written_at()) > MAX_IDLE
    }

    /// Whether it has been idle, or its request incomplete, for too long.
    pub fn is_expired(&self, now: Instant) -> bool {
        let is_idle_client = self.has_sent_request.get() && self.stream.request_began_at().is_none();
        let limit = if is_idle_client { MAX_IDLE } else { MAX_REQUEST_TIME };
        self.is_stalled(now) || self.is_idle() && now.duration_since(self.waiting_since()) > limit
    }

    /// By when the request that is being read has to be complete.
    pub fn request_deadline(&self) -> Instant {
        self.waiting_since() + MAX_REQUEST_TIME
    }

    /// Since when the next request has been awaited: since its first byte, but the first request of a connection
    /// since that was accepted.
    fn waiting_since(&self) -> Instant {
        let began_at = self.stream.request_began_at().filter(|_| self.has_sent_request.get());
        began_at.unwrap_or(self.idle_since.get())
    }

    /// Whether it was asked to close.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Asks its task to close it, unless a request arrives before that.
    pub fn request_close(&self) {
        self.closing.set(true);
        self.closing_mid_request.set(self.stream.request_began_at().is_some());
        self.close.notify_one();
    }

    /// Records that it stays open though it was asked to close.
    pub fn stay_open(&self) {
        self.closing.set(false);
    }

    /// Waits until it is asked to close.
    pub fn close_requested(&self) -> Notified<'_> {
        self.close.notified()
    }

    /// Asks its task to end it with the current request, at once if there is none.
    pub fn request_drain(&self) {
        self.drain.notify_one();
    }

    /// Waits until it is asked to end with the current request.
    pub fn drain_requested(&self) -> Notified<'_> {
        self.drain.notified()
    }

    /// Whether a request is arriving: part of it was read, or waits to be read.
    pub fn has_incoming_request(&self) -> bool {
        self.stream.request_began_at().is_some() || self.stream.has_unread_input()
    }

    /// Whether to close it now that it was asked to. A request that has arrived since is not interrupted.
    pub fn may_close(&self) -> bool {
        self.is_stalled(Instant::now())
            || self.is_idle() && (self.closing_mid_request.get() || !self.has_incoming_request())
    }

    /// Whether hyper is to end it with the current request. A client that has sent nothing yet may still send its
    /// request, and its connection ends with the response to that.
    pub fn may_drain(&self) -> bool {
        !self.is_idle() || self.has_sent_request.get() && !self.has_incoming_request()
    }

    /// What eviction considers of it.
    pub fn eviction_candidate(&self) -> Candidate {
        Candidate {
            key: self.key,
            has_sent_request: self.has_sent_request.get(),
            has_begun: self.stream.request_began_at().is_some(),
            last_read_at: self.stream.last_read_at(),
            idle_since: self.idle_since.get(),
        }
    }
}

#[cfg(test)]
mod tests;
