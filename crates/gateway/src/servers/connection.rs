//! One TCP connection to a server, closable at once by whoever gives up on it, that knows whether a request
//! has been written whole.

use crate::bodies::size::MAX_BUFFERED_BODY_BYTES;
use crate::network::socket::Socket;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes before an answer's head is whole.
const HEAD_MOST: usize = 256 << 10;
/// What ends a head, and the last chunk of a body.
const END: &[u8] = b"\r\n\r\n";

/// How much of a request has been written: nothing tells a server that a request is whole before its last
/// byte, so until then it cannot have run.
#[derive(Clone, Copy, Default)]
struct Progress {
    /// How much of the empty line that ends the head was just seen.
    matched: usize,
    head_done: bool,
    body: BodyLeft,
    begun: bool,
    /// Bytes read since it was to be written.
    read: usize,
    /// The head of its answer was read.
    heard: bool,
}

/// What is still to be written of a body.
#[derive(Clone, Copy)]
enum BodyLeft {
    /// So many bytes.
    Known(u64),
    /// Chunks, the last of which follows once nothing more is handed in.
    Chunks { ended: bool },
}

impl Default for BodyLeft {
    fn default() -> BodyLeft {
        BodyLeft::Known(0)
    }
}

impl Progress {
    fn wrote(&mut self, mut data: &[u8]) {
        self.begun |= !data.is_empty();
        while let Some((byte, rest)) = data.split_first().filter(|_| !self.head_done) {
            self.follow(*byte);
            self.head_done = self.matched == END.len();
            data = rest;
        }
        match &mut self.body {
            BodyLeft::Known(left) => *left = left.saturating_sub(data.len() as u64),
            BodyLeft::Chunks { .. } => {
                // Only the last bytes can be the end of the last chunk.
                let skipped = data.len().saturating_sub(END.len());
                if skipped > 0 {
                    self.matched = 0;
                }
                data[skipped..].iter().for_each(|byte| self.follow(*byte));
            }
        }
    }

    fn follow(&mut self, byte: u8) {
        let at = self.matched % END.len();
        self.matched = match byte {
            b if b == END[at] => at + 1,
            b'\r' => 1,
            _ => 0,
        };
    }

    fn whole(&self) -> bool {
        self.head_done
            && match self.body {
                BodyLeft::Known(left) => left == 0,
                BodyLeft::Chunks { ended } => ended && self.matched == END.len(),
            }
    }

    /// Whether what is read now can be its answer. One whose body is long may be turned away before all of it
    /// has gone.
    fn due(&self) -> bool {
        match self.body {
            BodyLeft::Known(left) if left <= MAX_BUFFERED_BODY_BYTES as u64 => self.whole(),
            _ => self.head_done,
        }
    }
}

/// RequestCounters open connections to servers.
pub struct OpenConnectionGuard(Rc<Cell<usize>>);

