//! State of one client connection between requests, and the conditions under which it may be closed.

use crate::clients::eviction::Candidate;
use crate::clients::stream::ClientStream;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// Timeout for receiving a complete request, from the acceptance of the connection or, for later requests,
/// from the first byte of the request. A client may need 2 s; a connection on which no request arrives must
/// be closed within 3 s.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum idle time of a connection on which a request has arrived, and maximum time without progress in
/// writing a response.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A client connection and its state between requests.
pub struct ClientConnection {
    /// Identifies the connection among the open ones.
    pub key: u64,
    /// Byte stream that hyper reads and writes.
    pub stream: Rc<ClientStream>,
    /// Whether the decision core is handling a request of this connection.
    request_in_progress: Cell<bool>,
    /// Whether a response is being streamed: forwarded as it arrives from the server.
    response_streaming: Cell<bool>,
    /// Whether the last response was streamed.
    response_streamed: Cell<bool>,
    /// Whether any request of this connection has been accepted.
    has_sent_request: Cell<bool>,
    /// Time at which the last request ended, or the connection was accepted.
    idle_since: Cell<Instant>,
    /// Whether the connection's task has been signalled to close it.
    closing: Cell<bool>,
    /// Whether part of a request had been read when the close was signalled.
    closing_mid_request: Cell<bool>,
    /// Whether the signalled close does not wait for a request.
    aborting: Cell<bool>,
    /// Whether the remaining input cannot be parsed as a request. It is then discarded, so that the client
    /// receives its response before the connection closes.
    must_discard_input: Cell<bool>,
    /// Signals the connection's task to close it after the current request.
    drain: Notify,
    /// Signals the connection's task to close it at once if it is idle.
    close: Notify,
}

impl ClientConnection {
    /// Creates the state of a newly accepted connection.
    pub fn new(key: u64, stream: TcpStream) -> Rc<ClientConnection> {
        Rc::new(ClientConnection {
            key,
            stream: ClientStream::new(stream),
            request_in_progress: Cell::new(false),
            response_streaming: Cell::new(false),
            response_streamed: Cell::new(false),
            has_sent_request: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            closing: Cell::new(false),
            closing_mid_request: Cell::new(false),
            aborting: Cell::new(false),
            must_discard_input: Cell::new(false),
            drain: Notify::new(),
            close: Notify::new(),
        })
    }

    /// Records that the client has sent a request.
    pub fn record_request(&self) {
        self.has_sent_request.set(true);
    }

    /// Records that the decision core is handling a request of this connection.
    pub fn begin_request(&self) {
        self.request_in_progress.set(true);
        self.response_streamed.set(false);
        self.record_request();
    }

    /// Records that the response begins to a request whose body has `body_length` bytes.
    pub fn end_request(&self, body_length: usize) {
        self.request_in_progress.set(false);
        self.idle_since.set(Instant::now());
        self.stream.begin_response(body_length);
    }

    /// Records that streaming of a response begins.
    pub fn begin_streaming(&self) {
        self.response_streaming.set(true);
        self.response_streamed.set(true);
    }

    /// Records that streaming of a response has ended.
    pub fn end_streaming(&self) {
        self.response_streaming.set(false);
        self.idle_since.set(Instant::now());
    }

    /// Sets whether the remaining input must be discarded, because it cannot be parsed as a request.
    pub fn set_must_discard_input(&self, must_discard_input: bool) {
        self.must_discard_input.set(must_discard_input);
    }

    /// Returns whether the remaining input must be discarded, because it cannot be parsed as a request.
    pub fn must_discard_input(&self) -> bool {
        self.must_discard_input.get()
    }

    /// Returns whether no request is in progress and no response is being written.
    pub fn is_idle(&self) -> bool {
        !self.request_in_progress.get() && !self.response_streaming.get() && !self.stream.is_responding()
    }

    /// Returns whether a request of the connection has no answer yet.
    pub fn awaits_answer(&self) -> bool {
        self.request_in_progress.get()
    }

