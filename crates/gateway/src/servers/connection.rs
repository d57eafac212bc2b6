//! One TCP connection to a server. It can be closed at once when its request is abandoned, and it knows whether
//! that request has been written completely.

use crate::network::socket::Socket;
use crate::servers::request_progress::RequestProgress;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How old the time that a request tells its server may be as its first byte is written: little beside the 0.15 s by
/// which that time may exceed what its client has left, since a hold-up of the write itself may use up all of that.
const MAX_PREPARED_AGE: Duration = Duration::from_millis(20);

/// Counts a connection among the open ones until it is dropped.
pub struct OpenConnectionGuard {
    /// The number of open connections.
    open: Rc<Cell<usize>>,
}

impl OpenConnectionGuard {
    /// Counts one more connection.
    pub fn new(open: &Rc<Cell<usize>>) -> OpenConnectionGuard {
        open.set(open.get() + 1);
        OpenConnectionGuard { open: open.clone() }
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}

/// The socket of an open connection.
struct OpenSocket {
    /// The socket.
    socket: Socket<TcpStream>,
    /// Counts the connection as long as its socket is open.
    _open_guard: OpenConnectionGuard,
}

/// What has to hold just before the first byte of a request is written: the process may have waited for a core since
/// its attempt was decided.
#[derive(Clone)]
pub struct WriteCondition {
    /// The latest time of that write.
    pub send_by: Instant,
    /// When the time that the request tells its server was taken.
    pub prepared_at: Instant,
    /// Whether the request's client has disconnected, so that nothing may be written.
    pub client_has_disconnected: Rc<dyn Fn() -> bool>,
}

impl WriteCondition {
    /// Whether the request may be written now.
    pub fn holds(&self) -> bool {
        if (self.client_has_disconnected)() {
            return false;
        }
        let now = Instant::now();
        now < self.send_by && now.duration_since(self.prepared_at) <= MAX_PREPARED_AGE
    }
}

/// A connection; all its holders share the one socket, and any of them may close it.
pub struct ServerConnection {
    /// The socket, until the connection is closed.
    socket: RefCell<Option<OpenSocket>>,
    /// The progress of the current request.
    progress: Cell<RequestProgress>,
    /// What has to hold for the current request to be written, until its first byte is.
    write_condition: RefCell<Option<WriteCondition>>,
    /// Whether it closed because that did not hold.
    has_refused_write: Cell<bool>,
    /// The counter to increment once the current request has been written, if any.
    written_counter: RefCell<Option<Rc<Cell<u64>>>>,
    /// Requests begun on the connection. What arrives before a later one is written is not its response.
    requests_begun: Cell<u32>,
}

impl ServerConnection {
    /// A connection over an established stream.
    pub fn new(stream: TcpStream, open_guard: OpenConnectionGuard) -> Rc<ServerConnection> {
        let socket = OpenSocket { socket: Socket::new(stream), _open_guard: open_guard };
        Rc::new(ServerConnection {
            socket: RefCell::new(Some(socket)),
            progress: Cell::default(),
            write_condition: RefCell::default(),
            has_refused_write: Cell::new(false),
            written_counter: RefCell::default(),
            requests_begun: Cell::new(0),
        })
    }

    /// Announces the next request, whose body has this length, where it is known.
    pub fn begin_request(&self, body_length: Option<u64>) {
        self.requests_begun.set(self.requests_begun.get() + 1);
        self.progress.set(RequestProgress::new(body_length));
    }

    /// Sets what has to hold for the request that begins to be written. If it does not, the connection closes unwritten.
    pub fn write_only_if(&self, condition: WriteCondition) {
        self.write_condition.replace(Some(condition));
    }

    /// Announces that all of the request's body has been handed to hyper.
    pub fn body_ended(&self) {
        self.update_progress(RequestProgress::record_body_end);
    }

    /// Announces that the head of the response has been read.
    pub fn response_received(&self) {
        self.update_progress(RequestProgress::record_response);
    }

    /// Sets the counter to increment once the request that begins has been written.
    pub fn count_written(&self, counter: Option<&Rc<Cell<u64>>>) {
        self.written_counter.replace(counter.cloned());
    }

    /// Whether any byte of the request has been written.
    pub fn has_begun_writing(&self) -> bool {
        self.progress.get().has_started()
    }

    /// Whether the request's last byte has been written.
    pub fn request_written(&self) -> bool {
        self.progress.get().is_complete()
    }

    /// Whether the connection is open and has no unread input, by asking the system.
    pub fn has_no_unread_input(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(|open_socket| open_socket.socket.has_no_unread_input())
    }

    /// Closes the connection now, not when some task is next polled: an abandoned attempt must be off the
    /// network before the next one of its request is sent.
    pub fn close(&self) {
        self.socket.borrow_mut().take();
    }

    /// Whether the connection has carried a request before the current one.
    fn is_reused(&self) -> bool {
        self.requests_begun.get() > 1
    }

    /// Whether it closed unwritten because its request's [`WriteCondition`] did not hold.
    pub fn has_refused_write(&self) -> bool {
        self.has_refused_write.get()
    }

    /// Whether nothing of the current request has been written, and nothing may be.
    fn must_not_begin_writing(&self) -> bool {
        if self.has_begun_writing() {
            return false;
        }
        // The last chance to notice input that belongs to no request.
        if self.is_reused() && !self.has_no_unread_input() {
            return true;
        }
        let condition = self.write_condition.borrow();
        self.has_refused_write.set(condition.as_ref().is_some_and(|condition| !condition.holds()));
        self.has_refused_write()
    }

    /// Closes the connection, for input that belongs to no request or a request that may not be written.
    fn abort<T>(&self, reason: io::ErrorKind) -> Poll<io::Result<T>> {
        self.close();
        Poll::Ready(Err(reason.into()))
    }

    /// Changes the progress of the current request.
    fn update_progress(&self, update: impl FnOnce(&mut RequestProgress)) {
        let mut progress = self.progress.get();
        update(&mut progress);
        self.progress.set(progress);
    }

    /// Records that these bytes of the request have been written, and counts it with its last byte.
    fn record_written(&self, data: &[u8]) {
        self.write_condition.take();
        self.update_progress(|progress| progress.record_written(data));
        let counter = self.written_counter.borrow_mut().take_if(|_| self.request_written());
        if let Some(counter) = counter {
            counter.set(counter.get() + 1);
        }
    }

    /// Polls the socket; an error where the connection has been closed.
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

/// A connection as hyper reads and writes it, closed when dropped.
pub struct ServerConnectionIo(pub Rc<ServerConnection>);

impl Drop for ServerConnectionIo {
    fn drop(&mut self) {
        self.0.close();
    }
}

impl AsyncRead for ServerConnectionIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let connection = &self.0;
        let filled_before = buf.filled().len();
        let result = connection.poll_socket(|socket| socket.poll_read(cx, buf));
        connection.update_progress(|progress| progress.record_read(buf.filled().len() - filled_before));
        let progress = connection.progress.get();
        let has_unrelated_input = connection.is_reused() && progress.has_premature_input();
        if has_unrelated_input || progress.response_head_is_too_long() {
            return connection.abort(io::ErrorKind::InvalidData);
        }
        result
    }
}

impl AsyncWrite for ServerConnectionIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let connection = &self.0;
        if connection.must_not_begin_writing() {
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
