use super::{AttemptConnection, AttemptTimes, OutgoingRequest, Pool, Upload, Upstream};
use crate::control::endpoint_list::ListedEndpoint;
use grebehook_core::{AttemptStatus, Endpoint, EndpointState, ServerId};
use std::time::{Duration, Instant};

/// A gateway that has no room for a connection has not found its server down.
#[test]
fn the_gateways_own_want_of_room_is_not_the_servers_fault() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let second = Duration::from_secs(1);
    let pool = Pool::new(0, second, second);
    let upstream = std::rc::Rc::new(Upstream::new(pool, 0, 1.0));
    let entry = Endpoint { server: ServerId(1), state: EndpointState::Ready, ..Endpoint::default() };
    upstream.pool.update(true, &[ListedEndpoint { address: ([127, 0, 0, 1], 1).into(), endpoint: entry }]);
    let out = OutgoingRequest {
        method: hyper::Method::GET,
        uri: hyper::Uri::from_static("/"),
        headers: hyper::HeaderMap::new(),
        body: std::rc::Rc::new(Upload::none()),
        client_has_left: Box::new(|| false),
    };
    let slot = AttemptConnection::default();
    let end = Instant::now() + second;
    let times = AttemptTimes { send_by: end, answer_by: end };
    let sent = upstream.exchange(ServerId(1), &slot, &out, times, None);
    assert_eq!(runtime.block_on(sent).status, AttemptStatus::NotSent);
}
