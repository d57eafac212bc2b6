//! Tests of the conditions under which an attempt is not sent.

use super::{AttemptConnection, AttemptDeadlines, AttemptOutcome, ConnectionPool, OutgoingRequest, Upstream};
use crate::bodies::upload::Upload;
use crate::control::endpoint_list::ListedEndpoint;
use grebehook_core::{AttemptStatus, Endpoint, EndpointState, ServerId};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Timeout that no test reaches.
const GENEROUS_TIMEOUT: Duration = Duration::from_secs(10);

/// Makes one attempt at the server at `address`, over a pool of at most `max_connections` connections.
async fn exchange(
    address: SocketAddr,
    max_connections: usize,
    send_deadline: Instant,
    client_has_disconnected: impl Fn() -> bool + 'static,
) -> AttemptOutcome {
    let pool = ConnectionPool::new(max_connections, GENEROUS_TIMEOUT, GENEROUS_TIMEOUT);
    let upstream = Rc::new(Upstream::new(pool, 0, 1.0));
    let endpoint = Endpoint { server: ServerId(1), state: EndpointState::Ready, ..Endpoint::default() };
    upstream.pool.update(true, &[ListedEndpoint { address, endpoint }]);
    let request = OutgoingRequest {
        method: hyper::Method::GET,
        uri: hyper::Uri::from_static("/"),
        headers: hyper::HeaderMap::new(),
        body: Rc::new(Upload::empty()),
        client_has_disconnected: Rc::new(client_has_disconnected),
    };
    let connection = AttemptConnection::default();
    let deadlines = AttemptDeadlines { send_deadline, response_deadline: Instant::now() + GENEROUS_TIMEOUT };
    upstream.exchange(ServerId(1), &connection, &request, deadlines, None).await
}

/// Runs a future on a single-threaded runtime.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(test));
}

/// Accepts a connection and returns the number of bytes that its first read receives.
async fn bytes_received_by(listener: &TcpListener) -> usize {
    let (mut stream, _) = listener.accept().await.unwrap();
    stream.read(&mut [0; 64]).await.unwrap()
}

/// Returns a check for a client that never disconnects. The call with the given index, counted from 0, blocks
/// for `delay`, as if the process waited for a CPU core.
fn delayed_client_check(index: u32, delay: Duration) -> impl Fn() -> bool {
    let checks = Cell::new(0);
    move || {
        if checks.replace(checks.get() + 1) == index {
            std::thread::sleep(delay);
        }
        false
    }
}

/// Guards against reporting a server as unreachable because the gateway has no capacity for another
/// connection.
#[test]
fn attempt_fails_as_not_sent_when_the_pool_is_full() {
    run(async {
        let send_deadline = Instant::now() + GENEROUS_TIMEOUT;
        let outcome = exchange(([127, 0, 0, 1], 1).into(), 0, send_deadline, || false).await;
        assert_eq!(outcome.status, AttemptStatus::NotSent);
    });
}

/// Guards against sending a request for a client that disconnects between the last check and the write, while
/// the gateway waits for a CPU core.
#[test]
fn nothing_is_written_for_a_client_that_has_just_disconnected() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let checks = Cell::new(0);
        let disconnects_after_two_checks = move || checks.replace(checks.get() + 1) >= 2;
        let send_deadline = Instant::now() + GENEROUS_TIMEOUT;
        let address = listener.local_addr().unwrap();
        let attempt = exchange(address, 1, send_deadline, disconnects_after_two_checks);
        let (outcome, received) = tokio::join!(attempt, bytes_received_by(&listener));
        assert_eq!((received, outcome.status), (0, AttemptStatus::NotSent));
    });
}

/// Guards against sending a forwarded timeout that was computed long before the write, because the gateway
/// waited for a CPU core in between.
#[test]
fn nothing_is_written_with_an_outdated_forwarded_timeout() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let delayed_at_the_write = delayed_client_check(2, Duration::from_millis(200));
        let address = listener.local_addr().unwrap();
        let attempt = exchange(address, 1, Instant::now() + GENEROUS_TIMEOUT, delayed_at_the_write);
        let (outcome, received) = tokio::join!(attempt, bytes_received_by(&listener));
        assert_eq!((received, outcome.status), (0, AttemptStatus::NotSent));
    });
}

/// Guards against writing an attempt after the end of its deduplication window, because the gateway waited
/// for a CPU core just before the write.
#[test]
fn nothing_is_written_after_the_send_deadline() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let delayed_at_the_second_check = delayed_client_check(1, Duration::from_millis(300));
        let send_deadline = Instant::now() + Duration::from_millis(200);
        let address = listener.local_addr().unwrap();
        let attempt = exchange(address, 1, send_deadline, delayed_at_the_second_check);
        let (outcome, received) = tokio::join!(attempt, bytes_received_by(&listener));
        assert_eq!((received, outcome.status), (0, AttemptStatus::NotSent));
    });
}
