//! HTTP server shared by the stubs: a loopback listener that passes each call to a handler.

use super::traffic::{CountedStream, Traffic};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay before the next `accept` after a failed one.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// HTTP response of a stub.
pub type StubResponse = Response<Full<Bytes>>;

/// Returns a response with the status 200 and a body.
pub fn response(body: impl Into<Bytes>) -> StubResponse {
    Response::new(Full::new(body.into()))
}

/// Returns the value of a parameter in a request's query, without percent-decoding.
pub fn query_parameter<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Listens on a free loopback port, passes every call to the handler and returns the listener's address.
pub async fn listen<H, F>(traffic: Arc<Traffic>, handler: H) -> io::Result<SocketAddr>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = StubResponse> + Send + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(accept_connections(listener, traffic, handler));
    Ok(address)
}

/// Accepts connections and serves each in a separate task.
async fn accept_connections<H, F>(listener: TcpListener, traffic: Arc<Traffic>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = StubResponse> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve_connection(stream, traffic.clone(), handler.clone()))),
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Serves one connection. Its errors are ignored, because a broken connection affects only its gateway.
async fn serve_connection<H, F>(stream: TcpStream, traffic: Arc<Traffic>, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = StubResponse>,
{
    let _ = stream.set_nodelay(true);
    let stream = CountedStream { stream, traffic: traffic.clone() };
    let service = service_fn(|request| {
        traffic.record_call();
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}
