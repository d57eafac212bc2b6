//! Memory of a gateway with the least memory and the most descriptors that a deployment gives it, while hundreds
//! of clients are connected at once that keep it busy for as long as possible.

use crate::rig::bulk_server::start_bulk_server;
use crate::rig::chunks::encode_chunk;
use crate::rig::crowd::Crowd;
use crate::rig::deployment::Deployment;
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::request::{idempotent_request, non_idempotent_request, with_framing, with_header_lines};
use std::net::{SocketAddr, TcpListener};

/// The least memory that a deployment gives a gateway, in megabytes.
const LEAST_MEMORY_MB: u64 = 32;
/// The most descriptors that a deployment gives a gateway.
const MOST_DESCRIPTORS: u32 = 1_024;
/// Bytes of a megabyte of the configuration.
const BYTES_PER_MB: u64 = 1_000_000;
/// Number of clients: nearly as many as a gateway with [`MOST_DESCRIPTORS`] has descriptors for.
const CLIENT_COUNT: usize = 470;
/// Length of the longest body that is buffered before it is forwarded.
const SHORT_BODY_BYTES: usize = 64 << 10;
/// Length of a body that is forwarded as it arrives.
const LONG_BODY_BYTES: usize = 1 << 20;
/// Number of short header fields of a head, which other limits on heads still allow.
const SHORT_FIELD_COUNT: usize = 85;

/// Starts a gateway in front of a server.
fn start_gateway(server: SocketAddr) -> GatewayProcess {
    Deployment::with_endpoint(server)
        .set("/limits/memory_mb", LEAST_MEMORY_MB)
        .configured_socket_limit(MOST_DESCRIPTORS)
        .descriptor_limit(MOST_DESCRIPTORS)
        .set("/settings/plans/0/rate", 1e6)
        .set("/settings/plans/0/depth", 1e6)
        .all_deadlines_us(8_000_000)
        .start()
}

/// Returns a server that takes connections and neither reads nor writes anything.
fn hanging_server() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Asserts that the process has never had more memory than its settings allow.
fn assert_memory_kept(gateway: &GatewayProcess, crowd: &str) {
    let peak = gateway.peak_resident_kib() * 1_024;
    let limit = LEAST_MEMORY_MB * BYTES_PER_MB;
    eprintln!("{crowd}: peak {peak} of {limit} bytes");
    assert!(peak <= limit, "{crowd}: {peak} bytes of memory, {limit} allowed");
}

/// Lets a crowd of clients write until nothing moves, and checks the memory.
fn assert_crowd_fits(gateway: &GatewayProcess, name: &str, input: impl FnMut() -> Vec<u8>) {
    let mut crowd = Crowd::connect(gateway.address, CLIENT_COUNT, input);
    crowd.write_until_at_rest();
    assert_memory_kept(gateway, name);
}

/// Returns a request that is safe to send again, with very many short header fields.
fn request_with_many_fields() -> String {
    let fields: String = (0..SHORT_FIELD_COUNT).map(|number| format!("a{number}: b\r\n")).collect();
    with_header_lines(&idempotent_request(), &fields)
}

/// Returns a request that has as many bytes of its body as `sent`, and announces `announced`.
fn request_with_partial_body(sent: usize, announced: usize) -> Vec<u8> {
    let head = with_framing(&non_idempotent_request(""), &format!("Content-Length: {announced}"));
    [head.into_bytes(), vec![b'x'; sent]].concat()
}

/// Returns a request with a chunked body that does not end.
fn request_with_endless_body() -> Vec<u8> {
    let head = with_framing(&non_idempotent_request(""), "Transfer-Encoding: chunked");
    [head.into_bytes(), encode_chunk(&vec![b'x'; LONG_BODY_BYTES])].concat()
}

/// Returns a successful response with a long body.
fn long_response() -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n");
    [head.into_bytes(), vec![b'x'; LONG_BODY_BYTES]].concat()
}

#[test]
fn hundreds_of_bodies_that_servers_do_not_read_fit_into_the_least_memory() {
    let server = hanging_server();
    let gateway = start_gateway(server.local_addr().unwrap());
    let short = || request_with_partial_body(SHORT_BODY_BYTES, SHORT_BODY_BYTES);
    assert_crowd_fits(&gateway, "short bodies", short);
    let long = || request_with_partial_body(LONG_BODY_BYTES, LONG_BODY_BYTES);
    assert_crowd_fits(&gateway, "long bodies", long);
    assert_crowd_fits(&gateway, "chunked bodies", request_with_endless_body);
}

#[test]
fn hundreds_of_clients_that_stop_in_their_bodies_fit_into_the_least_memory() {
    let server = start_bulk_server(long_response());
    let gateway = start_gateway(server);
    let short = || request_with_partial_body(SHORT_BODY_BYTES / 2, SHORT_BODY_BYTES);
    assert_crowd_fits(&gateway, "halves of short bodies", short);
    let long = || request_with_partial_body(LONG_BODY_BYTES / 2, LONG_BODY_BYTES);
    assert_crowd_fits(&gateway, "halves of long bodies", long);
}

#[test]
fn hundreds_of_heads_with_very_many_fields_fit_into_the_least_memory() {
    let server = hanging_server();
    let gateway = start_gateway(server.local_addr().unwrap());
    assert_crowd_fits(&gateway, "heads", || request_with_many_fields().into_bytes());
    let incomplete = || {
        let mut text = request_with_many_fields().repeat(40);
        text = text.replace("\r\n\r\n", "\r\n");
        text.truncate(LONG_BODY_BYTES);
        text.into_bytes()
    };
    assert_crowd_fits(&gateway, "heads without an end", incomplete);
}

#[test]
fn hundreds_of_long_answers_that_clients_do_not_read_fit_into_the_least_memory() {
    let server = start_bulk_server(long_response());
    let gateway = start_gateway(server);
    assert_crowd_fits(&gateway, "long answers", || idempotent_request().into_bytes());
    assert_crowd_fits(&gateway, "long answers to heads of many fields", || {
        request_with_many_fields().into_bytes()
    });
}
