//! One client's TCP connection, under hyper: what hyper does not tell of a request's framing and progress.

use crate::network::socket::Socket;
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io::{self, Read};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A closing connection reads what its client still sends, since closing with input unread would reset the connection and
/// could take the answer along: until the client is silent for so long...
const LINGER_SILENCE: Duration = Duration::from_secs(1);
/// ...for so long in all...
const LINGER_MOST: Duration = Duration::from_secs(6);
/// ...and so many bytes.
const LINGER_BYTES: usize = 64 << 20;
/// Most that is kept of what a client sends while its request is in work; clients send one request at a time.
const AHEAD_MOST: usize = 16 << 10;
/// Bytes read at a time of what a client sends while its request is in work.
const READ_AHEAD: usize = 1024;
/// Longest header name that matters.
const NAME_MOST: usize = 17;

/// The two headers that tell how long a body is. hyper drops the one when the other is there.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Framing {
    /// `Content-Length` came.
    pub length: bool,
    /// `Transfer-Encoding` came.
    pub coding: bool,
}

/// Where in its bytes a connection is.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
enum Place {
    /// Before a request.
    #[default]
    Between,
    /// In its head.
    Head,
    /// Behind the head, by so many bytes.
    Behind(usize),
    /// A request began among the bytes of the one before, so its head's start is not known.
    Lost,
}

/// Follows the heads of requests as they are read.
#[derive(Default)]
struct Scan {
    place: Place,
    framing: Framing,
    name: [u8; NAME_MOST],
    /// Length of the current line, without carriage returns.
    line: usize,
}

impl Scan {
    fn read(&mut self, data: &[u8]) {
        for (at, byte) in data.iter().enumerate() {
            match (self.place, *byte) {
                (Place::Behind(n), _) => return self.place = Place::Behind(n + data.len() - at),
                (Place::Lost, _) => return,
                // Empty lines before a request are none of its own.
                (Place::Between, b'\r' | b'\n') | (_, b'\r') => {}
                (_, b'\n') if self.line == 0 => self.place = Place::Behind(0),
                (_, b'\n') => {
                    let name = &self.name[..self.line.min(NAME_MOST)];
                    self.framing.length |= name.starts_with(b"content-length");
                    self.framing.coding |= name.starts_with(b"transfer-encoding");
                    self.line = 0;
                }
                (_, byte) => {
                    self.place = Place::Head;
                    if let Some(place) = self.name.get_mut(self.line) {
                        *place = byte.to_ascii_lowercase();
                    }
                    self.line += 1;
                }
            }
        }
    }
}

struct State {
    stream: Option<Socket<TcpStream>>,
    scan: Scan,
    ended: bool,
    /// What came while a request was in work, in order.
    ahead: BytesMut,
    /// More came than is kept, and what is kept ends in the middle of it.
    overrun: bool,
}

/// A client's connection; its holders share the one socket.
pub struct ClientStream {
    state: RefCell<State>,
    /// When the first byte of the request that is being read came.
    began: Cell<Option<Instant>>,
    answering: Cell<bool>,
    /// A request is in work, and nothing is read but by who waits for its client to leave.
    working: Cell<bool>,
    /// What was read last may end a request. hyper reads on at once, and would take the client's end for a reason to
    /// drop the request: who serves it is to see the request first.
    may_be_whole: Cell<bool>,
    /// When the client last took something.
    wrote: Cell<Instant>,
    /// When the client was last heard of.
    heard: Cell<Instant>,
}

impl ClientStream {
    /// A wire over an accepted connection.
    pub fn new(stream: TcpStream) -> Rc<ClientStream> {
        let state = State {
            stream: Some(Socket::new(stream)),
            scan: Scan::default(),
            ended: false,
            ahead: BytesMut::new(),
            overrun: false,
        };
        Rc::new(ClientStream {
            state: RefCell::new(state),
            began: Cell::new(None),
            answering: Cell::new(false),
            working: Cell::new(false),
            may_be_whole: Cell::new(false),
            wrote: Cell::new(Instant::now()),
            heard: Cell::new(Instant::now()),
        })
    }

    /// When the request that is being read began to come.
    pub fn request_began_at(&self) -> Option<Instant> {
        self.began.get()
    }