impl OpenConnectionGuard {
    /// One more connection.
    pub fn new(open: &Rc<Cell<usize>>) -> OpenConnectionGuard {
        open.set(open.get() + 1);
        OpenConnectionGuard(open.clone())
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A connection; all its holders share the one socket, and any may close it.
pub struct ServerConnection {
    socket: RefCell<Option<(Socket<TcpStream>, OpenConnectionGuard)>>,
    progress: Cell<Progress>,
    /// RequestCounters what is written whole on it, where that is wanted.
    written: RefCell<Option<Rc<Cell<u64>>>>,
    /// Requests begun on it. What comes before the second has been written whole is not its answer.
    requests: Cell<u32>,
}

impl ServerConnection {
    /// A link over an established connection.
    pub fn new(stream: TcpStream, counter: OpenConnectionGuard) -> Rc<ServerConnection> {
        Rc::new(ServerConnection {
            socket: RefCell::new(Some((Socket::new(stream), counter))),
            progress: Cell::default(),
            written: RefCell::default(),
            requests: Cell::new(0),
        })
    }

    /// A request with a body of so many bytes, if that is known, is about to be written.
    pub fn begin_request(&self, body: Option<u64>) {
        self.requests.set(self.requests.get() + 1);
        let body = body.map_or(BodyLeft::Chunks { ended: false }, BodyLeft::Known);
        self.progress.set(Progress { body, ..Progress::default() });
    }

    /// All of the body was handed in.
    pub fn body_ended(&self) {
        self.change(|progress| {
            if let BodyLeft::Chunks { ended } = &mut progress.body {
                *ended = true;
            }
        });
    }

    /// The head of the answer was read; its body may be as long as it likes.
    pub fn response_received(&self) {
        self.change(|progress| progress.heard = true);
    }

    fn change(&self, change: impl FnOnce(&mut Progress)) {
        let mut progress = self.progress.get();
        change(&mut progress);
        self.progress.set(progress);
    }

    /// Where the request that begins is counted once its last byte is written, if it is.
    pub fn count_written(&self, written: Option<&Rc<Cell<u64>>>) {
        self.written.replace(written.cloned());
    }

    /// Whether any byte of the request has been written.
    pub fn has_begun_writing(&self) -> bool {
        self.progress.get().begun
    }

    /// Whether the request's last byte has been written.
    pub fn request_written(&self) -> bool {
        self.progress.get().whole()
    }

    /// Whether the connection is open and nothing waits on it to be read. This asks the system: what the
    /// runtime knows of a socket is as old as its last look at its events.
    pub fn has_no_unread_input(&self) -> bool {
        let socket = self.socket.borrow();
        let Some((stream, _)) = &*socket else { return false };
        let peeked = socket2::SockRef::from(stream.get_ref()).peek(&mut [std::mem::MaybeUninit::uninit()]);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    fn unexpected_input<T>(&self) -> Poll<io::Result<T>> {
        self.close();
        Poll::Ready(Err(io::ErrorKind::InvalidData.into()))
    }

    /// Closes the connection now, not when some task is next polled: an attempt given up must be off the
    /// network before the next one of its request is sent.
    pub fn close(&self) {
        self.socket.borrow_mut().take();
    }

    fn poll_socket<T>(
        &self,
        act: impl FnOnce(Pin<&mut Socket<TcpStream>>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.socket.borrow_mut().as_mut() {
            Some((stream, _)) => act(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
        }
    }
}

/// A link as hyper reads and writes it; the connection closes with it.
pub struct ServerConnectionIo(pub Rc<ServerConnection>);

impl Drop for ServerConnectionIo {
    fn drop(&mut self) {
        self.0.close();
    }
}

impl AsyncRead for ServerConnectionIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = self.0.poll_socket(|stream| stream.poll_read(cx, buf));
        self.0.change(|progress| progress.read += buf.filled().len() - before);
        let progress = self.0.progress.get();
        let early = progress.read > 0 && !progress.due() && self.0.requests.get() > 1;
        if early || progress.read > HEAD_MOST && !progress.heard {
            return self.0.unexpected_input();
        }
        read
    }
}

impl AsyncWrite for ServerConnectionIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let mut progress = self.0.progress.get();
        let again = self.0.requests.get() > 1;
        // The last moment to see that the connection carries something that belongs to no request.
        if again && !progress.begun && !self.0.has_no_unread_input() {
            return self.0.unexpected_input();
        }
        let wrote = self.0.poll_socket(|stream| stream.poll_write(cx, data));
        if let Poll::Ready(Ok(n)) = &wrote {
            progress.wrote(&data[..*n]);
            self.0.progress.set(progress);
            if let Some(written) = self.0.written.borrow_mut().take_if(|_| progress.whole()) {
                written.set(written.get() + 1);
            }
        }
        wrote
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll_socket(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll_socket(|stream| stream.poll_shutdown(cx))
    }
}

#[cfg(test)]
mod tests;
