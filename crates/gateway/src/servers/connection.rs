//! A TCP connection to a server. It closes immediately when its request is abandoned, and tracks whether that
//! request has been written completely.

use crate::network::socket::Socket;
use crate::operations::request_log::ResponseProgress;
use crate::servers::request_progress::RequestProgress;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum age of a request's forwarded timeout when the request's first byte is written. The forwarded
/// timeout may exceed the client's remaining time by up to 0.15 s. A delay of the write itself may use up all
/// of that, so this limit is small in comparison.
const MAX_FORWARDED_TIMEOUT_AGE: Duration = Duration::from_millis(20);

/// Counts a connection as open until the guard is dropped.
pub struct OpenConnectionGuard {
    open_connections: Rc<Cell<usize>>,
}

impl OpenConnectionGuard {
    /// Increments the number of open connections.
    pub fn new(open_connections: &Rc<Cell<usize>>) -> OpenConnectionGuard {
        open_connections.set(open_connections.get() + 1);
        OpenConnectionGuard { open_connections: open_connections.clone() }
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.open_connections.set(self.open_connections.get().saturating_sub(1));
    }
}

/// The socket of an open connection.
struct OpenSocket {
    socket: Socket<TcpStream>,
    /// Counts the connection as open for as long as the socket exists.
    _open_guard: OpenConnectionGuard,
}

/// Conditions checked just before the first byte of a request is written, because the process may have waited
/// for a CPU core since the decision to send the attempt.
#[derive(Clone)]
pub struct WriteCondition {
    /// Latest time at which the first byte may be written.
    pub send_deadline: Instant,
    /// Time at which the forwarded timeout was computed.
    pub timeout_computed_at: Instant,
    /// Reports whether the client has disconnected; nothing may be written once it has.
    pub client_has_disconnected: Rc<dyn Fn() -> bool>,
}

impl WriteCondition {
    /// Returns whether the request may be written now.
    pub fn holds(&self) -> bool {
        if (self.client_has_disconnected)() {
            return false;
        }
        let now = Instant::now();
        now < self.send_deadline && now.duration_since(self.timeout_computed_at) <= MAX_FORWARDED_TIMEOUT_AGE
    }
}

/// A connection to a server. All holders of a reference share one socket, and any of them may close it.
pub struct ServerConnection {
    /// The socket; `None` once the connection is closed.
    socket: RefCell<Option<OpenSocket>>,
    /// Wakes the task in which hyper reads and writes the connection.
    task: RefCell<Option<Waker>>,
    progress: Cell<RequestProgress>,
    /// Condition for writing the current request; `None` once its first byte has been written.
    write_condition: RefCell<Option<WriteCondition>>,
    /// Whether the connection was closed because `write_condition` did not hold.
    write_refused: Cell<bool>,
    /// Counter to increment once the current request has been written completely.
    written_counter: RefCell<Option<Rc<Cell<u64>>>>,
    /// Time at which the server last sent anything, or the connection was established.
    last_read_at: Cell<Instant>,
    /// Number of requests begun on the connection. Input that arrives before a second or later request is
    /// written is not the response to it.
    requests_begun: Cell<u32>,
}

impl ServerConnection {
    /// Creates a connection over an established stream.
    pub fn new(stream: TcpStream, open_guard: OpenConnectionGuard) -> Rc<ServerConnection> {
        let socket = OpenSocket { socket: Socket::new(stream), _open_guard: open_guard };
        Rc::new(ServerConnection {
            socket: RefCell::new(Some(socket)),
            task: RefCell::default(),
            progress: Cell::default(),
            write_condition: RefCell::default(),
            write_refused: Cell::new(false),
            written_counter: RefCell::default(),
            last_read_at: Cell::new(Instant::now()),
            requests_begun: Cell::new(0),
        })
    }

    /// Begins the next request; `body_length` is the length of its body in bytes, if known.
    pub fn begin_request(&self, body_length: Option<u64>) {
        self.requests_begun.set(self.requests_begun.get() + 1);
        self.progress.set(RequestProgress::new(body_length));
    }

    /// Sets the condition for writing the request just begun. If the condition does not hold when the
    /// request's first byte is due, nothing is written and the connection closes.
    pub fn set_write_condition(&self, condition: WriteCondition) {
        self.write_condition.replace(Some(condition));
    }

    /// Records that the request's body has been passed to hyper completely.
    pub fn record_body_end(&self) {
        self.update_progress(RequestProgress::record_body_end);
    }

    /// Records that the head of the response has been read.
    pub fn record_response_head(&self) {
        self.update_progress(RequestProgress::record_response_head);
    }

    /// Sets the counter to increment once the request just begun has been written completely.
    pub fn set_written_counter(&self, counter: Option<&Rc<Cell<u64>>>) {
        self.written_counter.replace(counter.cloned());
    }

    /// Returns whether any byte of the current request has been written.
    pub fn has_begun_writing(&self) -> bool {
        self.progress.get().has_started()
    }

    /// Returns whether the last byte of the current request has been written.
    pub fn request_written(&self) -> bool {
        self.progress.get().is_complete()
    }

