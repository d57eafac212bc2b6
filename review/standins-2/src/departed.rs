//! No case, an entry of the audit (row G2): clients with long bodies leave while three in ten servers are cut off.

use crate::http::Connection;
use crate::rig::{
    free_address, has_trouble, settings, spawn, Agent, Call, Folder, Gateway, GatewayConfig, Listed, Record,
    WIDE_PLAN,
};
use crate::Verdict;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 10;
const CUT_OFF: usize = 3;
const CLIENTS: usize = 30;
const BODY: usize = 3_000_000;
/// Time from a client's close after which no attempt may begin, and 50 ms for the sockets.
const LATEST_START: Duration = Duration::from_millis(150);

/// The times at which the first bytes of requests came to a server.
type Begun = Arc<Mutex<Vec<(String, Instant)>>>;

/// Starts a server that reads whole requests and notes when each began.
fn start_server(name: &str, begun: &Begun, record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a server listens");
    let address = listener.local_addr().expect("an address");
    let (name, begun, record) = (name.to_owned(), begun.clone(), record.clone());
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, begun, record) = (name.clone(), begun.clone(), record.clone());
            spawn(move || {
                let mut connection = Connection::new(stream);
                let limit = || Instant::now() + Duration::from_secs(60);
                while let Ok(Some(mut request)) = connection.read_head(limit()) {
                    let id = request.header("x-call-id").unwrap_or("none").to_owned();
                    begun.lock().unwrap().push((id.clone(), Instant::now()));
                    record.write(&format!("{id} begins at {name}"));
                    if connection.read_body(&mut request, limit()).is_err() {
                        return record.write(&format!("{id} at {name} did not come whole"));
                    }
                    record.write(&format!("run {id} at {name}"));
                    let _ = connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                }
            });
        }
    });
    address
}

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::create();
    let tmp = folder.0.join("tmp");
    std::fs::create_dir_all(&tmp).expect("a folder");
    let begun = Begun::default();
    let cut_off = if has_trouble() { CUT_OFF } else { 0 };
    let mut servers = Vec::new();
    for number in 0..SERVERS - cut_off {
        let name = format!("s-{number}");
        servers.push(Listed::ready(&name, start_server(&name, &begun, record)));
    }
    // A listener whose queue is full: further connections do not come up.
    let mut listeners = Vec::new();
    let mut queue = Vec::new();
    for number in SERVERS - cut_off..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        while let Ok(waiting) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            queue.push(waiting);
        }
        servers.push(Listed::ready(&format!("s-{number}"), address));
        listeners.push(listener);
    }
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
    let gateway = Gateway::start(&folder.0, &tmp, "gateway", &config);
    if !gateway.wait_ready() {
        return Verdict::NotRun;
    }
    let listen = gateway.listen;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            thread::sleep(Duration::from_millis(150));
            let record = record.clone();
            spawn(move || {
                let id = format!("left{number:02}");
                let mut connection = Connection::open(listen).ok()?;
                let call = Call {
                    id: &id,
                    class: "aktivasi",
                    plan: "distributor",
                    customer: 7,
                    budget_ms: 8_000,
                    units: 1,
                    body: Some(BODY),
                };
                let mut data = call.head().into_bytes();
                data.extend(vec![b'x'; BODY]);
                connection.stream.set_write_timeout(Some(Duration::from_millis(60))).ok()?;
                let written = connection.send(&data);
                drop(connection);
                record.write(&format!("the client of {id} wrote {written:?} and closed"));
                Some((id, Instant::now()))
            })
        })
        .collect();
    let closed: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    thread::sleep(Duration::from_secs(3));
    let begun = begun.lock().unwrap();
    let mut late = 0;
    for (id, closed_at) in &closed {
        for (_, at) in begun.iter().filter(|(begun, _)| begun == id) {
            let after = at.saturating_duration_since(*closed_at);
            if after > LATEST_START {
                late += 1;
                record.say(&format!("{id}: an attempt began {} ms after the close", after.as_millis()));
            }
        }
    }
    record.say(&format!("{} clients left, {late} attempts began over 0.15 s after the close", closed.len()));
    match (closed.len(), late) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
