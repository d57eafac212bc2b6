//! Stand-ins for the cases of the review, written from the protocol page: servers, a discovery agent and
//! clients, with the processes of the gateway and a record of what was sent, answered and run. Loopback
//! addresses only.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit code if the rule held.
pub const HELD: i32 = 0;
/// Exit code if the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code if the case could not run.
pub const COULD_NOT_RUN: i32 = 2;
/// Time after which a run ends as one that could not run.
const MAX_RUN: Duration = Duration::from_secs(110);

/// Returns a duration of milliseconds.
pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns whether the case is to be played with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run, with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the record's file, whose path is the first argument of the program.
    pub fn from_arguments() -> Record {
        guard_run();
        let path = std::env::args().nth(1).expect("usage: PROGRAM RECORD");
        let file = File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    /// Writes a line to the record and to standard output.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>6} ms  {}", self.now_ms(), text.as_ref());
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }
}

/// A folder for the files of one run, removed at its end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// Creates the folder.
    pub fn create() -> TempFolder {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos();
        let path = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the temporary folder can be created");
        STARTED.lock().unwrap().1.push(path.clone());
        TempFolder(path)
    }

    /// Returns the path of a file in the folder.
    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

/// Returns a free loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A message read from a connection.
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Headers by lower-case name.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; fails with `UnexpectedEof` at the end of the connection.
    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 65_536];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            read => {
                self.buffer.extend_from_slice(&chunk[..read]);
                Ok(())
            }
        }
    }

    /// Reads the head of a message, without its body.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let headers = pairs.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Message { first_line, headers: headers.collect(), body: Vec::new() })
    }

    /// Reads a whole message with a body of a known length or in chunks.
    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        message.body = self.read_body(&message)?;
        Ok(message)
    }

    /// Reads the body of a message whose head has been read.
    pub fn read_body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        if !head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            return self.read_exactly(head.header("content-length").parse().unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let chunk = self.read_exactly(length + 2)?;
            body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                return Ok(body);
            }
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                break end;
            }
            self.fill()?;
        };
        let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 2);
        Ok(line)
    }

    fn read_exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn find(data: &[u8], pattern: &[u8]) -> Option<usize> {
    data.windows(pattern.len()).position(|window| window == pattern)
}

/// What a server does with a request once its last byte has come.
pub enum Reply {
    /// Answers 200 after the work.
    Served {
        /// Duration of the work.
        work: Duration,
    },
    /// The connection ends without an answer after this time.
    Ends {
        /// Time until the end.
        after: Duration,
    },
}

/// A request that a server has begun.
#[derive(Clone, Debug)]
pub struct Run {
    /// Name of the server.
    pub server: String,
    /// The request's `X-Call-Id`.
    pub id: String,
    /// Time at which its last byte had come.
    pub at: Instant,
}

/// The requests that all servers have begun.
#[derive(Clone, Default)]
pub struct Runs(Arc<(Mutex<Vec<Run>>, Condvar)>);

impl Runs {
    fn add(&self, run: Run) {
        self.0 .0.lock().unwrap().push(run);
        self.0 .1.notify_all();
    }

    /// Returns the runs of a request so far.
    pub fn of(&self, id: &str) -> Vec<Run> {
        self.0 .0.lock().unwrap().iter().filter(|run| run.id == id).cloned().collect()
    }

    /// Returns all runs so far.
    pub fn all(&self) -> Vec<Run> {
        self.0 .0.lock().unwrap().clone()
    }

    /// Waits until a request has at least `count` runs.
    pub fn wait_for(&self, id: &str, count: usize, limit: Duration) -> Vec<Run> {
        let until = Instant::now() + limit;
        let mut runs = self.0 .0.lock().unwrap();
        loop {
            let found: Vec<Run> = runs.iter().filter(|run| run.id == id).cloned().collect();
            let left = until.saturating_duration_since(Instant::now());
            if found.len() >= count || left.is_zero() {
                return found;
            }
            runs = self.0 .1.wait_timeout(runs, left).unwrap().0;
        }
    }
}

