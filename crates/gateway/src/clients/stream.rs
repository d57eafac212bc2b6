//! One client's TCP connection, under hyper. It knows what hyper does not report: how far the current request has
//! been read, how far its response has been written, and whether the client has disconnected.

use crate::clients::head_scanner::{Framing, HeadScanner};
use crate::clients::linger;
use crate::network::socket::Socket;
use crate::network::tcp_info::time_since_last_data;
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

/// Most that is kept of what a client sends while its request is in progress; clients send one request at a time.
const MAX_READ_AHEAD_BYTES: usize = 16 << 10;
/// Bytes read at a time while a request is in progress.
const READ_AHEAD_CHUNK_BYTES: usize = 1024;

/// What is read from a connection.
struct Input {
    /// The socket, until the connection is closed.
    socket: Option<Socket<TcpStream>>,
    /// Finds the heads of requests.
    scanner: HeadScanner,
    /// Whether the client has ended its sending side.
    ended: bool,
    /// What was read while a request was in progress, for hyper to read next.
    read_ahead: BytesMut,
    /// Whether some of what was read is missing there, as it was too much.
    read_ahead_overflowed: bool,
}

impl Input {
    /// Keeps bytes that arrived while a request is in progress, up to a limit.
    fn extend_read_ahead(&mut self, data: &[u8]) {
        self.read_ahead_overflowed |= self.read_ahead.len() + data.len() > MAX_READ_AHEAD_BYTES;
        if !self.read_ahead_overflowed {
            self.read_ahead.extend_from_slice(data);
        }
    }
}

/// A client's connection; its holders share the one socket.
pub struct ClientStream {
    /// The socket and what is read from it.
    input: RefCell<Input>,
    /// When the first byte of the request that is being read arrived.
    request_began_at: Cell<Option<Instant>>,
    /// Whether a response is being written.
    is_responding: Cell<bool>,
    /// Whether a request is in progress. Meanwhile only [`ClientStream::disconnected`] reads.
    request_in_progress: Cell<bool>,
    /// Whether the next read of hyper waits for one poll. What was read last may end a request, and its service is
    /// to see it before hyper reads on, finds the client's end, and drops the request for that.
    defers_next_read: Cell<bool>,
    /// When the client last accepted part of a response, or a response began.
    last_written_at: Cell<Instant>,
    /// When bytes last arrived, or the connection was accepted.
    last_read_at: Cell<Instant>,
}

impl ClientStream {
    /// An accepted connection.
    pub fn new(stream: TcpStream) -> Rc<ClientStream> {
        let input = Input {
            socket: Some(Socket::new(stream)),
            scanner: HeadScanner::default(),
            ended: false,
            read_ahead: BytesMut::new(),
            read_ahead_overflowed: false,
        };
        Rc::new(ClientStream {
            input: RefCell::new(input),
            request_began_at: Cell::new(None),
            is_responding: Cell::new(false),
            request_in_progress: Cell::new(false),
            defers_next_read: Cell::new(false),
            last_written_at: Cell::new(Instant::now()),
            last_read_at: Cell::new(Instant::now()),
        })
    }

    /// When the request that is being read began to arrive.
    pub fn request_began_at(&self) -> Option<Instant> {
        self.request_began_at.get()
    }

    /// Whether a response is being written.
    pub fn is_responding(&self) -> bool {
        self.is_responding.get()
    }

    /// When the client last accepted part of a response, or a response began.
    pub fn last_written_at(&self) -> Instant {
        self.last_written_at.get()
    }

    /// When bytes last arrived, or the connection was accepted.
    pub fn last_read_at(&self) -> Instant {
        self.last_read_at.get()
    }

    /// The headers that define the length of the current request's body; `None` if its head was not found.
    pub fn framing(&self) -> Option<Framing> {
        self.input.borrow().scanner.framing()
    }

    /// Announces the response to a request with a body of this length: what follows it is the next request.
    pub fn response_begins(&self, body_length: usize) {
        self.is_responding.set(true);
        self.last_written_at.set(Instant::now());
        let is_between_requests = self.input.borrow_mut().scanner.expect_next_request(body_length);
        self.request_began_at.set(if is_between_requests { None } else { Some(Instant::now()) });
    }

    /// How long ago at least the newest byte of the client reached this machine: the age of a request once it is
    /// complete, wherever it waited. A pipelined request may lie before that byte and be older. 0 where the system
    /// does not tell.
    pub fn newest_byte_age(&self) -> Duration {
        let input = self.input.borrow();
        let age = input.socket.as_ref().map(|socket| time_since_last_data(socket.get_ref()));
        age.and_then(Result::ok).unwrap_or_default()
    }

