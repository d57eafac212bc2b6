//! One client's connection: whether it may be closed, and when it has had its time. The front keeps one for each.

use crate::clients::stream::ClientStream;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// How long a client may take from its connection, or from its first byte later on, to a whole request.
/// A true one may need 2 s; one that never brings a request is closed within 3 s.
const MAX_REQUEST_TIME: Duration = Duration::from_millis(2_500);
/// How long a connection may stand idle once a request of it was taken up.
const MAX_IDLE: Duration = Duration::from_secs(15);

/// A client's connection and where it stands between requests.
pub struct ClientConnection {
    /// Its socket, under hyper.
    pub stream: Rc<ClientStream>,
    /// A request is in work.
    pub request_in_progress: Cell<bool>,
    /// An answer is passed on to it as it comes.
    pub answer_streaming: Cell<bool>,
    /// A request was taken up at some time.
    pub has_sent_request: Cell<bool>,
    /// Since when no request is in work.
    pub idle_since: Cell<Instant>,
    /// Was told to close.
    pub closing: Cell<bool>,
    /// Part of a request had come by then, and it closes all the same.
    pub closing_mid_request: Cell<bool>,
    /// What it sends is not worth reading, but it should see its answer.
    pub input_unreadable: Cell<bool>,
    /// End with the current request, at once if there is none.
    pub drain: Notify,
    /// End now; only for one without a request in work.
    pub close: Notify,
}

impl ClientConnection {
    /// A connection that was just accepted.
    pub fn new(stream: TcpStream) -> Rc<ClientConnection> {
        Rc::new(ClientConnection {
            stream: ClientStream::new(stream),
            request_in_progress: Cell::new(false),
            answer_streaming: Cell::new(false),
            has_sent_request: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            closing: Cell::new(false),
            closing_mid_request: Cell::new(false),
            input_unreadable: Cell::new(false),
            drain: Notify::new(),
            close: Notify::new(),
        })
    }

    /// Whether nothing of an earlier request is left to do.
    pub fn is_idle(&self) -> bool {
        !self.request_in_progress.get() && !self.answer_streaming.get() && !self.stream.is_answering()
    }

    /// Whether it takes no more of its answer.
    pub fn is_stalled(&self, now: Instant) -> bool {
        !self.request_in_progress.get()
            && self.stream.is_answering()
            && now.duration_since(self.stream.last_written_at()) > MAX_IDLE
    }

    /// Whether it has had its time: one that has not brought a request whole, or one idle for long.
    pub fn is_expired(&self, now: Instant) -> bool {
        let from = match self.stream.request_began_at() {
            Some(began) if self.has_sent_request.get() => began,
            _ => self.idle_since.get(),
        };
        let asked_idle = self.has_sent_request.get() && self.stream.request_began_at().is_none();
        let limit = if asked_idle { MAX_IDLE } else { MAX_REQUEST_TIME };
        self.is_stalled(now) || self.is_idle() && now.duration_since(from) > limit
    }

    /// Until when the request that is being read has to be whole.
    pub fn request_deadline(&self) -> Instant {
        let began = self.stream.request_began_at().filter(|_| self.has_sent_request.get());
        began.unwrap_or(self.idle_since.get()) + MAX_REQUEST_TIME
    }

    /// Asks its task to close it, unless a request comes before that.
    pub fn request_close(&self) {
        self.closing.set(true);
        self.closing_mid_request.set(self.stream.request_began_at().is_some());
        self.close.notify_one();
    }

    /// Whether a request is on its way: some of it was read, or lies there to be read.
    pub fn has_request_coming(&self) -> bool {
        self.stream.request_began_at().is_some() || self.stream.has_unread_input()
    }

    /// Whether to go now. A request that came since this was decided is not cut off.
    pub fn may_close(&self) -> bool {
        self.is_stalled(Instant::now())
            || self.is_idle() && (self.closing_mid_request.get() || !self.has_request_coming())
    }

    /// Whether to end with the current request, at once if there is none. One that asks ends with that answer, and
    /// one that has brought nothing yet is about to.
    pub fn may_drain(&self) -> bool {
        !self.is_idle() || self.has_sent_request.get() && !self.has_request_coming()
    }
}

#[cfg(test)]
mod tests;