/// Starts a server that reads each request whole, records it, and does what `behaviour` says. Returns its
/// address.
pub fn start_server(
    name: &str,
    runs: &Runs,
    record: &Record,
    behaviour: impl Fn(&Message) -> Reply + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (name, runs, record, behaviour) =
        (name.to_owned(), runs.clone(), record.clone(), Arc::new(behaviour));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, runs, record, behaviour) =
                (name.clone(), runs.clone(), record.clone(), behaviour.clone());
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(request) = connection.read_message() {
                    let id = request.header("x-call-id").to_owned();
                    record.line(format!("server {name} runs {id} ({})", request.first_line));
                    runs.add(Run { server: name.clone(), id: id.clone(), at: Instant::now() });
                    match behaviour(&request) {
                        Reply::Served { work } => {
                            thread::sleep(work);
                            let body = format!("{id} done by {name}");
                            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                            if connection.write((head + &body).as_bytes()).is_err() {
                                return;
                            }
                        }
                        Reply::Ends { after } => {
                            thread::sleep(after);
                            record.line(format!("server {name} ends the connection of {id}"));
                            let _ = connection.stream.shutdown(Shutdown::Both);
                            return;
                        }
                    }
                }
            });
        }
    });
    address
}

/// An entry of the list of servers.
#[derive(Clone)]
pub struct Entry {
    /// Name of the server.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// `ready`, `draining` or `gone`.
    pub status: &'static str,
}

impl Entry {
    /// Returns the entry of a ready server.
    pub fn ready(name: &str, address: SocketAddr, zone: &str) -> Entry {
        Entry { name: name.to_owned(), address, zone: zone.to_owned(), status: "ready" }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"std","group":0,"status":"{}","weight":1.0,"since_ms":0}}"#,
            self.name, self.address, self.zone, self.status
        )
    }
}

/// Returns a message of discovery.
pub fn list_json(version: u64, is_whole: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"index":{version},"snapshot":{is_whole},"endpoints":[{}]}}"#, entries.join(","))
}

struct AgentState {
    version: u64,
    entries: Vec<Entry>,
    /// Changed entries by version; an empty list stands for a change that is told with a whole list.
    changes: Vec<(u64, Vec<Entry>)>,
    is_silent: bool,
}

/// A discovery agent.
#[derive(Clone)]
pub struct Agent {
    /// Its address.
    pub address: SocketAddr,
    state: Arc<(Mutex<AgentState>, Condvar)>,
    record: Record,
}

impl Agent {
    /// Starts an agent whose list has version 1.
    pub fn start(record: &Record, entries: Vec<Entry>) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = AgentState { version: 1, entries, changes: Vec::new(), is_silent: false };
        let agent = Agent {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let serving = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = serving.clone();
                thread::spawn(move || agent.serve(Connection::new(stream)));
            }
        });
        agent
    }

    /// Tells a change of some entries.
    pub fn change(&self, changed: Vec<Entry>) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        for entry in &changed {
            state.entries.retain(|known| known.name != entry.name);
            if entry.status != "gone" {
                state.entries.push(entry.clone());
            }
        }
        let version = state.version;
        state.changes.push((version, changed));
        self.state.1.notify_all();
    }

    /// Tells a change with a whole list.
    pub fn replace(&self, entries: Vec<Entry>) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        state.entries = entries;
        let version = state.version;
        state.changes.push((version, Vec::new()));
        self.state.1.notify_all();
    }

    /// Sets whether discovery is down: the agent is silent and learns nothing.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.0.lock().unwrap().is_silent = is_silent;
        self.state.1.notify_all();
    }

    /// Returns the list as JSON, as a gateway's configuration has it.
    pub fn known(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list_json(state.version, true, &state.entries)
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read_message() {
            let target = request.first_line.split(' ').nth(1).unwrap_or("").to_owned();
            let parameter = |name: &str| -> Option<u64> {
                let (_, query) = target.split_once('?')?;
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
            };
            let body = self.answer(parameter("index"), parameter("wait").unwrap_or(0));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if connection.write((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, known: Option<u64>, wait_ms: u64) -> String {
        let until = Instant::now() + ms(wait_ms.min(60_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let is_current = known == Some(state.version);
            if !state.is_silent && (!is_current || left.is_zero()) {
                break;
            }
            let wait = if state.is_silent { ms(1_000) } else { left };
            state = self.state.1.wait_timeout(state, wait).unwrap().0;
        }
        let version = state.version;
        let Some(known) = known.filter(|known| *known <= version) else {
            return list_json(version, true, &state.entries);
        };
        let newer: Vec<&(u64, Vec<Entry>)> = state.changes.iter().filter(|(at, _)| *at > known).collect();
        let is_whole = newer.iter().any(|(_, entries)| entries.is_empty());
        if !newer.is_empty() {
            let form = if is_whole { "whole list" } else { "change" };
            self.record.line(format!("discovery tells version {version} ({form})"));
        }
        if is_whole {
            return list_json(version, true, &state.entries);
        }
        let changed: Vec<Entry> = newer.iter().flat_map(|(_, entries)| entries.clone()).collect();
        list_json(version, false, &changed)
    }
}

/// A process of the gateway, started with `run` of the deploy file. It is killed when this is dropped.
pub struct Gateway {
    child: Child,
    log: PathBuf,
}

impl Gateway {
    /// Starts a process and waits until it answers `/_health` at `listen`.
    pub fn start(folder: &TempFolder, name: &str, config: &str, listen: SocketAddr) -> Gateway {
        let gateway = Gateway::spawn(folder, name, config);
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if get_status(listen, "/_health") == Some(200) {
                return gateway;
            }
            thread::sleep(ms(20));
        }
        println!("{}", gateway.log_text());
        could_not_run("the gateway is not ready within 30 s");
    }

    /// Starts a process.
    pub fn spawn(folder: &TempFolder, name: &str, config: &str) -> Gateway {
        let file = folder.file(&format!("{name}.json"));
        std::fs::write(&file, config).expect("the configuration can be written");
        let log = folder.file(&format!("{name}.log"));
        let tmp = folder.file("tmp");
        std::fs::create_dir_all(&tmp).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", "exec target/release/grebehook"])
            .env("GW_CONFIG", &file)
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log).unwrap())
            .spawn()
            .unwrap_or_else(|error| could_not_run(&format!("the gateway does not start: {error}")));
        STARTED.lock().unwrap().0.push(child.id());
        Gateway { child, log }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {}", self.child.id())]).status();
    }

    /// Returns the process's log.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().0.retain(|process| *process != self.child.id());
    }
}

