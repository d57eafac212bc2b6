//! The servers of the soak: they record what reaches them and respond as is drawn.

use super::record::{Receipt, Record};
use crate::rig::message::read_message;
use crate::rig::timestamped_stream::{enable_receive_timestamps, TimestampedStream};
use fastrand::Rng;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The forwarded timeout of a request without one: longer than any client waits, so that the checks name it.
const MISSING_TIMEOUT_MS: u64 = u64::MAX / 2;

/// What a server does with a request.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    /// Rejects it with the mark that proves that it did not run.
    Reject,
    /// Responds with an error.
    Fail,
    /// Closes the connection.
    Close,
    /// Closes the connection within the response.
    Truncate,
    /// Leaves it unanswered until the gateway closes the connection.
    Hang,
    /// Responds after some milliseconds.
    Respond,
}

impl Behaviour {
    /// Draws a behaviour.
    fn draw(rng: &mut Rng) -> Behaviour {
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

/// Starts a server.
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

/// Serves one connection.
fn serve(server: usize, stream: TcpStream, record: &Record, mut rng: Rng) {
    stream.set_nodelay(true).unwrap();
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(TimestampedStream::new(stream));
    while reader.fill_buf().is_ok_and(|data| !data.is_empty()) {
        let first_byte_at = reader.get_ref().received_at();
        let Some(message) = read_message(&mut reader).filter(|message| message.complete) else { return };
        let behaviour = Behaviour::draw(&mut rng);
        let timeout_ms = message.client_timeout_ms().unwrap_or(MISSING_TIMEOUT_MS);
        let request_id = message.header("x-call-id").to_owned();
        record.receipts.lock().unwrap().push(Receipt {
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

/// Responds after some milliseconds with the id of the request as the body.
fn respond(writer: &mut TcpStream, request_id: &str, rng: &mut Rng) -> std::io::Result<()> {
    thread::sleep(Duration::from_millis(rng.u64(..20)));
    let length = request_id.len();
    write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{request_id}")
}
