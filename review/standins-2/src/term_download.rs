//! A planned restart while a client takes a long answer.

use crate::http::Connection;
use crate::rig::{
    free_address, has_trouble, settings, spawn, Agent, Call, Folder, Gateway, GatewayConfig, Listed, Record,
    SIGTERM, WIDE_PLAN,
};
use crate::Verdict;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

/// The answer is taken at 2 MB a second, so that it takes 10 s.
const ANSWER: usize = 20_000_000;
const PIECE: usize = 200_000;
const PIECE_EVERY: Duration = Duration::from_millis(100);
const CLIENTS: usize = 4;
/// The longest deadline counts as 3 s, and SIGKILL comes no sooner than 0.7 s later: here it comes 10 s after SIGTERM.
const KILL_AFTER: Duration = Duration::from_secs(10);

fn start_bulk_server(name: &str, record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a server listens");
    let address = listener.local_addr().expect("an address");
    let (name, record) = (name.to_owned(), record.clone());
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, record) = (name.clone(), record.clone());
            spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) =
                    connection.read_message(Instant::now() + Duration::from_secs(120))
                {
                    let id = request.header("x-call-id").unwrap_or("none").to_owned();
                    record.write(&format!("run {id} at {name}"));
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {ANSWER}\r\n\r\n");
                    let body: Vec<u8> = (0..ANSWER).map(|at| b'a' + (at % 23) as u8).collect();
                    if connection
                        .stream
                        .write_all(head.as_bytes())
                        .and_then(|()| connection.stream.write_all(&body))
                        .is_err()
                    {
                        return record.write(&format!(
                            "{name}: the connection of {id} ended before the answer was written"
                        ));
                    }
                    record.write(&format!("{name}: the answer of {id} is written"));
                }
            });
        }
    });
    address
}

/// Takes the answer at 64 kB a second; returns the length of its body, as far as it came.
fn take_slowly(record: &Record, gateway: SocketAddr, id: &str) -> Option<usize> {
    let mut connection = Connection::open(gateway).ok()?;
    let call = Call {
        id,
        class: "cek-status",
        plan: "distributor",
        customer: 3,
        budget_ms: 6_000,
        units: 1,
        body: None,
    };
    connection.send(call.head().as_bytes()).ok()?;
    record.write(&format!("sent {id}"));
    connection.stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let begun = Instant::now();
    let mut data = Vec::new();
    let mut pieces = 0;
    let mut buffer = vec![0; PIECE];
    let body_begin = |data: &[u8]| data.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4);
    loop {
        match connection.stream.read(&mut buffer) {
            Ok(0) => {
                record.write(&format!("{id}: the connection ended"));
                break;
            }
            Ok(read) => data.extend_from_slice(&buffer[..read]),
            Err(error) => {
                record.write(&format!("{id}: {error}"));
                break;
            }
        }
        if body_begin(&data).is_some_and(|begin| data.len() - begin >= ANSWER) {
            break;
        }
        pieces += 1;
        thread::sleep((begun + PIECE_EVERY * pieces).saturating_duration_since(Instant::now()));
    }
    let status = String::from_utf8_lossy(&data[..data.len().min(12)]).to_string();
    let length = body_begin(&data).map_or(0, |begin| data.len() - begin);
    record.write(&format!(
        "answer {id} '{status}', {length} of {ANSWER} bytes after {} ms",
        begun.elapsed().as_millis()
    ));
    (status == "HTTP/1.1 200").then_some(length)
}

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::create();
    let tmp = folder.0.join("tmp");
    std::fs::create_dir_all(&tmp).expect("a folder");
    let servers: Vec<Listed> = (0..4)
        .map(|number| {
            let name = format!("s-{number}");
            let address = start_bulk_server(&name, record);
            Listed::ready(&name, address)
        })
        .collect();
    let agent = Agent::start(&servers);
    let config = GatewayConfig {
        name: "n0".to_owned(),
        listen: free_address(),
        ops: None,
        discovery: agent.address,
        counter: None,
        memory_mb: 64,
        sockets: 512,
        known: agent.list(),
        settings: settings(WIDE_PLAN, 1),
    };
    let mut gateway = Gateway::start(&folder.0, &tmp, "gateway", &config);
    if !gateway.wait_ready() {
        return Verdict::NotRun;
    }
    let listen = gateway.listen;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            spawn(move || take_slowly(&record, listen, &format!("bulk{number}")))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let mut ended_after = None;
    if has_trouble() {
        record.say("a planned restart begins: SIGTERM");
        gateway.signal(SIGTERM);
        let signalled_at = Instant::now();
        while signalled_at.elapsed() < KILL_AFTER && ended_after.is_none() {
            thread::sleep(Duration::from_millis(20));
            if gateway.has_ended() {
                ended_after = Some(signalled_at.elapsed());
                record.say(&format!(
                    "the process ended by itself {} ms after SIGTERM",
                    signalled_at.elapsed().as_millis()
                ));
            }
        }
        if ended_after.is_none() {
            record.say("SIGKILL");
            gateway.kill();
        }
    }
    let taken: Vec<Option<usize>> = clients.into_iter().map(|client| client.join().unwrap_or(None)).collect();
    let answered = taken.iter().flatten().count();
    let cut = taken.iter().flatten().filter(|length| **length < ANSWER).count();
    record.say(&format!("{answered} answers begun, {cut} cut off"));
    if answered == 0 {
        return Verdict::NotRun;
    }
    if cut > 0 && (!has_trouble() || ended_after.is_some()) {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
