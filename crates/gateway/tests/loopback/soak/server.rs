//! The servers of the soak, which record the attempts that they receive and behave at random.

use super::record::{ReceivedAttempt, Record};
use crate::rig::framing::Framing;
use crate::rig::message::{pattern, read_message};
use crate::rig::timestamped_stream::{enable_receive_timestamps, TimestampedStream};
use fastrand::Rng;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::ControlFlow;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Timeout recorded for an attempt without one: longer than any client timeout, so that the checks report
/// it.
const MISSING_TIMEOUT_MS: u64 = u64::MAX / 2;

/// Head of a chunked response.
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Upper bound of the time from the head of a malformed response to its malformed chunk.
const MAX_MALFORM_DELAY_MS: u64 = 1_200;
/// Length of a long body.
pub const LONG_BODY_BYTES: usize = 150 << 10;
/// Maximum number of parts of a long body, each of which is longer than what a server that hangs has written.
const MAX_LUMPS: usize = 4;
/// Upper bound of the pause before each part.
const MAX_LUMP_PAUSE_MS: u64 = 1_800;

/// The reaction of a server to an attempt.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    /// Responds with the header that proves that the request did not run.
    Reject,
    /// Responds with status 500.
    Fail,
    /// Closes the connection without a response.
    Close,
    /// Closes the connection in the middle of the response body.
    Truncate,
    /// Writes nothing and waits until the gateway closes the connection or sends more data.
    Hang,
    /// Writes part of a response of unknown length, then nothing.
    HangInResponse,
    /// Writes part of a chunked response, then a malformed chunk.
    Malform,
    /// Responds with a long body of unknown length, with pauses that may outlast the client.
    RespondSlowly,
    /// Responds with status 200 after less than 20 ms.
    Respond,
}

impl Behaviour {
    /// Chooses a behaviour at random, in most cases a successful response.
    fn random(rng: &mut Rng) -> Behaviour {
        match rng.u8(..100) {
            0..8 => Behaviour::Reject,
            8..14 => Behaviour::Fail,
            14..17 => Behaviour::Close,
            17..20 => Behaviour::Truncate,
            20..23 => Behaviour::Hang,
            23..25 => Behaviour::HangInResponse,
            25..28 => Behaviour::Malform,
            28..34 => Behaviour::RespondSlowly,
            _ => Behaviour::Respond,
        }
    }
}

/// Starts a server on a port that the system picks, and returns its address.
pub fn start_server(number: usize, record: Arc<Record>, seed: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    enable_receive_timestamps(&listener);
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (connection, stream) in listener.incoming().enumerate() {
            let record = record.clone();
            let rng = Rng::with_seed(seed ^ ((connection as u64) << 8));
            thread::spawn(move || serve(number, stream.unwrap(), &record, rng));
        }
    });
    address
}

/// Serves one connection until its end or a behaviour that closes it.
fn serve(server: usize, stream: TcpStream, record: &Record, mut rng: Rng) {
    stream.set_nodelay(true).unwrap();
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(TimestampedStream::new(stream));
    while reader.fill_buf().is_ok_and(|data| !data.is_empty()) {
        let first_byte_at = reader.get_ref().received_at();
        let Some(message) = read_message(&mut reader).filter(|message| message.complete) else { return };
        let behaviour = Behaviour::random(&mut rng);
        let timeout_ms = message.client_timeout_ms().unwrap_or(MISSING_TIMEOUT_MS);
        let request_id = message.header("x-call-id").to_owned();
        record.attempts.lock().unwrap().push(ReceivedAttempt {
            request_id: request_id.clone(),
            server,
            first_byte_at,
            complete_at: reader.get_ref().received_at(),
            forwarded_timeout: Duration::from_millis(timeout_ms),
            rejected: behaviour == Behaviour::Reject,
            responds_slowly: behaviour == Behaviour::RespondSlowly,
        });
        if react(behaviour, &mut reader, &mut writer, &request_id, &mut rng).is_break() {
            return;
        }
    }
}

/// Answers an attempt. Returns `Break` if the connection is to be closed.
fn react(
    behaviour: Behaviour,
    reader: &mut BufReader<TimestampedStream>,
    writer: &mut TcpStream,
    request_id: &str,
    rng: &mut Rng,
) -> ControlFlow<()> {
    let written = match behaviour {
        Behaviour::Reject => {
            write!(writer, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
        }
        Behaviour::Fail => write!(writer, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"),
        Behaviour::Respond => respond(writer, request_id, rng),
        Behaviour::Close => return ControlFlow::Break(()),
        Behaviour::Truncate => {
            let _ = write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nhalf");
            return ControlFlow::Break(());
        }
        Behaviour::Hang => {
            let _ = reader.fill_buf();
            return ControlFlow::Break(());
        }
        Behaviour::HangInResponse => {
            let _ = write!(writer, "{CHUNKED_HEAD}4\r\nhalf\r\n");
            let _ = reader.fill_buf();
            return ControlFlow::Break(());
        }
        Behaviour::Malform => {
            let _ = malform(writer, rng);
            return ControlFlow::Break(());
        }
        Behaviour::RespondSlowly => {
            let _ = respond_slowly(writer, rng);
            return ControlFlow::Break(());
        }
    };
    if written.is_ok() {
        ControlFlow::Continue(())
    } else {
        ControlFlow::Break(())
    }
}

/// Writes the head of a response and, after a while, a sound and a malformed chunk.
fn malform(writer: &mut TcpStream, rng: &mut Rng) -> std::io::Result<()> {
    write!(writer, "{CHUNKED_HEAD}")?;
    thread::sleep(Duration::from_millis(rng.u64(..MAX_MALFORM_DELAY_MS)));
    write!(writer, "4\r\nhalf\r\nzz\r\n")
}

/// Responds with a long body in lumps, the first of which may come late.
fn respond_slowly(writer: &mut TcpStream, rng: &mut Rng) -> std::io::Result<()> {
    let framing = if rng.bool() { Framing::Chunked } else { Framing::Close };
    writer.write_all(framing.head().as_bytes())?;
    let body = pattern(LONG_BODY_BYTES);
    let lumps = rng.usize(1..=MAX_LUMPS);
    for lump in body.chunks(LONG_BODY_BYTES.div_ceil(lumps)) {
        thread::sleep(Duration::from_millis(rng.u64(..MAX_LUMP_PAUSE_MS)));
        writer.write_all(&framing.encode(lump))?;
    }
    framing.end(writer)
}

/// Responds after less than 20 ms with the id of the request as the body.
fn respond(writer: &mut TcpStream, request_id: &str, rng: &mut Rng) -> std::io::Result<()> {
    thread::sleep(Duration::from_millis(rng.u64(..20)));
    let length = request_id.len();
    write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{request_id}")
}
