//! Case: a request with a long body that a hung server takes only in part never gets its final answer.

use review_standins::*;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The classes of the wire page's example.
const CLASSES: &str = r#"[{"aimUs":1500000,"deadlineUs":6000000,"group":"all","lateWorth":0.0,"name":"cek-status","semantics":"retryable","stream":false,"value":3.0,"windowUs":5000000},{"aimUs":2000000,"deadlineUs":8000000,"group":"all","lateWorth":0.0,"name":"aktivasi","semantics":"fragile","stream":false,"value":5.0,"windowUs":5000000}]"#;
/// Number of servers, of which one hangs.
const SERVERS: usize = 4;
/// Number of clients with a long request.
const CLIENTS: usize = 12;
/// Time for which a client waits for its answer, from its last byte.
const BUDGET_MS: u64 = 4_000;
/// Time after which a late answer counts as lost, on sockets.
const LATEST_ANSWER_MS: u64 = BUDGET_MS + 500 + 50;
/// Time for which an answer is waited for at most.
const WATCH_MS: u64 = 12_000;
/// Length of the pieces in which a client writes its body.
const PIECE_BYTES: usize = 256 << 10;
/// Length of a body, unless the gateway stops reading before.
const BODY_BYTES: usize = 12 << 20;

/// Number of the request, counted from 0 over all servers, in whose middle a server begins to hang.
const HANGS_AT: usize = 3;

/// Which server hangs.
#[derive(Default)]
struct Hang {
    /// Requests that have reached a server.
    requests: AtomicUsize,
    /// The server that hangs.
    server: Mutex<Option<String>>,
}

impl Hang {
    /// Counts a request at a server, and returns whether that server hangs.
    fn begins_or_goes_on(&self, name: &str) -> bool {
        let mut server = self.server.lock().unwrap();
        if self.requests.fetch_add(1, Ordering::SeqCst) == HANGS_AT && has_trouble() {
            *server = Some(name.to_owned());
        }
        server.as_deref() == Some(name)
    }
}

/// What became of a client's request.
struct Outcome {
    /// Whether the gateway's machine has received all of it.
    is_taken: bool,
    /// Status of the answer, and the time from the last byte to it.
    answer: Option<(u16, u128)>,
}

fn main() {
    let record = Record::from_arguments();
    let folder = TempFolder::create();
    let hang: Arc<Hang> = Arc::default();
    let entries: Vec<Entry> = (1..=SERVERS)
        .map(|number| {
            let name = format!("s{number}");
            Entry::ready(&name, start_bulk_server(&name, &record, &hang), "dc-cikarang")
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
    let mut gateway = Gateway::start(&folder, "gateway", &config.json(), listen);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::sleep(ms(100));
            thread::spawn(move || play_client(&record, connect(listen), number))
        })
        .collect();
    let outcomes: Vec<Outcome> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    if gateway.has_ended() {
        record.line("the gateway has ended");
    }
    drop(gateway);
    let taken = outcomes.iter().filter(|outcome| outcome.is_taken).count();
    let is_lost = |outcome: &&Outcome| {
        let in_time = |(_, after): (u16, u128)| after <= u128::from(LATEST_ANSWER_MS);
        outcome.is_taken && !outcome.answer.is_some_and(in_time)
    };
    let lost = outcomes.iter().filter(is_lost).count();
    record.line(format!(
        "{taken} of {CLIENTS} requests were taken, {lost} of these got no final answer in time"
    ));
    if taken == 0 {
        could_not_run("the system does not tell that a request was received");
    }
    finish(if lost > 0 { BROKEN } else { HELD });
}

/// Starts a server that reads requests whole and answers 200. The server that gets the head of the request number
/// [`HANGS_AT`] of all servers hangs from then on: it accepts connections, reads the beginning of each request, and
/// then nothing more.
fn start_bulk_server(name: &str, record: &Record, hang: &Arc<Hang>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (name, record, hang) = (name.to_owned(), record.clone(), hang.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, record, hang) = (name.clone(), record.clone(), hang.clone());
            thread::spawn(move || serve(Connection::new(stream), &name, &record, &hang));
        }
    });
    address
}

fn serve(mut connection: Connection, name: &str, record: &Record, hang: &Hang) {
    while let Ok(head) = connection.read_head() {
        let id = head.header("x-call-id");
        if hang.begins_or_goes_on(name) {
            record.line(format!("server {name} hangs in {id}"));
            return thread::sleep(Duration::from_secs(100));
        }
        let Ok(body) = connection.read_body(&head) else { return };
        record.line(format!("server {name} runs {id} with {} bytes", body.len()));
        thread::sleep(ms(200));
        if connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone").is_err() {
            return;
        }
    }
}

/// Sends a long request in chunks. The body ends early where the gateway reads no more of it.
fn play_client(record: &Record, mut client: Connection, number: usize) -> Outcome {
    let id = format!("long-{number}");
    let head = ClientRequest {
        method: "POST",
        class: "aktivasi",
        plan: "kios",
        customer: 7,
        id: &id,
        budget_ms: BUDGET_MS,
        units: 1,
        spread: 1,
        more: "Transfer-Encoding: chunked\r\n".to_owned(),
        body_length: 0,
    }
    .head()
    .replace("Content-Length: 0\r\n", "");
    client.write(head.as_bytes()).unwrap();
    let piece =
        [format!("{PIECE_BYTES:x}\r\n").into_bytes(), vec![b'x'; PIECE_BYTES], b"\r\n".to_vec()].concat();
    let mut sent = 0;
    while sent < BODY_BYTES {
        client.write(&piece).unwrap();
        sent += PIECE_BYTES;
        if !is_read_within(&client, ms(300)) {
            break;
        }
    }
    client.write(b"0\r\n\r\n").unwrap();
    let last_byte_at = Instant::now();
    thread::sleep(ms(50));
    let unreceived = unreceived_by_gateway(&client.stream);
    record.line(format!(
        "client sent {id} with {sent} bytes, of which the gateway's machine lacks {unreceived:?}"
    ));
    client.stream.set_read_timeout(Some(ms(WATCH_MS))).unwrap();
    let answer = client.read_message().map(|answer| (answer.status(), last_byte_at.elapsed().as_millis()));
    match &answer {
        Ok((status, after)) => record.line(format!("client gets {status} for {id} after {after} ms")),
        Err(error) => {
            let after = last_byte_at.elapsed().as_millis();
            record.line(format!("client got no answer to {id} in {after} ms ({error})"));
        }
    }
    Outcome { is_taken: unreceived == Some(0), answer: answer.ok() }
}

/// Returns whether the gateway reads all that was sent within a time.
fn is_read_within(client: &Connection, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        let queues = unreceived_by_gateway(&client.stream).zip(unread_by_gateway(&client.stream));
        if queues.is_none_or(|queues| queues == (0, 0)) {
            return true;
        }
        thread::sleep(ms(2));
    }
    false
}
