//! Clients: takes their connections in, reads their requests and writes the one answer to each.

use crate::bodies::buffering::read_up_to_limit;
use crate::bodies::download::ResponseContent;
use crate::bodies::size::MAX_BUFFERED_BODY_BYTES;
use crate::bodies::upload::Upload;
use crate::clients::connection::ClientConnection;
use crate::clients::eviction::{self, Candidate};
use crate::clients::request_error::RequestError;
use crate::clients::request_head::RequestHeadReader;
use crate::clients::response::{error_response, plain, reply, ResponseBody};
use crate::clients::stream::{ClientStreamIo, Framing};
use crate::driver::decision_driver::DecisionDriver;
use crate::driver::request::Answer;
use crate::network::headers::{self, InvalidHeader};
use crate::network::repeat_limiter::RepeatLimiter;
use crate::network::system_error::{is_descriptor_limit, is_exhaustion};
use crate::operations::request_counts::RequestCounterGuard;
use crate::servers::attempt::OutgoingRequest;
use grebehook_core::RequestId;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::pending;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::time::{sleep, timeout, timeout_at};
use tracing::warn;

/// hyper's buffer for one connection, at most.
const BUFFER_MOST: usize = 32 << 10;
/// Largest body of a request.
const MAX_REQUEST_BODY_BYTES: u64 = 32 << 20;
/// Bodies up to here need no room of their own: hyper's buffer has held them already.
const SMALL: u64 = 4 << 10;
/// The pause after an accept error that may last, such as having no descriptor left...
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// ...and after the first, which may have passed in a moment.
const ACCEPT_FIRST_PAUSE: Duration = Duration::from_millis(1);
/// So often in a row a want of the whole system is waited out before a client's connection is closed for it.
const SYSTEM_ERRORS_BORNE: u32 = 5;
/// Errors of single connections that are passed over one after another before there is a pause.
const ACCEPT_ERRORS_AT_ONCE: u32 = 32;
/// How often connections are looked over for those that have had their time.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// How often the client of a long body that nobody takes yet is looked after.
const DEPARTURE_CHECK: Duration = Duration::from_millis(50);
/// Where the platform asks whether requests can be served.
const HEALTH: &str = "/_health";

/// All connections of clients.
pub struct ClientServer {
    driver: Rc<DecisionDriver>,
    head_reader: RequestHeadReader,
    max_connections: usize,
    /// Room for what is held of clients' bodies, in KiB.
    body_memory: Arc<Semaphore>,
    clients: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    next_key: Cell<u64>,
    last_accepted_at: Cell<Instant>,
    accept_errors: RepeatLimiter,
    stopping: Cell<bool>,
    handed_over: Cell<bool>,
    connection_closed: Notify,
}

impl ClientServer {
    /// A front that takes in at most `most` connections, and holds at most `room` bytes of their bodies.
    pub fn new(
        core: Rc<DecisionDriver>,
        terms: RequestHeadReader,
        most: usize,
        room: usize,
    ) -> Rc<ClientServer> {
        Rc::new(ClientServer {
            driver: core,
            head_reader: terms,
            max_connections: most,
            body_memory: Arc::new(Semaphore::new(room.max(MAX_BUFFERED_BODY_BYTES) >> 10)),
            clients: RefCell::default(),
            next_key: Cell::new(0),
            last_accepted_at: Cell::new(Instant::now()),
            accept_errors: RepeatLimiter::default(),
            stopping: Cell::new(false),
            handed_over: Cell::new(false),
            connection_closed: Notify::new(),
        })
    }

