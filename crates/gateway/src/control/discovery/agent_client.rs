//! HTTP client of a discovery agent.

use crate::control::discovery::error::WatchError;
use crate::network::socket::Socket;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Maximum size of a response body.
const MAX_ENDPOINT_LIST_BYTES: usize = 4 << 20;

/// HTTP client that keeps one connection to a discovery agent.
pub struct AgentClient {
    address: SocketAddr,
    /// Sender of the idle connection; `None` while no connection is open or a call is in flight.
    sender: Option<SendRequest<Empty<Bytes>>>,
}

impl AgentClient {
    /// Creates a client without opening a connection.
    pub fn new(address: SocketAddr) -> AgentClient {
        AgentClient { address, sender: None }
    }

    /// Returns the address of the discovery agent.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the connection; the next call opens a new one.
    pub fn disconnect(&mut self) {
        self.sender = None;
    }

    /// Sends a GET request and returns the body of the response. The connection is closed if the call fails
    /// or its future is dropped.
    pub async fn get(&mut self, path: &str) -> Result<Bytes, WatchError> {
        let mut sender = match self.sender.take().filter(SendRequest::is_ready) {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let request = Request::get(path).header(HOST, self.address.to_string()).body(Empty::new());
        let response =
            sender.send_request(request.map_err(WatchError::Request)?).await.map_err(WatchError::Http)?;
        if response.status() != 200 {
            return Err(WatchError::Status(response.status().as_u16()));
        }
        let body = Limited::new(response.into_body(), MAX_ENDPOINT_LIST_BYTES).collect().await;
        let body = body.map_err(WatchError::Body)?.to_bytes();
        self.sender = Some(sender);
        Ok(body)
    }

    async fn connect(&self) -> Result<SendRequest<Empty<Bytes>>, WatchError> {
        let stream = TcpStream::connect(self.address).await.map_err(WatchError::Connect)?;
        stream.set_nodelay(true).map_err(WatchError::Connect)?;
        let io = TokioIo::new(Socket::new(stream));
        let (sender, connection) = http1::handshake(io).await.map_err(WatchError::Http)?;
        tokio::task::spawn_local(connection);
        Ok(sender)
    }
}