    /// Returns whether a response is being delivered: part of it is still expected from its server or has not been
    /// written, or the end of a long one may not have reached the client's system, and a close over unread input would
    /// drop it.
    pub fn is_delivering(&self) -> bool {
        let may_be_undelivered = self.stream.is_lingering() && self.response_streamed.get();
        self.response_streaming.get() || self.stream.is_responding() || may_be_undelivered
    }

    /// Returns whether the client has stopped reading its response.
    fn is_stalled(&self, now: Instant) -> bool {
        !self.request_in_progress.get()
            && self.stream.is_responding()
            && now.duration_since(self.stream.last_written_at()) > IDLE_TIMEOUT
    }

    /// Returns whether the connection has exceeded its idle timeout or the timeout of an incomplete request,
    /// or its client has stopped reading the response.
    pub fn is_expired(&self, now: Instant) -> bool {
        let is_idle_client = self.has_sent_request.get() && self.stream.request_began_at().is_none();
        let limit = if is_idle_client { IDLE_TIMEOUT } else { REQUEST_READ_TIMEOUT };
        self.is_stalled(now) || self.is_idle() && now.duration_since(self.waiting_since()) > limit
    }

    /// Returns the time by which the request being read has to be complete.
    pub fn request_deadline(&self) -> Instant {
        self.waiting_since() + REQUEST_READ_TIMEOUT
    }

    /// Returns the start of the timeout for the next request: the arrival of its first byte, or the time at
    /// which the connection became idle if no byte has arrived. For the first request, it is the time at
    /// which the connection was accepted.
    fn waiting_since(&self) -> Instant {
        let began_at = self.stream.request_began_at().filter(|_| self.has_sent_request.get());
        began_at.unwrap_or(self.idle_since.get())
    }

    /// Returns whether a close of the connection has been signalled.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Signals the connection's task to close it unless a request arrives first.
    pub fn signal_close(&self) {
        self.closing.set(true);
        self.closing_mid_request.set(self.stream.request_began_at().is_some());
        self.close.notify_one();
    }

    /// Signals the connection's task to close it at once, even in the middle of a request.
    pub fn signal_abort(&self) {
        self.closing.set(true);
        self.aborting.set(true);
        self.close.notify_one();
    }

    /// Withdraws the signal to close the connection.
    pub fn cancel_close(&self) {
        self.closing.set(false);
    }

    /// Waits for the signal to close the connection.
    pub fn close_signalled(&self) -> Notified<'_> {
        self.close.notified()
    }

    /// Signals the connection's task to close it after the current request, or at once if there is none.
    pub fn signal_drain(&self) {
        self.drain.notify_one();
    }

    /// Waits for the signal to close the connection after the current request.
    pub fn drain_signalled(&self) -> Notified<'_> {
        self.drain.notified()
    }

    /// Returns whether a request is arriving: part of it has been read or is waiting in the socket.
    pub fn has_incoming_request(&self) -> bool {
        self.stream.request_began_at().is_some() || self.stream.has_unread_input()
    }

    /// Returns whether the connection may be closed as signalled. A request that has begun to arrive since
    /// the signal is not interrupted.
    pub fn may_close(&self) -> bool {
        self.aborting.get()
            || self.is_stalled(Instant::now())
            || self.is_idle() && (self.closing_mid_request.get() || !self.has_incoming_request())
    }

    /// Returns whether hyper may shut the connection down after the current request. A client that has not
    /// sent a request yet may still send one; the connection then closes after the response to that request.
    pub fn may_drain(&self) -> bool {
        !self.is_idle() || self.has_sent_request.get() && !self.has_incoming_request()
    }

    /// Returns the attributes by which [`eviction`](crate::clients::eviction) selects a connection.
    pub fn eviction_candidate(&self) -> Candidate {
        Candidate {
            key: self.key,
            has_sent_request: self.has_sent_request.get(),
            has_partial_request: self.stream.request_began_at().is_some(),
            last_read_at: self.stream.last_read_at(),
            idle_since: self.idle_since.get(),
        }
    }
}

#[cfg(test)]
mod tests;
