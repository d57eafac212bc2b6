//! The crowd of a soak run: many clients that write slowly, stop in their requests, read nothing or send far more than a
//! request, beside those whose requests are checked.

use super::plan::milliseconds;
use crate::rig::crowd::Crowd;
use crate::rig::request::{
    idempotent_request, non_idempotent_request, with_client_timeout, with_framing, with_header_lines,
};
use fastrand::Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Maximum time for which the clients of a crowd stay connected.
const MAX_STAY_MS: u64 = 1_500;
/// Time without a gateway to connect to.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Maximum length of a body or of other input of a client.
const MAX_INPUT_BYTES: usize = 400 << 10;
/// Maximum number of short header fields.
const MAX_FIELDS: usize = 120;

/// Connects crowds of `count` clients, one after another, until `stop` is set.
pub fn run(address: SocketAddr, count: usize, timeout: Duration, mut rng: Rng, stop: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        let mut crowd = Crowd::connect_available(address, count, || input(&mut rng, timeout));
        if crowd.is_empty() {
            thread::sleep(RECONNECT_DELAY);
        }
        crowd.write_for(Duration::from_millis(rng.u64(..MAX_STAY_MS)), stop);
    }
}

/// Returns what one client writes.
fn input(rng: &mut Rng, timeout: Duration) -> Vec<u8> {
    let timeout_ms = milliseconds(timeout);
    let request = with_client_timeout(&idempotent_request(), timeout_ms);
    let post = with_client_timeout(&non_idempotent_request(""), timeout_ms);
    let length = rng.usize(..MAX_INPUT_BYTES);
    let body = vec![b'x'; rng.usize(..=length)];
    match rng.u8(..6) {
        0 => request.as_bytes()[..rng.usize(..request.len())].to_vec(),
        1 => {
            let lines: String =
                (0..rng.usize(..MAX_FIELDS)).map(|number| format!("a{number}: b\r\n")).collect();
            with_header_lines(&request, &lines).into_bytes()
        }
        2 => [with_framing(&post, &format!("Content-Length: {length}")).into_bytes(), body].concat(),
        3 => {
            let head = with_framing(&post, "Transfer-Encoding: chunked");
            [head.into_bytes(), format!("{length:x}\r\n").into_bytes(), body].concat()
        }
        4 => [request.into_bytes(), body].concat(),
        _ => request.repeat(rng.usize(1..40)).into_bytes(),
    }
}
