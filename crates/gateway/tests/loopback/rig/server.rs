//! Scripted servers behind the gateway; the shared counter is one of them.

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

/// What a server does with a request.
pub enum Reply {
    /// Sends a response with a body.
    Response {
        /// The status code and reason, and further header lines.
        head: &'static str,
        /// The body.
        body: Vec<u8>,
    },
    /// Writes this text as it is.
    Raw(String),
    /// Writes this text twice, unless a busy machine stretches the delay to more than double.
    RawTwice {
        /// The text.
        text: String,
        /// The time between the two writes.
        delay: Duration,
    },
    /// Writes this text and closes the connection.
    RawThenClose(&'static str),
    /// Sends a response, then closes the connection without having announced it.
    ResponseThenClose,
    /// Writes nothing until the gateway closes the connection.
    Hang,
}

impl Reply {
    /// A successful response with this body.
    pub fn ok(body: impl Into<Vec<u8>>) -> Reply {
        Reply::Response { head: "200 OK", body: body.into() }
    }

    /// A response with a status, further header lines and no body.
    pub fn empty(head: &'static str) -> Reply {
        Reply::Response { head, body: Vec::new() }
    }
}

/// What a server observed.
#[derive(Debug)]
pub enum ServerEvent {
    /// A request arrived.
    Request(Message),
    /// The gateway closed a connection.
    ConnectionClosed,
}

/// A scripted server.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// How many connections it has accepted.
    connections: Arc<AtomicUsize>,
    /// What it observed and no test has read yet.
    events: Receiver<ServerEvent>,
}

/// What the connections of one server share.
struct Shared<S> {
    /// Receives what is observed.
    events: Sender<ServerEvent>,
    /// Requests received so far.
    requests: AtomicUsize,
    /// Chooses the reply by the number of the request, from 0.
    script: S,
}

impl Server {
    /// Starts a server that replies to request 0, 1, ... as its script says.
    pub fn start(script: impl Fn(usize) -> Reply + Send + Sync + 'static) -> Server {
        Server::start_on(TcpListener::bind("127.0.0.1:0").unwrap(), script)
    }

    /// Starts a server on an existing listener.
    pub fn start_on(
        listener: TcpListener,
        script: impl Fn(usize) -> Reply + Send + Sync + 'static,
    ) -> Server {
        let address = listener.local_addr().unwrap();
        let (sender, events) = channel();
        let shared = Arc::new(Shared { events: sender, requests: AtomicUsize::new(0), script });
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

    /// Starts a server that never responds.
    pub fn silent() -> Server {
        Server::start(|_| Reply::Hang)
    }

    /// How many connections it has accepted.
    pub fn connection_count(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Waits for the next event.
    pub fn next_event(&self) -> ServerEvent {
        self.events.recv_timeout(EVENT_TIMEOUT).expect("the server observed nothing")
    }

    /// Waits for the next event, which must be a request.
    pub fn next_request(&self) -> Message {
        match self.next_event() {
            ServerEvent::Request(message) => message,
            ServerEvent::ConnectionClosed => panic!("a connection was closed where a request was expected"),
        }
    }

    /// Waits for the next request, passing over closed connections.
    pub fn next_request_on_any_connection(&self) -> Message {
        loop {
            if let ServerEvent::Request(message) = self.next_event() {
                return message;
            }
        }
    }

    /// Waits for the next event, which must be the end of a connection.
    pub fn expect_connection_closed(&self) {
        let event = self.next_event();
        assert!(
            matches!(event, ServerEvent::ConnectionClosed),
            "{event:?} where the end of a connection was expected"
        );
    }

    /// The events that no test has read yet.
    pub fn unread_events(&self) -> Vec<ServerEvent> {
        self.events.try_iter().collect()
    }

    /// The requests among the events that no test has read yet.
    pub fn unread_requests(&self) -> Vec<Message> {
        let requests = self.events.try_iter().filter_map(|event| match event {
            ServerEvent::Request(message) => Some(message),
            ServerEvent::ConnectionClosed => None,
        });
        requests.collect()
    }
}

impl<S: Fn(usize) -> Reply> Shared<S> {
    /// Replies to the requests of one connection.
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

/// Sends a reply; `Break` if the server closes the connection then. A gateway that is gone is no failure.
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

/// Writes a text, and once more after the delay if that took less than twice as long as asked.
fn write_twice(writer: &mut TcpStream, text: &str, delay: Duration) {
    let _ = writer.write_all(text.as_bytes());
    let first_write = Instant::now();
    thread::sleep(delay);
    if first_write.elapsed() < delay * 2 {
        let _ = writer.write_all(text.as_bytes());
    }
}
