//! The servers of the soak, which record the attempts that they receive and behave at random.

use super::record::{ReceivedAttempt, Record};
use crate::rig::message::read_message;
use crate::rig::timestamped_stream::{enable_receive_timestamps, TimestampedStream};
use fastrand::Rng;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The timeout recorded for an attempt without one: longer than any client timeout, so that the checks report
/// it.
const MISSING_TIMEOUT_MS: u64 = u64::MAX / 2;

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
        });
        let written = match behaviour {
            Behaviour::Reject => {
                write!(writer, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
            }
            Behaviour::Fail => write!(writer, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"),
            Behaviour::Respond => respond(&mut writer, &request_id, &mut rng),
            Behaviour::Close => return,
            Behaviour::Truncate => {
                let _ = write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nhalf");
                return;
            }
            Behaviour::Hang => {
                let _ = reader.fill_buf();
                return;
            }
        };
        if written.is_err() {
            return;
        }
    }
}

/// Responds after less than 20 ms with the id of the request as the body.
fn respond(writer: &mut TcpStream, request_id: &str, rng: &mut Rng) -> std::io::Result<()> {
    thread::sleep(Duration::from_millis(rng.u64(..20)));
    let length = request_id.len();
    write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{request_id}")
}
