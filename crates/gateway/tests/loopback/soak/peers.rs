//! The servers and clients of the soak: they answer, send and leave as is drawn, and record what they saw.

use super::plan::{ms, CLASSES};
use super::record::{End, Receipt, Record, Sent};
use crate::rig::*;
use fastrand::Rng;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Starts a server that records what reaches it and answers as is drawn.
pub fn start_server(number: usize, record: Arc<Record>, seed: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (connection, stream) in listener.incoming().enumerate() {
            let (record, rng) = (record.clone(), Rng::with_seed(seed ^ ((connection as u64) << 8)));
            thread::spawn(move || serve(number, stream.unwrap(), &record, rng));
        }
    });
    address
}

fn serve(number: usize, stream: TcpStream, record: &Record, mut rng: Rng) {
    stream.set_nodelay(true).unwrap();
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while reader.fill_buf().is_ok_and(|data| !data.is_empty()) {
        let first_byte = Instant::now();
        let Some(message) = read(&mut reader).filter(|message| message.whole) else { return };
        let draw = rng.u8(..100);
        let rejected = draw < 8;
        let told = Duration::from_millis(message.header("x-budget-ms").parse().unwrap_or(u64::MAX / 2));
        let call = message.header("x-call-id").to_owned();
        let receipt =
            Receipt { call: call.clone(), server: number, first_byte, whole: Instant::now(), told, rejected };
        record.receipts.lock().unwrap().push(receipt);
        let answered = match draw {
            0..8 => write!(writer, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"),
            8..14 => write!(writer, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"),
            14..17 => return,
            17..20 => {
                let _ = write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nhalf");
                return;
            }
            20..23 => {
                // Hangs until the gateway gives it up.
                let _ = reader.fill_buf();
                return;
            }
            _ => {
                thread::sleep(Duration::from_millis(rng.u64(..20)));
                let length = call.len();
                write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{call}")
            }
        };
        if answered.is_err() {
            return;
        }
    }
}

/// The next request of a client: its id, class, time and text.
fn draw_request(rng: &mut Rng, longest: Duration) -> (String, usize, Duration, String) {
    let class = rng.usize(..CLASSES.len());
    let body = "b".repeat(rng.usize(..3_000));
    let text = match class {
        0 => status(),
        1 => notice(&body),
        _ => payout(&body),
    };
    let budget = longest.mul_f64(0.5 + 0.5 * rng.f64());
    let text = text.replace("X-Budget-Ms: 1900", &format!("X-Budget-Ms: {}", ms(budget)));
    let call = text.split("X-Call-Id: ").nth(1).unwrap().split('\r').next().unwrap().to_owned();
    (call, class, Duration::from_millis(ms(budget)), text)
}

/// Sends requests, one after another, over connections that it keeps for as long as they are open.
pub fn client(address: SocketAddr, record: &Record, stop: &AtomicBool, mut rng: Rng, longest: Duration) {
    let mut connection: Option<(BufReader<TcpStream>, bool)> = None;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(rng.u64(..30)));
        let Some((mut stream, is_new)) = connection.take().or_else(|| {
            let stream = TcpStream::connect(address).ok()?;
            stream.set_nodelay(true).ok()?;
            Some((BufReader::new(stream), true))
        }) else {
            continue;
        };
        let (call, class, budget, text) = draw_request(&mut rng, longest);
        let cut = if rng.u8(..100) < 10 { rng.usize(..text.len()) } else { 0 };
        let written = stream.get_mut().write_all(&text.as_bytes()[..cut]).and_then(|()| {
            thread::sleep(Duration::from_millis(if cut > 0 { rng.u64(..60) } else { 0 }));
            stream.get_mut().write_all(&text.as_bytes()[cut..])
        });
        if written.is_err() {
            continue;
        }
        let written = Instant::now();
        let end = if rng.u8(..100) < 8 {
            thread::sleep(Duration::from_millis(rng.u64(..100)));
            let left = Instant::now();
            drop(stream);
            End::Left(left)
        } else {
            stream.get_ref().set_read_timeout(Some(budget + Duration::from_secs(5))).unwrap();
            match read(&mut stream) {
                Some(answer) if answer.status() > 0 => {
                    let at = Instant::now();
                    if answer.header("connection") != "close" && answer.whole {
                        connection = Some((stream, false));
                    }
                    End::Answer { status: answer.status(), whole: answer.whole, at }
                }
                _ => End::Closed,
            }
        };
        let sent = Sent { call, class, budget, written, first_on_connection: is_new, end };
        record.sent.lock().unwrap().push(sent);
    }
}