    /// Whether an answer is on its way out.
    pub fn is_answering(&self) -> bool {
        self.answering.get()
    }

    /// When the client last took some of an answer, or was last given one.
    pub fn last_written_at(&self) -> Instant {
        self.wrote.get()
    }

    /// When bytes last came, or the connection did.
    pub fn last_read_at(&self) -> Instant {
        self.heard.get()
    }

    /// The framing of the request whose head was just read; `None` if its head's start is not known.
    pub fn framing(&self) -> Option<Framing> {
        let state = self.state.borrow();
        matches!(state.scan.place, Place::Behind(_)).then_some(state.scan.framing)
    }

    /// A request has its answer, and its body took so many bytes: what follows is the next one.
    pub fn next_request(&self, body: usize) {
        self.answering.set(true);
        self.wrote.set(Instant::now());
        let mut state = self.state.borrow_mut();
        let whole = state.scan.place == Place::Behind(body);
        state.scan = Scan { place: if whole { Place::Between } else { Place::Lost }, ..Scan::default() };
        self.began.set(if whole { None } else { Some(Instant::now()) });
    }

    /// Whether bytes have come that nobody has read.
    pub fn has_unread_input(&self) -> bool {
        let state = self.state.borrow();
        let Some(stream) = &state.stream else { return false };
        if !state.ahead.is_empty() {
            return true;
        }
        let mut byte = [std::mem::MaybeUninit::uninit()];
        matches!(socket2::SockRef::from(stream.get_ref()).peek(&mut byte), Ok(n) if n > 0)
    }

    /// Whether the client has ended its side or the connection broke, though no event has told of it yet: what the
    /// runtime knows is as old as its last look at its events. What the client sent ahead of its end is kept.
    pub fn has_left(&self) -> bool {
        let mut data = [0; READ_AHEAD];
        loop {
            let mut state = self.state.borrow_mut();
            if state.ended {
                return true;
            }
            let Some(stream) = &state.stream else { return true };
            match (&*socket2::SockRef::from(stream.get_ref())).read(&mut data) {
                Ok(0) => state.ended = true,
                Ok(read) => self.buffer_ahead(&mut state, &data[..read]),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
            }
        }
    }

