//! Server for client connections: accepts them and serves their requests.

use crate::bodies::size::CLIENT_BUFFER_BYTES;
use crate::clients::accept_error::{AcceptErrorHandler, AcceptRecovery, REPEATED_ERROR_BACKOFF};
use crate::clients::connection::ClientConnection;
use crate::clients::connection_table::ConnectionTable;
use crate::clients::request_handler::RequestHandler;
use crate::clients::request_head::RequestHeadParser;
use crate::clients::response::{announce_close, ResponseBody};
use crate::clients::stream::transport::ClientStreamIo;
use crate::driver::decision_driver::DecisionDriver;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// Interval between checks for connections whose timeouts have expired.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum backoff after an error of `accept` while the backlog is emptied before the listener closes.
const MAX_BACKLOG_BACKOFF: Duration = Duration::from_millis(1);

/// Accepts and serves all client connections.
pub struct ClientServer {
    connections: ConnectionTable,
    handler: RequestHandler,
    accept_error_handler: AcceptErrorHandler,
    /// Whether connections close after their current request.
    stopping: Cell<bool>,
    /// Whether another process accepts new connections.
    handed_over: Cell<bool>,
}

impl ClientServer {
    /// Creates a server of at most `max_connections` connections, which buffers request bodies in at most
    /// `body_memory_bytes` of memory.
    pub fn new(
        driver: Rc<DecisionDriver>,
        head_parser: RequestHeadParser,
        max_connections: usize,
        body_memory_bytes: usize,
    ) -> Rc<ClientServer> {
        Rc::new(ClientServer {
            connections: ConnectionTable::new(max_connections),
            handler: RequestHandler::new(driver, head_parser, body_memory_bytes),
            accept_error_handler: AcceptErrorHandler::default(),
            stopping: Cell::new(false),
            handed_over: Cell::new(false),
        })
    }

    /// Changes the limits on connections and on the memory for request bodies.
    pub fn set_limits(&self, max_connections: usize, body_memory_bytes: usize) {
        self.connections.set_limit(max_connections);
        self.handler.set_body_memory(body_memory_bytes);
    }

    /// Accepts connections until the future is dropped.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let mut consecutive_errors = 0;
        loop {
            match listener.accept().await {
                // The connection is served before another one is evicted, since a request on it may already
                // count as accepted.
                Ok((stream, _)) => {
                    consecutive_errors = 0;
                    self.serve_in_background(stream);
                }
                Err(error) => {
                    consecutive_errors += 1;
                    let recovery = self.accept_error_handler.recovery(&error, consecutive_errors);
                    self.recover(recovery, Duration::MAX).await;
                }
            }
            self.evict_to_limit().await;
        }
    }

    /// Accepts the connections waiting in the listener's backlog, since a request there may count as
    /// accepted. This calls the operating system directly, because the runtime's readiness is only as recent
    /// as its last poll for events. Errors are retried until the deadline, with a short backoff, because there is little
    /// time left.
    pub async fn accept_backlog(self: &Rc<Self>, listener: &std::net::TcpListener, deadline: Instant) {
        let mut consecutive_errors = 0;
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    consecutive_errors = 0;
                    let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    if let Ok(stream) = stream {
                        self.serve_in_background(stream);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) if Instant::now() >= deadline => return,
                Err(error) => {
                    consecutive_errors += 1;
                    let recovery = self.accept_error_handler.recovery(&error, consecutive_errors);
                    self.recover(recovery, MAX_BACKLOG_BACKOFF).await;
                }
            }
        }
    }

    /// Closes connections whose timeouts have expired, until the future is dropped.
    pub async fn close_expired_connections(self: Rc<Self>) {
        loop {
            sleep(EXPIRY_CHECK_INTERVAL).await;
            self.connections.close_expired();
        }
    }

    /// Returns whether new client connections are accepted.
    pub fn is_accepting(&self) -> bool {
        !self.stopping.get() && !self.handed_over.get()
    }

    /// Sets whether another process accepts client connections from now on.
    pub fn set_handed_over(&self, handed_over: bool) {
        self.handed_over.set(handed_over);
    }

    /// Closes all connections after their current request, and idle ones at once. Later connections close
    /// after their first request.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.connections.drain();
    }

    /// Closes connections that have no request in progress and none arriving.
    pub fn close_idle(&self) {
        self.connections.close_idle();
    }

    /// Closes all connections on which no response is being delivered, even in the middle of a request.
    pub fn abort_undelivering(&self) {
        self.connections.abort_undelivering();
    }

    /// Returns the time at which the last connection was accepted.
    pub fn last_accepted_at(&self) -> Instant {
        self.connections.last_accepted_at()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Waits until no connection is open.
    pub async fn wait_until_empty(&self) {
        self.connections.wait_until_empty().await;
    }

    /// Recovers from an error of `accept`: evicts a connection if necessary, and backs off for at most `max_backoff`.
    async fn recover(&self, recovery: Option<AcceptRecovery>, max_backoff: Duration) {
        let Some(recovery) = recovery else { return };
        if recovery.evict_connection {
            let _ = self.connections.evict_one();
        }
        sleep(recovery.backoff.min(max_backoff)).await;
    }

    /// Evicts connections until no more than allowed are open, but for a few that are closing: a new one need not wait
    /// for the tasks of all others, among which an evicted one gets its turn.
    async fn evict_to_limit(&self) {
        while !self.connections.evict_excess() {
            // A connection that closed earlier may have triggered the notification.
            let _ = timeout(REPEATED_ERROR_BACKOFF, self.connections.connection_closed()).await;
        }
    }

    /// Serves an accepted connection in a separate task.
    fn serve_in_background(self: &Rc<Self>, stream: TcpStream) {
        // This fails only on a broken connection, which the first read reports.
        let _ = stream.set_nodelay(true);
        let client = self.connections.insert(stream);
        let server = self.clone();
        tokio::task::spawn_local(async move {
            server.serve(&client).await;
            server.connections.remove(&client);
        });
    }

    /// Serves the requests on a connection until it closes.
    async fn serve(self: &Rc<Self>, client: &Rc<ClientConnection>) {
        let service = service_fn(|request| {
            let server = self.clone();
            let client = client.clone();
            async move { Ok::<_, Infallible>(server.respond(&client, request).await) }
        });
        let mut connection = pin!(http1::Builder::new()
            .keep_alive(!self.stopping.get())
            .max_buf_size(CLIENT_BUFFER_BYTES)
            .writev(false)
            .serve_connection(TokioIo::new(ClientStreamIo(client.stream.clone())), service));
        let may_have_input = loop {
            tokio::select! {
                // A broken connection affects no other client. hyper itself responds to requests that it
                // cannot parse.
                result = connection.as_mut() => {
                    break result.is_err() || client.must_discard_input() || client.stream.has_unread_input();
                }
                () = client.drain_signalled() => if client.may_drain() {
                    connection.as_mut().graceful_shutdown();
                },
                () = client.close_signalled() => {
                    if client.may_close() {
                        return;
                    }
                    client.cancel_close();
                }
            }
        };
        if may_have_input {
            tokio::select! {
                () = client.stream.lingering_close() => {}
                () = client.close_signalled() => {}
            }
        }
    }

    /// Returns the response to a request, which announces the close of the connection if the server is
    /// stopping. A client that sends many requests at once waits for others between them.
    async fn respond(
        &self,
        client: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        if client.stream.ends_turn() {
            yield_now().await;
        }
        let mut response = self.handler.respond(client, request).await;
        if self.stopping.get() {
            announce_close(&mut response);
        }
        response
    }
}