    /// Returns the time since the server last sent anything.
    pub fn time_since_read(&self) -> Duration {
        self.last_read_at.get().elapsed()
    }

    /// Returns what has come of the response to the current request.
    pub fn response_progress(&self) -> ResponseProgress {
        ResponseProgress { bytes_read: self.progress.get().bytes_read(), pause: self.time_since_read() }
    }

    /// Returns whether the connection is open and has no unread input, as reported by the operating system.
    pub fn has_no_unread_input(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(|open_socket| open_socket.socket.has_no_unread_input())
    }

    /// Closes the connection immediately, without waiting for a task to be polled: the connection of an
    /// abandoned attempt must be closed before the next attempt of its request is sent. Then wakes that task,
    /// which would otherwise keep the request's body until the client sends more of it.
    pub fn close(&self) {
        self.socket.borrow_mut().take();
        if let Some(task) = self.task.borrow_mut().take() {
            task.wake();
        }
    }

    /// Returns whether the connection has been closed by this gateway.
    pub fn is_closed(&self) -> bool {
        self.socket.borrow().is_none()
    }

    /// Stores the task that polls the connection, so that a close can wake it.
    fn register_task(&self, cx: &Context<'_>) {
        let mut task = self.task.borrow_mut();
        if !task.as_ref().is_some_and(|task| task.will_wake(cx.waker())) {
            *task = Some(cx.waker().clone());
        }
    }

    /// Returns whether the current request is not the first one on the connection.
    fn is_reused(&self) -> bool {
        self.requests_begun.get() > 1
    }

    /// Returns whether the connection was closed because the [`WriteCondition`] of its request did not hold.
    /// Nothing of that request was written.
    pub fn write_refused(&self) -> bool {
        self.write_refused.get()
    }

    /// Returns whether the first byte of the current request must not be written, and records in
    /// `write_refused` whether its [`WriteCondition`] is the reason.
    fn must_refuse_write(&self) -> bool {
        if self.has_begun_writing() {
            return false;
        }
        // Input on a reused connection is unsolicited at this point, and cannot be recognized as such after
        // the write.
        if self.is_reused() && !self.has_no_unread_input() {
            return true;
        }
        let condition = self.write_condition.borrow();
        self.write_refused.set(condition.as_ref().is_some_and(|condition| !condition.holds()));
        self.write_refused()
    }

    /// Closes the connection and returns an error, because of invalid input or a request that must not be
    /// written.
    fn abort<T>(&self, reason: io::ErrorKind) -> Poll<io::Result<T>> {
        self.close();
        Poll::Ready(Err(reason.into()))
    }

    fn update_progress(&self, update: impl FnOnce(&mut RequestProgress)) {
        let mut progress = self.progress.get();
        update(&mut progress);
        self.progress.set(progress);
    }

    /// Records that `data` of the current request has been written, and increments the counter of written
    /// requests with the last byte.
    fn record_written(&self, data: &[u8]) {
        self.write_condition.take();
        self.update_progress(|progress| progress.record_written(data));
        let counter = self.written_counter.borrow_mut().take_if(|_| self.request_written());
        if let Some(counter) = counter {
            counter.set(counter.get() + 1);
        }
    }

    /// Polls the socket. Fails with `ConnectionAborted` if the connection has been closed.
    fn poll_socket<T>(
        &self,
        poll: impl FnOnce(Pin<&mut Socket<TcpStream>>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.socket.borrow_mut().as_mut() {
            Some(open_socket) => poll(Pin::new(&mut open_socket.socket)),
            None => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
        }
    }
}

/// The byte stream of a connection that hyper reads and writes. Dropping it closes the connection.
pub struct ServerConnectionIo(pub Rc<ServerConnection>);

impl Drop for ServerConnectionIo {
    fn drop(&mut self) {
        self.0.close();
    }
}

impl AsyncRead for ServerConnectionIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let connection = &self.0;
        connection.register_task(cx);
        let filled_before = buf.filled().len();
        let result = connection.poll_socket(|socket| socket.poll_read(cx, buf));
        if result.is_ready() {
            connection.last_read_at.set(Instant::now());
        }
        connection.update_progress(|progress| progress.record_read(buf.filled().len() - filled_before));
        let progress = connection.progress.get();
        let has_unsolicited_input = connection.is_reused() && progress.has_unsolicited_input();
        if has_unsolicited_input || progress.response_head_is_too_long() {
            return connection.abort(io::ErrorKind::InvalidData);
        }
        result
    }
}

impl AsyncWrite for ServerConnectionIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let connection = &self.0;
        connection.register_task(cx);
        if connection.must_refuse_write() {
            return connection.abort(io::ErrorKind::ConnectionAborted);
        }
        let result = connection.poll_socket(|socket| socket.poll_write(cx, data));
        if let Poll::Ready(Ok(written)) = &result {
            connection.record_written(&data[..*written]);
        }
        result
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll_socket(|socket| socket.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll_socket(|socket| socket.poll_shutdown(cx))
    }
}

#[cfg(test)]
mod tests;
