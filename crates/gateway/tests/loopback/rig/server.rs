//! Scripted HTTP servers, which act as the servers behind the gateway and as the shared counter.

use super::message::{read_message, Message};
use super::EVENT_TIMEOUT;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::ControlFlow;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The scripted reaction of a server to a request.
pub enum Reply {
    /// Sends a response with a body.
    Response {
        /// The status code, the reason phrase and any further header lines.
        head: &'static str,
        body: Vec<u8>,
    },
    /// Writes this text unchanged.
    Raw(String),
    /// Writes this text twice, unless a busy machine stretches the delay to twice its length or more.
    RawTwice {
        text: String,
        /// The time between the two writes.
        delay: Duration,
    },
    /// Writes this text unchanged and closes the connection.
    RawThenClose(&'static str),
    /// Sends a response without `Connection: close`, then closes the connection.
    ResponseThenClose,
    /// Writes nothing and waits until the gateway closes the connection.
    Hang,
}

impl Reply {
    /// Returns a response with status 200 and this body.
    pub fn ok(body: impl Into<Vec<u8>>) -> Reply {
        Reply::Response { head: "200 OK", body: body.into() }
    }

    /// Returns a response without a body; `head` has the status and any further header lines.
    pub fn empty(head: &'static str) -> Reply {
        Reply::Response { head, body: Vec::new() }
    }
}

/// An event that a server observed.
#[derive(Debug)]
pub enum ServerEvent {
    /// A request arrived.
    Request(Message),
    /// The gateway closed a connection.
    ConnectionClosed,
}

/// A scripted server, whose threads serve until the test program exits.
pub struct Server {
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The number of accepted connections.
    connections: Arc<AtomicUsize>,
    /// The events that no test has read yet.
    events: Receiver<ServerEvent>,
}

/// State shared by the connections of one server.
struct SharedState<S> {
    /// The channel to [`Server::events`].
    events: Sender<ServerEvent>,
    /// The number of requests received.
    requests: AtomicUsize,
    /// The function that maps the number of a request, counted from 0, to the reply.
    script: S,
}

impl Server {
    /// Starts a server; `script` maps the number of a request, counted from 0 over all connections, to the
    /// reply.
    pub fn start(script: impl Fn(usize) -> Reply + Send + Sync + 'static) -> Server {
        Server::start_on(TcpListener::bind("127.0.0.1:0").unwrap(), script)
    }

    /// Starts a server like [`Server::start`] on an existing listener.
    pub fn start_on(
        listener: TcpListener,
        script: impl Fn(usize) -> Reply + Send + Sync + 'static,
    ) -> Server {
        let address = listener.local_addr().unwrap();
        let (sender, events) = channel();
        let shared = Arc::new(SharedState { events: sender, requests: AtomicUsize::new(0), script });
        let connections = Arc::new(AtomicUsize::new(0));
        let accepted = connections.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let shared = shared.clone();
                accepted.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || shared.serve(stream.unwrap()));
            }
        });
        Server { address, connections, events }
    }

    /// Starts a server that responds to each request with this body.
    pub fn responding_with(body: &'static str) -> Server {
        Server::start(move |_| Reply::ok(body))
    }

    /// Starts a server that responds to each request with the body `done`.
    pub fn healthy() -> Server {
        Server::responding_with("done")
    }

    /// Starts a server that accepts connections and never responds.
    pub fn unresponsive() -> Server {
        Server::start(|_| Reply::Hang)
    }

    /// Returns the number of connections that the server has accepted.
    pub fn connection_count(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Waits for the next event.
    pub fn next_event(&self) -> ServerEvent {
        self.events.recv_timeout(EVENT_TIMEOUT).expect("the server observed no further event")
    }

    /// Waits for the next event and returns its request; panics if a connection was closed instead.
    pub fn next_request(&self) -> Message {
        match self.next_event() {
            ServerEvent::Request(message) => message,
            ServerEvent::ConnectionClosed => panic!("a connection was closed where a request was expected"),
        }
    }

    /// Waits for the next request, ignoring closed connections.
    pub fn next_request_on_any_connection(&self) -> Message {
        loop {
            if let ServerEvent::Request(message) = self.next_event() {
                return message;
            }
        }
    }

    /// Waits for the next event; panics unless it is a closed connection.
    pub fn expect_connection_closed(&self) {
        let event = self.next_event();
        assert!(
            matches!(event, ServerEvent::ConnectionClosed),
            "{event:?} where a closed connection was expected"
        );
    }

    /// Returns the events that no test has read yet, without waiting.
    pub fn unread_events(&self) -> Vec<ServerEvent> {
        self.events.try_iter().collect()
    }

    /// Returns the requests among the events that no test has read yet, without waiting.
    pub fn unread_requests(&self) -> Vec<Message> {
        let requests = self.events.try_iter().filter_map(|event| match event {
            ServerEvent::Request(message) => Some(message),
            ServerEvent::ConnectionClosed => None,
        });
        requests.collect()
    }
}

impl<S: Fn(usize) -> Reply> SharedState<S> {
    /// Serves the requests of one connection.
    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(message) = read_message(&mut reader) {
            let _ = self.events.send(ServerEvent::Request(message));
            let number = self.requests.fetch_add(1, Ordering::SeqCst);
            if send_reply((self.script)(number), &mut reader, &mut writer).is_break() {
                return;
            }
        }
        let _ = self.events.send(ServerEvent::ConnectionClosed);
    }
}

/// Sends a reply; returns `Break` if the server is to close the connection afterwards. Write errors are
/// ignored, as the gateway may have closed the connection.
fn send_reply(reply: Reply, reader: &mut BufReader<TcpStream>, writer: &mut TcpStream) -> ControlFlow<()> {
    match reply {
        Reply::Response { head, body } => {
            let length = body.len();
            let _ = write!(writer, "HTTP/1.1 {head}\r\nContent-Length: {length}\r\n\r\n");
            let _ = writer.write_all(&body);
        }
        Reply::Raw(text) => {
            let _ = writer.write_all(text.as_bytes());
        }
        Reply::RawTwice { text, delay } => write_twice(writer, &text, delay),
        Reply::RawThenClose(text) => {
            let _ = writer.write_all(text.as_bytes());
            return ControlFlow::Break(());
        }
        Reply::ResponseThenClose => {
            let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            return ControlFlow::Break(());
        }
        Reply::Hang => {
            let _ = reader.read_to_end(&mut Vec::new());
        }
    }
    ControlFlow::Continue(())
}

/// Writes a text, and again after `delay` unless the wait took twice that time or longer.
fn write_twice(writer: &mut TcpStream, text: &str, delay: Duration) {
    let _ = writer.write_all(text.as_bytes());
    let first_write = Instant::now();
    thread::sleep(delay);
    if first_write.elapsed() < delay * 2 {
        let _ = writer.write_all(text.as_bytes());
    }
}