/// Processes that were started and have not been waited for, and the temporary folders.
static STARTED: Mutex<(Vec<u32>, Vec<PathBuf>)> = Mutex::new((Vec::new(), Vec::new()));

/// Ends the program with an exit code, after all processes that it started.
pub fn finish(code: i32) -> ! {
    let (processes, folders) = std::mem::take(&mut *STARTED.lock().unwrap());
    for process in processes {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {process}")]).status();
    }
    for folder in folders {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code);
}

/// Ends the program because the case could not run.
pub fn could_not_run(reason: &str) -> ! {
    println!("could not run: {reason}");
    finish(COULD_NOT_RUN);
}

/// Ends the program if it runs for longer than a case may, or if its main thread panics.
fn guard_run() {
    std::panic::set_hook(Box::new(|info| {
        println!("{info}");
        if thread::current().name() == Some("main") {
            could_not_run("the case's program failed");
        }
    }));
    thread::spawn(|| {
        thread::sleep(MAX_RUN);
        could_not_run("the case takes too long");
    });
}

/// Returns the status that a GET request gets.
pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&address, ms(500)).ok()?;
    stream.set_read_timeout(Some(ms(1_000))).ok()?;
    let mut connection = Connection::new(stream);
    connection
        .write(format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes())
        .ok()?;
    Some(connection.read_message().ok()?.status())
}

/// A client's request.
pub struct ClientRequest<'a> {
    /// GET or POST.
    pub method: &'a str,
    /// Class by name.
    pub class: &'a str,
    /// Plan by name.
    pub plan: &'a str,
    /// Customer.
    pub customer: u64,
    /// `X-Call-Id`.
    pub id: &'a str,
    /// `X-Budget-Ms`.
    pub budget_ms: u64,
    /// Units taken from the quota.
    pub units: u32,
    /// Number of gateways of the customer's set.
    pub spread: u32,
    /// Further header lines, each with its line end.
    pub more: String,
    /// Length of the body.
    pub body_length: usize,
}

impl ClientRequest<'_> {
    /// Returns the head as it is sent.
    pub fn head(&self) -> String {
        let length = if self.method == "POST" {
            format!("Content-Length: {}\r\n", self.body_length)
        } else {
            String::new()
        };
        format!(
            "{} /api HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nApi-Plan: {}\r\n\
             Api-Customer: {:016x}\r\nX-Budget-Ms: {}\r\n{length}Api-Terms: units={},spread={},first=0\r\n{}\r\n",
            self.method, self.id, self.class, self.plan, self.customer, self.budget_ms, self.units, self.spread,
            self.more
        )
    }

    /// Returns the whole request.
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = self.head().into_bytes();
        bytes.resize(bytes.len() + self.body_length, b'x');
        bytes
    }
}

/// Connects a client.
pub fn connect(address: SocketAddr) -> Connection {
    match TcpStream::connect(address) {
        Ok(stream) => Connection::new(stream),
        Err(error) => could_not_run(&format!("a client cannot connect: {error}")),
    }
}

