use super::{AttemptConnection, AttemptDeadlines, AttemptResponse, OutgoingRequest, Pool, Upstream};
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

/// Longer than any test.
const MAX_TIME: Duration = Duration::from_secs(10);

/// Makes one attempt at the server at an address, over at most this many connections.
async fn exchange(
    address: SocketAddr,
    max_connections: usize,
    send_by: Instant,
    client_has_disconnected: impl Fn() -> bool + 'static,
) -> AttemptResponse {
    let pool = Pool::new(max_connections, MAX_TIME, MAX_TIME);
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
    let times = AttemptDeadlines { send_by, answer_by: Instant::now() + MAX_TIME };
    upstream.exchange(ServerId(1), &connection, &request, times, None).await
}

/// Runs a test's future.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(test));
}

/// The bytes that a server receives at once on its first connection.
async fn received_by(listener: &TcpListener) -> usize {
    let (mut stream, _) = listener.accept().await.unwrap();
    stream.read(&mut [0; 64]).await.unwrap()
}

/// A client that never disconnects. The look at it with this number, counted from 0, takes this long, as if the process
/// waited for a core.
fn slow_look(number: u32, wait: Duration) -> impl Fn() -> bool {
    let looks = Cell::new(0);
    move || {
        if looks.replace(looks.get() + 1) == number {
            std::thread::sleep(wait);
        }
        false
    }
}

/// A gateway without capacity for another connection has not found its server unreachable.
#[test]
fn attempt_is_not_sent_when_the_pool_is_full_and_the_server_is_not_blamed() {
    run(async {
        let send_by = Instant::now() + MAX_TIME;
        let response = exchange(([127, 0, 0, 1], 1).into(), 0, send_by, || false).await;
        assert_eq!(response.status, AttemptStatus::NotSent);
    });
}

/// Guards against a client that disconnects, as the gateway waits for a core, between the last look at it and the write.
#[test]
fn nothing_is_written_for_a_client_that_disconnected_just_before() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let looks = Cell::new(0);
        let disconnects_after_two_looks = move || looks.replace(looks.get() + 1) >= 2;
        let send_by = Instant::now() + MAX_TIME;
        let address = listener.local_addr().unwrap();
        let attempt = exchange(address, 1, send_by, disconnects_after_two_looks);
        let (response, received) = tokio::join!(attempt, received_by(&listener));
        assert_eq!((received, response.status), (0, AttemptStatus::NotSent));
    });
}

/// Guards against a forwarded time that was taken long before the write, as the gateway waits for a core in between.
#[test]
fn nothing_is_written_with_a_forwarded_time_that_is_out_of_date() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let waits_at_the_write = slow_look(2, Duration::from_millis(200));
        let address = listener.local_addr().unwrap();
        let attempt = exchange(address, 1, Instant::now() + MAX_TIME, waits_at_the_write);
        let (response, received) = tokio::join!(attempt, received_by(&listener));
        assert_eq!((received, response.status), (0, AttemptStatus::NotSent));
    });
}

/// Guards against an attempt that is written after its deduplication window, as the gateway waits for a core just before.
#[test]
fn nothing_is_written_once_the_time_to_send_is_over() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let waits_at_the_second_look = slow_look(1, Duration::from_millis(300));
        let send_by = Instant::now() + Duration::from_millis(200);
        let address = listener.local_addr().unwrap();
        let attempt = exchange(address, 1, send_by, waits_at_the_second_look);
        let (response, received) = tokio::join!(attempt, received_by(&listener));
        assert_eq!((received, response.status), (0, AttemptStatus::NotSent));
    });
}
