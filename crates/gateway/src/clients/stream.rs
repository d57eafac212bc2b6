//! A client's TCP connection, below hyper. It tracks what hyper does not report: how much of the current
//! request has been read, whether its response is being written, and whether the client has disconnected.

use crate::clients::head_scanner::{Framing, HeadScanner};
use crate::clients::linger;
use crate::driver::request::ClientInput;
use crate::network::socket::Socket;
use crate::network::tcp_info::{newest_byte_age, unread_bytes, NewestByteAge};
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, Interest, ReadBuf};
use tokio::net::TcpStream;

pub mod transport;

/// Maximum amount of input that is stored while a request is in progress; clients send one request at a time.
const MAX_READ_AHEAD_BYTES: usize = 8 << 10;
/// Number of requests of a connection that are served before other connections get their turn.
const MAX_REQUESTS_PER_TURN: u32 = 4;
/// Number of bytes read per call while a request is in progress.
const READ_AHEAD_CHUNK_BYTES: usize = 1024;

/// The input side of a connection.
struct Input {
    /// The socket; `None` once the connection is closed.
    socket: Option<Socket<TcpStream>>,
    scanner: HeadScanner,
    /// Whether the client has closed its sending side.
    read_closed: bool,
    /// Input read while a request was in progress, which hyper reads next.
    read_ahead: BytesMut,
    /// Whether input was discarded because it exceeded the limit of `read_ahead`.
    read_ahead_overflowed: bool,
}

impl Input {
    /// Stores input that arrived while a request is in progress, up to [`MAX_READ_AHEAD_BYTES`]. None of it is kept
    /// once there is more, since the connection then closes after the response.
    fn extend_read_ahead(&mut self, data: &[u8]) {
        self.read_ahead_overflowed |= self.read_ahead.len() + data.len() > MAX_READ_AHEAD_BYTES;
        if self.read_ahead_overflowed {
            self.read_ahead = BytesMut::new();
        } else {
            self.read_ahead.extend_from_slice(data);
        }
    }
}

/// A client connection, whose holders share one socket.
pub struct ClientStream {
    input: RefCell<Input>,
    /// Time at which the first byte of the request being read arrived.
    request_began_at: Cell<Option<Instant>>,
    is_responding: Cell<bool>,
    /// Whether remaining input is being discarded, or has been.
    is_lingering: Cell<bool>,
    /// Whether [`ClientStream::wait_for_disconnect`] is reading the socket. hyper must not read it meanwhile.
    waiting_for_disconnect: Cell<bool>,
    /// Whether hyper's next read is postponed by one poll. The last read may have completed a request, which
    /// must reach the service first: if hyper read on and found that the client had closed its sending side,
    /// it would drop the request.
    defers_next_read: Cell<bool>,
    /// Number of requests that have been read since the client's input was last waited for.
    requests_since_wait: Cell<u32>,
    /// Woken once all that has been written of a response is flushed.
    flush_waker: Cell<Option<Waker>>,
    /// Time at which part of a response was last written, or a response began.
    last_written_at: Cell<Instant>,
    /// Time at which bytes were last received, or the connection was accepted.
    last_read_at: Cell<Instant>,
}