    /// Accepts connections for ever; no error of one ends that.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let mut failed_in_a_row = 0;
        loop {
            match listener.accept().await {
                // It is taken in before room is made: a request on it may count as taken already.
                Ok((stream, _)) => {
                    failed_in_a_row = 0;
                    self.accept_connection(stream);
                }
                Err(e) => {
                    failed_in_a_row += 1;
                    self.back_off_after_accept_error(&e, failed_in_a_row).await;
                }
            }
            while self.clients.borrow().len() > self.max_connections {
                // One at a time: what `freed` tells of may have gone before.
                if !self.clients.borrow().values().any(|c| c.closing.get()) {
                    self.evict_one();
                }
                let _ = timeout(ACCEPT_PAUSE, self.connection_closed.notified()).await;
            }
        }
    }

    /// Takes in what the machine has already accepted for us, and closes the listener: a request on it may count
    /// as taken. The system is asked, since what the runtime knows is as old as its last look at its events. Errors
    /// that may pass are borne until the time given.
    pub async fn accept_rest(self: &Rc<Self>, listener: TcpListener, until: Instant) {
        let Ok(listener) = listener.into_std() else { return };
        let mut failed_in_a_row = 0;
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    failed_in_a_row = 0;
                    let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    stream.into_iter().for_each(|stream| self.accept_connection(stream));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) if Instant::now() >= until => return,
                Err(e) => {
                    failed_in_a_row += 1;
                    self.back_off_after_accept_error(&e, failed_in_a_row).await;
                }
            }
        }
    }

    /// Waits as long as an error of `accept` asks for, of so many in a row. One of a connection or of the network says
    /// nothing of the connections behind it. Where descriptors or memory are short, the connections wait in the
    /// backlog, and room is made for them if that lasts.
    async fn back_off_after_accept_error(&self, error: &io::Error, failed_in_a_row: u32) {
        let exhausted = is_exhaustion(error);
        if !exhausted && !failed_in_a_row.is_multiple_of(ACCEPT_ERRORS_AT_ONCE) {
            return;
        }
        if let Some(suppressed) = self.accept_errors.admit(Instant::now()) {
            warn!(suppressed, "a connection could not be accepted: {error}");
        }
        let patience = if is_descriptor_limit(error) { 1 } else { SYSTEM_ERRORS_BORNE };
        if exhausted && failed_in_a_row > patience {
            self.evict_one();
        }
        sleep(if failed_in_a_row > 1 { ACCEPT_PAUSE } else { ACCEPT_FIRST_PAUSE }).await;
    }

    /// Closes one connection without a request in work, if [`eviction`] names one.
    fn evict_one(&self) {
        let clients = self.clients.borrow();
        let idle = clients.iter().filter(|(_, client)| client.is_idle() && !client.closing.get());
        let candidates: Vec<Candidate> = idle
            .map(|(key, client)| Candidate {
                key: *key,
                has_sent_request: client.has_sent_request.get(),
                has_begun: client.stream.request_began_at().is_some(),
                last_heard: client.stream.last_read_at(),
                idle_since: client.idle_since.get(),
            })
            .collect();
        let has_unread = |key| clients.get(&key).is_some_and(|client| client.stream.has_unread_input());
        let evicted = eviction::select(&candidates, Instant::now(), self.max_connections, has_unread);
        if let Some(client) = evicted.and_then(|key| clients.get(&key)) {
            client.request_close();
        }
    }

    /// Closes connections that have had their time, for ever.
    pub async fn close_expired_connections(self: Rc<Self>) {
        loop {
            sleep(LOOK_EVERY).await;
            let now = Instant::now();
            for client in self.clients.borrow().values().filter(|c| c.is_expired(now)) {
                // A request that has just come is not cut off for the silence before it.
                if client.stream.request_began_at().is_some() || !client.stream.has_unread_input() {
                    client.request_close();
                }
            }
        }
    }

    /// Whether clients that come are taken in.
    pub fn accepting(&self) -> bool {
        !self.stopping.get() && !self.handed_over.get()
    }

    /// Whether another process takes clients in from now on.
    pub fn hand_over(&self, handed_over: bool) {
        self.handed_over.set(handed_over);
    }

    /// From now on connections end with their current request, and idle ones end at once.
    pub fn stop(&self) {
        self.stopping.set(true);
        for client in self.clients.borrow().values() {
            client.drain.notify_one();
        }
    }

    /// Closes connections that have no request in work and none on its way.
    pub fn close_idle(&self) {
        let clients = self.clients.borrow();
        let idle = clients
            .values()
            .filter(|c| c.is_idle() && c.stream.request_began_at().is_none() && !c.stream.has_unread_input());
        idle.for_each(|c| c.request_close());
    }

    /// When a connection was last taken in.
    pub fn last_accepted(&self) -> Instant {
        self.last_accepted_at.get()
    }

    /// Waits until no connection is left.
    pub async fn wait_until_empty(&self) {
        while !self.clients.borrow().is_empty() {
            self.connection_closed.notified().await;
        }
    }

    fn accept_connection(self: &Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        self.last_accepted_at.set(Instant::now());
        let client = ClientConnection::new(stream);
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        self.clients.borrow_mut().insert(key, client.clone());
        let front = self.clone();
        tokio::task::spawn_local(async move {
            front.serve(&client).await;
            front.clients.borrow_mut().remove(&key);
            front.connection_closed.notify_one();
        });
    }

    async fn serve(self: &Rc<Self>, client: &Rc<ClientConnection>) {
        let service = service_fn(|request| {
            let (front, client) = (self.clone(), client.clone());
            async move { Ok::<_, Infallible>(front.respond(&client, request).await) }
        });
        let mut connection = pin!(http1::Builder::new()
            .keep_alive(!self.stopping.get())
            .max_buf_size(BUFFER_MOST)
            .writev(false)
            .serve_connection(TokioIo::new(ClientStreamIo(client.stream.clone())), service));
        let read_out = loop {
            tokio::select! {
                // A connection that broke concerns its client alone. hyper answers what it cannot read.
                ended = connection.as_mut() => break ended.is_err() || client.input_unreadable.get(),
                () = client.drain.notified() => if client.may_drain() {
                    connection.as_mut().graceful_shutdown();
                },
                () = client.close.notified() => {
                    if client.may_close() {
                        return;
                    }
                    client.closing.set(false);
                }
            }
        };
        if read_out {
            tokio::select! {
                () = client.stream.linger() => {}
                () = client.close.notified() => {}
            }
        }
    }

    async fn respond(
        self: &Rc<Self>,
        client: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let (length, chunked) =
            (request.body().size_hint().exact(), request.body().size_hint().exact().is_none());
        let bare = request.body().is_end_stream();
        let (mut response, close) = if request.uri().path() == HEALTH {
            client.has_sent_request.set(true);
            (plain(StatusCode::OK, ""), !bare)
        } else {
            match self.admit(client, request).await {
                Ok((answer, taken, upload)) => {
                    // What is left of a body that nobody needs any more is read, but not as a request.
                    client.input_unreadable.set(!upload.is_read_to_end() || !client.stream.wait_readable());
                    // Where a chunked body ends in the connection's bytes is hyper's to know.
                    (
                        reply(answer, taken),
                        chunked || !upload.is_read_to_end() || !client.stream.wait_readable(),
                    )
                }
                Err(fault) => {
                    // What is left of a body is not read, so no further request can be found behind it.
                    let close = !bare
                        || matches!(
                            fault,
                            RequestError::AmbiguousBodyLength | RequestError::ClientDisconnected
                        );
                    client.input_unreadable.set(close);
                    (error_response(&fault), close)
                }
            }
        };
        if let ResponseContent::Forwarded(_) = response.body().body {
            client.answer_streaming.set(true);
            response.body_mut().client = Some(client.clone());
        }
        client.request_in_progress.set(false);
        client.idle_since.set(Instant::now());
        client.stream.next_request(length.unwrap_or(0) as usize);
        if self.stopping.get() || close {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Reads a request whole, hands it to the core and waits for its answer.
    async fn admit(
        self: &Rc<Self>,
        client: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> Result<(Answer, RequestCounterGuard, Rc<Upload>), RequestError> {
        let (head, body) = request.into_parts();
        // hyper has dropped one of the two headers by now, but not from the bytes as they came.
        let coded = head.headers.contains_key(TRANSFER_ENCODING);
        match client.stream.framing() {
            Some(Framing { length: true, coding: true }) => return Err(RequestError::AmbiguousBodyLength),
            None if coded => return Err(RequestError::AmbiguousBodyLength),
            _ => {}
        }
        let terms = self.head_reader.read(&head.method, &head.headers)?;
        let length = body.size_hint().exact();
        if length.is_some_and(|n| n > MAX_REQUEST_BODY_BYTES) {
            return Err(RequestError::BodyTooLarge);
        }
        let body = if body.is_end_stream() {
            Upload::empty()
        } else {
            let read = timeout_at(client.request_deadline().into(), self.upload(body)).await;
            read.map_err(|_| RequestError::BodyIncomplete)?.ok_or(RequestError::BodyIncomplete)?
        };
        if head.method == Method::GET && body.length() != Some(0) {
            return Err(InvalidHeader(CONTENT_LENGTH).into());
        }
        let body = Rc::new(body);
        let call = headers::single(&head.headers, headers::REQUEST_ID)?.clone();
        let mut outgoing_headers = head.headers;
        headers::remove_hop_by_hop(&mut outgoing_headers);
        outgoing_headers.remove(EXPECT);
        let uri = match head.uri.path_and_query().filter(|_| head.uri.authority().is_some()) {
            Some(path) => Uri::from(path.clone()),
            None => head.uri,
        };
        let (wire, coming) = (client.stream.clone(), body.clone());
        // Once its body goes on, hyper reads the connection and finds its end.
        let client_has_left =
            Box::new(move || if coming.is_read_to_end() { wire.has_left() } else { wire.end_is_announced() });
        if client_has_left() {
            return Err(RequestError::ClientDisconnected);
        }
        let outgoing = OutgoingRequest {
            method: head.method,
            uri,
            headers: outgoing_headers,
            body: body.clone(),
            client_has_left,
        };
        let (id, answer, taken) =
            self.driver.submit(call, terms, outgoing).ok_or(RequestError::DuplicateId)?;
        client.request_in_progress.set(true);
        client.has_sent_request.set(true);
        // hyper drops this future when it finds the connection closed.
        let left = Left { core: &self.driver, id };
        let departed = async {
            if body.is_incomplete() {
                departed_before_upload(client, &body).await;
            } else {
                client.stream.client_left().await;
            }
        };
        let answer = tokio::select! {
            biased;
            answer = answer => answer.unwrap_or(Answer::Failed),
            // It may have ended its own side alone, and still read.
            () = departed => if left.unsent() { Answer::Rejected(None) } else { Answer::Failed },
        };
        Ok((answer, taken, body))
    }

    /// Reads a body whole if it is short, or else as much of it as is held. It waits for room to do so.
    async fn upload(&self, body: Incoming) -> Option<Upload> {
        let length = body.size_hint().exact();
        let held = length.unwrap_or(MAX_BUFFERED_BODY_BYTES as u64).min(MAX_BUFFERED_BODY_BYTES as u64);
        let room = match held {
            0..=SMALL => None,
            _ => Some(self.body_memory.clone().acquire_many_owned(held.div_ceil(1 << 10) as u32).await.ok()?),
        };
        let body = read_up_to_limit(body).await.ok()?;
        Some(Upload::new(body, length, room))
    }
}

/// Waits until the client of a long body ends its side, for as long as no attempt has taken any of the body.
async fn departed_before_upload(client: &ClientConnection, body: &Upload) {
    while !body.is_consumed() {
        if client.stream.end_is_announced() {
            return;
        }
        sleep(DEPARTURE_CHECK).await;
    }
    pending().await
}

/// Tells the core that a client left, unless its answer was there by then.
struct Left<'a> {
    core: &'a Rc<DecisionDriver>,
    id: RequestId,
}

impl Left<'_> {
    /// Tells it now; whether the request cannot have run.
    fn unsent(&self) -> bool {
        self.core.client_disconnected(self.id)
    }
}

impl Drop for Left<'_> {
    fn drop(&mut self) {
        self.core.client_disconnected(self.id);
    }
}