    /// Whether bytes have arrived that hyper has not read.
    pub fn has_unread_input(&self) -> bool {
        let input = self.input.borrow();
        let Some(socket) = &input.socket else { return false };
        if !input.read_ahead.is_empty() {
            return true;
        }
        let mut byte = [MaybeUninit::uninit()];
        matches!(socket2::SockRef::from(socket.get_ref()).peek(&mut byte), Ok(read) if read > 0)
    }

    /// Whether the client has ended its sending side or the connection broke. This asks the system: what the
    /// runtime knows is as old as its last poll for events. What the client sent before its end is kept.
    pub fn has_disconnected(&self) -> bool {
        let mut data = [0; READ_AHEAD_CHUNK_BYTES];
        let mut input = self.input.borrow_mut();
        loop {
            if input.ended {
                return true;
            }
            let Some(socket) = &input.socket else { return true };
            match (&*socket2::SockRef::from(socket.get_ref())).read(&mut data) {
                Ok(0) => input.ended = true,
                Ok(read) => self.keep_read_ahead(&mut input, &data[..read]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
            }
        }
    }

    /// Whether the client has ended its sending side behind input that is still unread, as of the runtime's last
    /// poll for events. The rest of a long body is not read before an attempt takes it, so its end cannot be read
    /// either.
    pub fn is_end_announced(&self) -> bool {
        let input = self.input.borrow();
        let Some(socket) = &input.socket else { return true };
        let ready = pin!(socket.get_ref().ready(Interest::READABLE));
        let ready = ready.poll(&mut Context::from_waker(Waker::noop()));
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Waits until the client ends its sending side or the connection breaks, while its request is in progress.
    /// hyper does not notice that behind further input, which is read here and kept.
    pub async fn disconnected(&self) {
        let _guard = RequestInProgressGuard::new(&self.request_in_progress);
        poll_fn(|cx| self.poll_disconnected(cx)).await;
    }

    /// Whether another request can be read completely.
    pub fn can_read_next_request(&self) -> bool {
        let input = self.input.borrow();
        !input.ended && !input.read_ahead_overflowed
    }

    /// Closes the connection, once the client stops sending or after a while.
    pub async fn close_after_input(&self) {
        let socket = self.input.borrow_mut().socket.take();
        let ended = self.input.borrow().ended;
        if let Some(socket) = socket.filter(|_| !ended) {
            linger::close_after_input(socket).await;
        }
    }

    /// Reads ahead until the client disconnects.
    fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut data = [0; READ_AHEAD_CHUNK_BYTES];
        loop {
            if self.input.borrow().ended {
                return Poll::Ready(());
            }
            let mut buf = ReadBuf::new(&mut data);
            if ready!(self.poll_socket(|socket| socket.poll_read(cx, &mut buf))).is_err() {
                return Poll::Ready(());
            }
            let mut input = self.input.borrow_mut();
            if buf.filled().is_empty() {
                input.ended = true;
                return Poll::Ready(());
            }
            self.keep_read_ahead(&mut input, buf.filled());
        }
    }

    /// Keeps bytes that arrived while a request is in progress.
    fn keep_read_ahead(&self, input: &mut Input, data: &[u8]) {
        input.extend_read_ahead(data);
        self.last_read_at.set(Instant::now());
    }

    /// Moves what was read ahead to a buffer. False if there was nothing and the socket is to be read.
    fn take_read_ahead(&self, buf: &mut ReadBuf<'_>) -> bool {
        let mut input = self.input.borrow_mut();
        let length = input.read_ahead.len().min(buf.remaining());
        buf.put_slice(&input.read_ahead.split_to(length));
        // Not every system reports an end again that was read before.
        length > 0 || input.ended
    }

    /// Records what hyper has read. `is_buffer_full` if there may be more of it.
    fn record_read(&self, data: &[u8], is_buffer_full: bool) {
        let mut input = self.input.borrow_mut();
        input.ended |= data.is_empty();
        self.last_read_at.set(Instant::now());
        input.scanner.scan(data);
        let may_end_request = input.scanner.is_past_head() && !data.is_empty() && !is_buffer_full;
        self.defers_next_read.set(may_end_request);
        if self.request_began_at.get().is_none() && input.scanner.is_in_request() {
            self.request_began_at.set(Some(Instant::now()));
        }
    }

    /// Polls the socket; an error where the connection has been closed.
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

/// Marks a request as in progress until it is dropped.
struct RequestInProgressGuard<'a> {
    /// The mark.
    request_in_progress: &'a Cell<bool>,
}

impl<'a> RequestInProgressGuard<'a> {
    /// Marks a request as in progress.
    fn new(request_in_progress: &'a Cell<bool>) -> RequestInProgressGuard<'a> {
        request_in_progress.set(true);
        RequestInProgressGuard { request_in_progress }
    }
}

impl Drop for RequestInProgressGuard<'_> {
    fn drop(&mut self) {
        self.request_in_progress.set(false);
    }
}