impl ClientStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Rc<ClientStream> {
        let input = Input {
            socket: Some(Socket::new(stream)),
            scanner: HeadScanner::default(),
            read_closed: false,
            read_ahead: BytesMut::new(),
            read_ahead_overflowed: false,
        };
        Rc::new(ClientStream {
            input: RefCell::new(input),
            request_began_at: Cell::new(None),
            is_responding: Cell::new(false),
            is_lingering: Cell::new(false),
            waiting_for_disconnect: Cell::new(false),
            defers_next_read: Cell::new(false),
            requests_since_wait: Cell::new(0),
            flush_waker: Cell::default(),
            last_written_at: Cell::new(Instant::now()),
            last_read_at: Cell::new(Instant::now()),
        })
    }

    /// Returns the time at which the first byte of the request being read arrived.
    pub fn request_began_at(&self) -> Option<Instant> {
        self.request_began_at.get()
    }

    /// Returns whether a response is being written.
    pub fn is_responding(&self) -> bool {
        self.is_responding.get()
    }

    /// Records that more of the response has been passed to hyper, which writes and flushes it.
    pub fn expect_flush(&self) {
        self.is_responding.set(true);
    }

    /// Polls for the end of writing what has been passed to hyper so far.
    pub fn poll_flushed(&self, cx: &Context<'_>) -> Poll<()> {
        if !self.is_responding.get() {
            return Poll::Ready(());
        }
        self.flush_waker.set(Some(cx.waker().clone()));
        Poll::Pending
    }

    /// Records that hyper has flushed all that was passed to it.
    fn record_flushed(&self) {
        self.is_responding.set(false);
        if let Some(waker) = self.flush_waker.take() {
            waker.wake();
        }
    }

    /// Returns the time at which part of a response was last written, or a response began.
    pub fn last_written_at(&self) -> Instant {
        self.last_written_at.get()
    }

    /// Returns the time at which bytes were last received, or the connection was accepted.
    pub fn last_read_at(&self) -> Instant {
        self.last_read_at.get()
    }

    /// Returns the client's address as text.
    pub fn peer_text(&self) -> String {
        let input = self.input.borrow();
        let address = input.socket.as_ref().and_then(|socket| socket.get_ref().peer_addr().ok());
        address.map_or_else(|| "closed".to_owned(), |address| address.to_string())
    }

    /// Returns the headers that define the length of the current request's body, or `None` if its head was
    /// not found.
    pub fn framing(&self) -> Option<Framing> {
        self.input.borrow().scanner.framing()
    }

    /// Returns the number of bytes that have arrived behind the head of the current request, read or not; `None` if its
    /// head was not found.
    pub fn arrived_body_bytes(&self) -> Option<u64> {
        let read = self.input.borrow().scanner.bytes_past_head()?;
        Some(read as u64 + self.unread_bytes())
    }

    /// Records that the response begins to a request whose body has `body_length` bytes. The input after that
    /// body is the next request.
    pub fn begin_response(&self, body_length: usize) {
        self.is_responding.set(true);
        self.last_written_at.set(Instant::now());
        let is_between_requests = self.input.borrow_mut().scanner.expect_next_request(body_length);
        self.request_began_at.set(if is_between_requests { None } else { Some(Instant::now()) });
    }

    /// Records that a request has been read. Returns whether the connection has had its turn and must let others go on.
    pub fn ends_turn(&self) -> bool {
        let requests = self.requests_since_wait.get() + 1;
        let ends_turn = requests > MAX_REQUESTS_PER_TURN;
        self.requests_since_wait.set(if ends_turn { 0 } else { requests });
        ends_turn
    }

    /// Returns whether bytes have arrived that hyper has not read.
    pub fn has_unread_input(&self) -> bool {
        let input = self.input.borrow();
        let Some(socket) = &input.socket else { return false };
        if !input.read_ahead.is_empty() {
            return true;
        }
        let mut byte = [MaybeUninit::uninit()];
        matches!(socket2::SockRef::from(socket.get_ref()).peek(&mut byte), Ok(read) if read > 0)
    }

    /// Returns whether the client has closed its sending side, or may have done so unseen, or the connection is broken.
    /// This queries the operating system, because the runtime's readiness is only as recent as its last poll for
    /// events. Input that precedes the end is stored. Behind more than [`MAX_READ_AHEAD_BYTES`] the end is not searched
    /// for, since a client that sends at full speed always has more; clients send one request at a time.
    pub fn has_disconnected(&self) -> bool {
        let mut data = [0; READ_AHEAD_CHUNK_BYTES];
        let mut input = self.input.borrow_mut();
        loop {
            if input.read_closed || input.read_ahead_overflowed {
                return true;
            }
            let Some(socket) = &input.socket else { return true };
            match (&*socket2::SockRef::from(socket.get_ref())).read(&mut data) {
                Ok(0) => input.read_closed = true,
                Ok(read) => self.keep_read_ahead(&mut input, &data[..read]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
            }
        }
    }

    /// Returns whether the client has closed its sending side, possibly behind unread input, as of the
    /// runtime's last poll for events. The rest of a streamed body is not read before an attempt takes it, so
    /// reading cannot detect the end.
    pub fn is_read_closed(&self) -> bool {
        let input = self.input.borrow();
        let Some(socket) = &input.socket else { return true };
        let ready = pin!(socket.get_ref().ready(Interest::READABLE));
        let ready = ready.poll(&mut Context::from_waker(Waker::noop()));
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Waits, while a request is in progress, until the client closes its sending side or the connection
    /// breaks. hyper does not detect this behind further input, so that input is read here and stored.
    pub async fn wait_for_disconnect(&self) {
        let _guard = DisconnectWaitGuard::new(&self.waiting_for_disconnect);
        poll_fn(|cx| self.poll_disconnected(cx)).await;
    }

    /// Returns whether another request can be read completely.
    pub fn can_read_next_request(&self) -> bool {
        let input = self.input.borrow();
        !input.read_closed && !input.read_ahead_overflowed
    }

    /// Returns whether the connection has a socket, which it keeps while it discards remaining input.
    pub fn is_open(&self) -> bool {
        self.input.borrow().socket.is_some() || self.is_lingering.get()
    }

    /// Returns whether the connection is over but for input that is being discarded.
    pub fn is_lingering(&self) -> bool {
        self.is_lingering.get()
    }

    /// Closes the connection at once.
    pub fn close(&self) {
        self.input.borrow_mut().socket = None;
    }

    /// Closes the connection after discarding remaining input for a limited time.
    pub async fn lingering_close(&self) {
        let socket = self.input.borrow_mut().socket.take();
        let read_closed = self.input.borrow().read_closed;
        if let Some(socket) = socket.filter(|_| !read_closed) {
            self.is_lingering.set(true);
            linger::lingering_close(socket).await;
        }
    }

    /// Reads and stores input until the client disconnects.
    fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut data = [0; READ_AHEAD_CHUNK_BYTES];
        loop {
            if self.input.borrow().read_closed {
                return Poll::Ready(());
            }
            let mut buf = ReadBuf::new(&mut data);
            if ready!(self.poll_socket(|socket| socket.poll_read(cx, &mut buf))).is_err() {
                return Poll::Ready(());
            }
            let mut input = self.input.borrow_mut();
            if buf.filled().is_empty() {
                input.read_closed = true;
                return Poll::Ready(());
            }
            self.keep_read_ahead(&mut input, buf.filled());
        }
    }

    /// Stores input that arrived while a request is in progress.
    fn keep_read_ahead(&self, input: &mut Input, data: &[u8]) {
        input.extend_read_ahead(data);
        self.last_read_at.set(Instant::now());
    }

    /// Moves stored input to a buffer. Returns false if there was none and the socket must be read.
    fn take_read_ahead(&self, buf: &mut ReadBuf<'_>) -> bool {
        let mut input = self.input.borrow_mut();
        let length = input.read_ahead.len().min(buf.remaining());
        buf.put_slice(&input.read_ahead.split_to(length));
        if input.read_ahead.is_empty() {
            input.read_ahead = BytesMut::new();
        }
        // Some operating systems do not report an end of the stream again that has been read before.
        length > 0 || input.read_closed
    }

    /// Records the input that hyper has read. `is_buffer_full` indicates that more of it may be available.
    fn record_read(&self, data: &[u8], is_buffer_full: bool) {
        let mut input = self.input.borrow_mut();
        input.read_closed |= data.is_empty();
        self.last_read_at.set(Instant::now());
        input.scanner.scan(data);
        let may_end_request = input.scanner.is_past_head() && !data.is_empty() && !is_buffer_full;
        self.defers_next_read.set(may_end_request);
        if self.request_began_at.get().is_none() && input.scanner.is_in_request() {
            self.request_began_at.set(Some(Instant::now()));
        }
    }

    /// Polls the socket. Fails if the connection has been closed.
    fn poll_socket<T>(
        &self,
        poll: impl FnOnce(Pin<&mut Socket<TcpStream>>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.input.borrow_mut().socket.as_mut() {
            Some(socket) => poll(Pin::new(socket)),
            None => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
        }
    }
}

impl ClientInput for ClientStream {
    /// Returns the time since the client's newest byte reached this machine. For a complete request this is
    /// its age, including all queueing. The newest byte may belong to a later, pipelined request; the request
    /// is then older.
    fn newest_byte_age(&self) -> NewestByteAge {
        let input = self.input.borrow();
        let reported = input.socket.as_ref().and_then(|socket| newest_byte_age(socket.get_ref()).ok());
        let since_last_read = self.last_read_at.get().elapsed();
        reported.unwrap_or(NewestByteAge { at_least: Duration::ZERO, estimate: since_last_read })
    }

    fn unread_bytes(&self) -> u64 {
        let input = self.input.borrow();
        let unread = input.socket.as_ref().and_then(|socket| unread_bytes(socket.get_ref()).ok());
        unread.unwrap_or(0)
    }
}

/// Keeps hyper from reading the socket until the guard is dropped.
struct DisconnectWaitGuard<'a> {
    waiting_for_disconnect: &'a Cell<bool>,
}

impl<'a> DisconnectWaitGuard<'a> {
    /// Sets the flag that keeps hyper from reading the socket.
    fn new(waiting_for_disconnect: &'a Cell<bool>) -> DisconnectWaitGuard<'a> {
        waiting_for_disconnect.set(true);
        DisconnectWaitGuard { waiting_for_disconnect }
    }
}

impl Drop for DisconnectWaitGuard<'_> {
    fn drop(&mut self) {
        self.waiting_for_disconnect.set(false);
    }
}

#[cfg(test)]
mod tests;
