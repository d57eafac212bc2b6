use super::{AttemptConnection, AttemptDeadlines, OutgoingRequest, Pool, Upstream};
use crate::bodies::upload::Upload;
use crate::control::endpoint_list::ListedEndpoint;
use grebehook_core::{AttemptStatus, Endpoint, EndpointState, ServerId};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A gateway without capacity for another connection has not found its server unreachable.
#[test]
fn attempt_is_not_sent_when_the_pool_is_full_and_the_server_is_not_blamed() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let second = Duration::from_secs(1);
    let pool = Pool::new(0, second, second);
    let upstream = Rc::new(Upstream::new(pool, 0, 1.0));
    let endpoint = Endpoint { server: ServerId(1), state: EndpointState::Ready, ..Endpoint::default() };
    upstream.pool.update(true, &[ListedEndpoint { address: ([127, 0, 0, 1], 1).into(), endpoint }]);
    let request = OutgoingRequest {
        method: hyper::Method::GET,
        uri: hyper::Uri::from_static("/"),
        headers: hyper::HeaderMap::new(),
        body: Rc::new(Upload::empty()),
        client_has_disconnected: Box::new(|| false),
    };
    let connection = AttemptConnection::default();
    let deadline = Instant::now() + second;
    let times = AttemptDeadlines { send_by: deadline, answer_by: deadline };
    let exchange = upstream.exchange(ServerId(1), &connection, &request, times, None);
    assert_eq!(runtime.block_on(exchange).status, AttemptStatus::NotSent);
}