    /// Whether the client has ended its side behind bytes that nobody has read, as of the runtime's last look at its
    /// events: the rest of a long body lies before the end, and is not read until an attempt takes it.
    pub fn end_is_announced(&self) -> bool {
        let state = self.state.borrow();
        let Some(stream) = &state.stream else { return true };
        let ready = pin!(stream.get_ref().ready(Interest::READABLE));
        let ready = ready.poll(&mut Context::from_waker(Waker::noop()));
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Keeps bytes that came while a request is in work, up to a limit.
    fn buffer_ahead(&self, state: &mut State, data: &[u8]) {
        state.overrun |= state.ahead.len() + data.len() > AHEAD_MOST;
        if !state.overrun {
            state.ahead.extend_from_slice(data);
        }
        self.heard.set(Instant::now());
    }

    /// Waits until the client ends its side or the connection breaks, while its request is in work. hyper does not
    /// look once the client has sent anything ahead, which is read here and kept for it.
    pub async fn client_left(&self) {
        let _working = Working::new(&self.working);
        poll_fn(|cx| self.poll_client_left(cx)).await;
    }

    fn poll_client_left(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut data = [0; READ_AHEAD];
        loop {
            if self.state.borrow().ended {
                return Poll::Ready(());
            }
            let mut buf = ReadBuf::new(&mut data);
            if ready!(self.poll_socket(|stream| stream.poll_read(cx, &mut buf))).is_err() {
                return Poll::Ready(());
            }
            let mut state = self.state.borrow_mut();
            if buf.filled().is_empty() {
                state.ended = true;
                return Poll::Ready(());
            }
            self.buffer_ahead(&mut state, buf.filled());
        }
    }

    /// Whether a further request can be read, and not only part of what came.
    pub fn wait_readable(&self) -> bool {
        let state = self.state.borrow();
        !state.ended && !state.overrun
    }

    /// Ends the sending side and reads a client out that may not have sent all, for a while.
    pub async fn linger(&self) {
        let (stream, ended) = {
            let mut state = self.state.borrow_mut();
            (state.stream.take(), state.ended)
        };
        let Some(mut stream) = stream.filter(|_| !ended) else { return };
        let read_out = async {
            let (mut data, mut left) = ([0; 4096], LINGER_BYTES);
            stream.shutdown().await?;
            while left > 0 {
                match timeout(LINGER_SILENCE, stream.read(&mut data)).await?? {
                    0 => break,
                    n => left = left.saturating_sub(n),
                }
            }
            io::Result::Ok(())
        };
        // However that ended, the connection closes now.
        let _ = timeout(LINGER_MOST, read_out).await;
    }

    /// Hands on what was read ahead, if there is any.
    fn take_buffered(&self, buf: &mut ReadBuf<'_>) -> bool {
        let mut state = self.state.borrow_mut();
        let length = state.ahead.len().min(buf.remaining());
        buf.put_slice(&state.ahead.split_to(length));
        // An end that was seen is not told anew by every system.
        length > 0 || state.ended
    }

    fn poll_socket<T>(
        &self,
        act: impl FnOnce(Pin<&mut Socket<TcpStream>>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.state.borrow_mut().stream.as_mut() {
            Some(stream) => act(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
        }
    }
}

/// A request is in work for as long as this lives.
struct Working<'a>(&'a Cell<bool>);

impl<'a> Working<'a> {
    fn new(working: &'a Cell<bool>) -> Working<'a> {
        working.set(true);
        Working(working)
    }
}

impl Drop for Working<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

/// A wire as hyper reads and writes it.
pub struct ClientStreamIo(pub Rc<ClientStream>);

impl AsyncRead for ClientStreamIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        // hyper reads on by itself once the request has its answer.
        if self.0.working.get() {
            return Poll::Pending;
        }
        if self.0.may_be_whole.replace(false) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = match self.0.take_buffered(buf) {
            true => Poll::Ready(Ok(())),
            false => self.0.poll_socket(|stream| stream.poll_read(cx, buf)),
        };
        if let Poll::Ready(Ok(())) = &read {
            let data = &buf.filled()[before..];
            let mut state = self.0.state.borrow_mut();
            state.ended |= data.is_empty();
            self.0.heard.set(Instant::now());
            state.scan.read(data);
            let behind_head = matches!(state.scan.place, Place::Behind(_));
            self.0.may_be_whole.set(behind_head && !data.is_empty() && buf.remaining() > 0);
            if self.0.began.get().is_none() && state.scan.place != Place::Between {
                self.0.began.set(Some(Instant::now()));
            }
        }
        read
    }
}

impl AsyncWrite for ClientStreamIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let wrote = self.0.poll_socket(|stream| stream.poll_write(cx, data));
        self.0.answering.set(true);
        if wrote.is_ready() {
            self.0.wrote.set(Instant::now());
        }
        wrote
    }

    // hyper flushes what lies under it once it has written all that it had.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = self.0.poll_socket(|stream| stream.poll_flush(cx));
        if flushed.is_ready() {
            self.0.answering.set(false);
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll_socket(|stream| stream.poll_shutdown(cx))
    }
}

#[cfg(test)]
mod tests {
    use super::{Framing, Place, Scan};

    /// Both headers are found in any order, case and cut; a header that only looks alike is not one.
    #[test]
    fn framing_is_found_however_the_head_is_cut() {
        let cases: [(&[u8], Framing); 4] = [
            (
                b"\r\nPOST /a HTTP/1.1\r\nContent-LENGTH: 5\r\nTransfer-Encoding: chunked\r\n\r\nbody",
                Framing { length: true, coding: true },
            ),
            (
                b"POST /a HTTP/1.1\ntransfer-encoding:chunked\ncontent-length:5\n\nbody",
                Framing { length: true, coding: true },
            ),
            (b"POST /a HTTP/1.1\r\nX-Content-Length: 5\r\nHost: a\r\n\r\nbody", Framing::default()),
            (
                b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
                Framing { length: true, coding: false },
            ),
        ];
        for (text, framing) in cases {
            for cut in 0..text.len() {
                let mut scan = Scan::default();
                scan.read(&text[..cut]);
                scan.read(&text[cut..]);
                assert_eq!((scan.framing, scan.place), (framing, Place::Behind(4)), "cut at {cut}");
            }
        }
    }
}