/// The configuration of a gateway.
pub struct Config {
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Address for operators.
    pub ops: Option<SocketAddr>,
    /// List of servers that the gateway last had, in discovery's form.
    pub known: String,
    /// Zones, as JSON.
    pub zones: &'static str,
    /// Classes, as JSON.
    pub classes: &'static str,
    /// Plans, as JSON.
    pub plans: String,
}

impl Config {
    /// Returns the configuration file, with the settings of the wire page's example elsewhere.
    pub fn json(&self) -> String {
        let ops = self.ops.map_or(String::new(), |address| format!(r#""ops":"{address}","#));
        format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}",{ops}"seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{},
 "settings":{{"az":0,"callers":{{"marksRetry":false}},"classes":{},"discovery":"push","family":"gate",
  "familyInfo":{{"countFee":0.0,"countLimitUs":80000,"mailPerS":0.0,"maxUnits":4,"meterUs":0,"sharedCounter":false,"truedUp":false}},
  "limits":{{"attemptsCap":4,"cancel":true,"connIdleUs":30000000,"connectTimeoutUs":250000,"cpuUsPerRequest":0.0,
   "cpuUsPerS":500000,"maxOpen":20000,"maxRetryAfterUs":1000000,"maxStreams":32,"mayProbe":false,"peers":false,
   "retryAfter":true,"secondCopies":false}},
  "me":0,"plans":{},
  "prices":{{"connection":0.0,"crossZone":0.0,"discovery":0.0,"handshake":0.0,"lateFail":0.05,"moves":0.0,"origin":0.0,
   "peer":0.0,"probe":0.0,"waste":0.08}},
  "resultMix":{{"whole":0.55,"worstClass":0.1,"worstTenant":0.25,"worstWindow":0.1}},
  "rules":{{"askEveryUs":10000000,"coldFrom":0.25,"drainGraceUs":1000000,"fallMultiple":3.0,"graceToAnswerUs":8000,
   "tipAfterUs":1000000,"warmAfterUs":16000000}},
  "siblings":1,"skus":["std"],"stats":{{"columns":[],"how":"none"}},"tickUs":2000,"tier":0,"tiers":["back"],
  "weights":"nominal","zones":{}}}}}"#,
            self.listen, self.discovery, self.known, self.classes, self.plans, self.zones
        )
    }
}

/// Returns a plan as JSON with a quota and a ceiling; a ceiling rate of 0 stands for none.
pub fn plan_json(
    name: &str,
    rate: f64,
    depth: f64,
    ceiling_rate: f64,
    ceiling_depth: f64,
    tolerance: f64,
) -> String {
    format!(
        r#"[{{"ceilingRate":{ceiling_rate},"concurrency":0,"depth":{depth},"excessCost":0.5,"excessWorth":0.0,"name":"{name}","neverOverDepth":{ceiling_depth},"rate":{rate},"tolerance":{tolerance},"valueFactor":1.0}}]"#
    )
}

/// Returns how many bytes that a client has written the gateway's machine has not received yet, as the system
/// counts them; `None` where it does not tell.
pub fn unreceived_by_gateway(stream: &TcpStream) -> Option<u64> {
    socket_queues(stream.local_addr().ok()?, stream.peer_addr().ok()?).map(|(unreceived, _)| unreceived)
}

/// Returns the bytes in the sending and in the receiving queue of a socket of this machine.
fn socket_queues(local: SocketAddr, peer: SocketAddr) -> Option<(u64, u64)> {
    let addresses = format!("{} {} ", table_form(local)?, table_form(peer)?);
    let table = std::fs::read_to_string("/proc/self/net/tcp").ok()?;
    let line = table.lines().find(|line| line.contains(&addresses))?;
    let (sending, receiving) = line.split_ascii_whitespace().nth(4)?.split_once(':')?;
    Some((u64::from_str_radix(sending, 16).ok()?, u64::from_str_radix(receiving, 16).ok()?))
}

/// Returns an address as the system's table of sockets has it.
fn table_form(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    let [first, second, third, fourth] = address.ip().octets();
    Some(format!("{fourth:02X}{third:02X}{second:02X}{first:02X}:{:04X}", address.port()))
}

/// Returns how many bytes the gateway's machine has received on a client's connection and the gateway has not
/// read, as the system counts them; `None` where it does not tell.
pub fn unread_by_gateway(stream: &TcpStream) -> Option<u64> {
    socket_queues(stream.peer_addr().ok()?, stream.local_addr().ok()?).map(|(_, unread)| unread)
}
