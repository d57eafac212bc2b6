//! Case: a request with a long body that one server turns away reaches the next server with a part of its body,
//! as a whole request, and is answered with what that made.

use review_standins::*;
use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The classes of the wire page's example.
const CLASSES: &str = r#"[{"aimUs":1500000,"deadlineUs":6000000,"group":"all","lateWorth":0.0,"name":"cek-status","semantics":"retryable","stream":false,"value":3.0,"windowUs":5000000},{"aimUs":2000000,"deadlineUs":8000000,"group":"all","lateWorth":0.0,"name":"aktivasi","semantics":"fragile","stream":false,"value":5.0,"windowUs":5000000}]"#;
/// Number of servers.
const SERVERS: usize = 4;
/// Number of long requests, one after the other.
const ROUNDS: usize = 6;
/// Length of a request's body.
const BODY_BYTES: usize = 128 << 10;
/// Length of the pieces in which a client writes its body.
const PIECE_BYTES: usize = 2 << 10;
/// Time between two pieces: 64 kB a second.
const PIECE_INTERVAL_MS: u64 = 31;

/// What the servers have seen.
#[derive(Default)]
struct Seen {
    /// Requests that were turned away once.
    turned_away: HashSet<String>,
    /// Requests that came whole, with the server and whether their body is the one that the client sends.
    whole: Vec<(String, String, usize, bool)>,
}

/// The body of a client's request.
fn body() -> Vec<u8> {
    (0..BODY_BYTES).map(|index| b'a' + (index / 97 % 26) as u8).collect()
}

fn main() {
    let record = Record::from_arguments();
    let folder = TempFolder::create();
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let turns_away = has_trouble();
    let entries: Vec<Entry> = (1..=SERVERS)
        .map(|number| {
            let name = format!("s{number}");
            let address = start_strict_server(&name, &record, &seen, turns_away);
            Entry::ready(&name, address, "dc-cikarang")
        })
        .collect();
    let agent = Agent::start(&record, entries);
    let listen = free_address();
    let config = Config {
        listen,
        discovery: agent.address,
        ops: None,
        known: agent.known(),
        zones: r#"["dc-cikarang"]"#,
        classes: CLASSES,
        plans: plan_json("kios", 100.0, 100.0, 0.0, 0.0, 0.0),
    };
    let gateway = Gateway::start(&folder, "gateway", &config.json(), listen);
    for round in 0..ROUNDS {
        play_client(&record, connect(listen), &format!("long-{round}"));
    }
    thread::sleep(ms(200));
    drop(gateway);
    let seen = seen.lock().unwrap();
    let cut = seen.whole.iter().filter(|(_, _, _, is_unchanged)| !is_unchanged).count();
    record.line(format!(
        "{} requests came whole to a server, {cut} of these with a body that no client sent",
        seen.whole.len()
    ));
    if seen.whole.is_empty() && !turns_away {
        could_not_run("no request came whole to a server");
    }
    finish(if cut > 0 { BROKEN } else { HELD });
}

/// Starts a server that serves requests that have come whole. With `turns_away` it turns a request away if no
/// server has done so before, as one whose queue is full: it answers 503 with `X-Rejected: 1` to the head of the
/// request, and reads and discards the body, so that the connection can go on.
fn start_strict_server(name: &str, record: &Record, seen: &Arc<Mutex<Seen>>, turns_away: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (name, record, seen) = (name.to_owned(), record.clone(), seen.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, record, seen) = (name.clone(), record.clone(), seen.clone());
            thread::spawn(move || serve(Connection::new(stream), &name, &record, &seen, turns_away));
        }
    });
    address
}

fn serve(mut connection: Connection, name: &str, record: &Record, seen: &Mutex<Seen>, turns_away: bool) {
    while let Ok(head) = connection.read_head() {
        let id = head.header("x-call-id").to_owned();
        if turns_away && seen.lock().unwrap().turned_away.insert(id.clone()) {
            record.line(format!("server {name} turns {id} away"));
            let answer = b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
            if connection.write(answer).is_err() || connection.read_body(&head).is_err() {
                return;
            }
            continue;
        }
        let Ok(received) = connection.read_body(&head) else {
            record.line(format!("server {name}: {id} ends before its last byte"));
            return;
        };
        let is_unchanged = received == body();
        let note = if is_unchanged { "unchanged" } else { "CHANGED" };
        record.line(format!("server {name} runs {id} with {} bytes, {note}", received.len()));
        let length = received.len();
        seen.lock().unwrap().whole.push((id.clone(), name.to_owned(), length, is_unchanged));
        thread::sleep(ms(100));
        let answer = format!("{id} done with {length} bytes");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{answer}", answer.len());
        if connection.write(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends a long request in chunks, a piece at a time, until it is whole or answered.
fn play_client(record: &Record, mut client: Connection, id: &str) {
    let head = ClientRequest {
        method: "POST",
        class: "aktivasi",
        plan: "kios",
        customer: 7,
        id,
        budget_ms: 8_000,
        units: 1,
        spread: 1,
        more: "Transfer-Encoding: chunked\r\n".to_owned(),
        body_length: 0,
    }
    .head()
    .replace("Content-Length: 0\r\n", "");
    client.write(head.as_bytes()).unwrap();
    let begun_at = Instant::now();
    let mut reader = Connection::new(client.stream.try_clone().unwrap());
    reader.stream.set_read_timeout(Some(Duration::from_secs(14))).unwrap();
    let answer = thread::spawn(move || {
        let answer = reader.read_message();
        (begun_at.elapsed().as_millis(), answer)
    });
    let mut sent = 0;
    for piece in body().chunks(PIECE_BYTES) {
        let chunk = [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
        if answer.is_finished() || client.write(&chunk).is_err() {
            break;
        }
        sent += piece.len();
        thread::sleep(ms(PIECE_INTERVAL_MS));
    }
    if sent == BODY_BYTES && !answer.is_finished() {
        let _ = client.write(b"0\r\n\r\n");
    }
    record.line(format!("client sent {sent} of {BODY_BYTES} bytes of {id}"));
    let (after, answer) = answer.join().unwrap();
    match answer {
        Ok(answer) => record.line(format!(
            "client got {} for {id} after {after} ms: {:?}",
            answer.status(),
            String::from_utf8_lossy(&answer.body)
        )),
        Err(error) => record.line(format!("client got no answer to {id} in {after} ms ({error})")),
    }
}
