//! The deployment of a case: record, gateway processes, discovery agent and servers, all on loopback addresses.

use crate::http::{Connection, Message};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// Starts a thread with a small stack.
pub fn spawn<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> thread::JoinHandle<T> {
    thread::Builder::new().stack_size(512 << 10).spawn(work).expect("a thread starts")
}

/// What was sent, answered and run, with the time in milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn write(&self, text: &str) {
        let ms = self.start.elapsed().as_secs_f64() * 1e3;
        let _ = writeln!(self.file.lock().unwrap(), "{ms:10.1} {text}");
    }

    /// Writes a line here and to the standard output.
    pub fn say(&self, text: &str) {
        self.write(text);
        println!("{text}");
    }
}

/// Ids of the gateway processes that run.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case, with all processes that it started, if it has not ended by then.
pub fn end_after(limit: Duration) {
    spawn(move || {
        thread::sleep(limit);
        println!("the case did not end in time");
        for process in PROCESSES.lock().unwrap().iter() {
            unsafe { kill(*process as i32, 9) };
        }
        std::process::exit(2);
    });
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Returns a free address on the loopback interface.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// A private temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
        let path = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The configuration of one gateway.
pub struct GatewayConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub ops: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    pub memory_mb: u32,
    pub sockets: u32,
    /// The list of servers in discovery's form.
    pub known: String,
    /// The settings, as JSON.
    pub settings: String,
}

impl GatewayConfig {
    pub fn json(&self) -> String {
        let ops = self.ops.map_or(String::new(), |address| format!("\"ops\":\"{address}\","));
        let counter = self.counter.map_or(String::new(), |address| format!("\"counter\":\"{address}\","));
        format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",{ops}{counter}\"discovery\":\"{}\",\"seed\":\"{:x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            self.name,
            self.listen,
            self.discovery,
            unix_ms() as u64,
            self.memory_mb,
            self.sockets,
            self.known,
            self.settings
        )
    }
}

/// A gateway process, started with the deploy file's `run`. Killed when dropped.
pub struct Gateway {
    child: Child,
    pub listen: SocketAddr,
}

impl Gateway {
    /// Starts a process. `tmp` is its `$TMPDIR`; `label` names its files in `folder`.
    pub fn start(folder: &Path, tmp: &Path, label: &str, config: &GatewayConfig) -> Gateway {
        let config_file = folder.join(format!("{label}.json"));
        std::fs::write(&config_file, config.json()).expect("the configuration can be written");
        let log = File::create(folder.join(format!("{label}.log"))).expect("the log can be written");
        let child = Command::new("/bin/sh")
            .args(["-c", "exec target/release/grebehook"])
            .env("GW_CONFIG", &config_file)
            .env("GW_NAME", &config.name)
            .env("GW_LISTEN", config.listen.to_string())
            .env("GW_DISCOVERY", config.discovery.to_string())
            .env("TMPDIR", tmp)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log)
            .spawn()
            .expect("the gateway starts");
        PROCESSES.lock().unwrap().push(child.id());
        Gateway { child, listen: config.listen }
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Kills the process outright.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        PROCESSES.lock().unwrap().retain(|process| *process != self.child.id());
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process serves; false if it does not within the time that the pages allow.
    pub fn wait_ready(&self) -> bool {
        wait_for(Duration::from_secs(30), || get(self.listen, "/_health", 1_000) == Some(200))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Calls a condition every 10 ms until it holds; false if it does not in time.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

/// The status of a GET on a connection of its own.
pub fn get(address: SocketAddr, path: &str, limit_ms: u64) -> Option<u16> {
    let mut connection = Connection::open(address).ok()?;
    connection
        .send(format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n").as_bytes())
        .ok()?;
    let end = Instant::now() + Duration::from_millis(limit_ms);
    connection.read_message(end).ok().flatten().map(|message| message.status())
}

/// A server of the list.
#[derive(Clone)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u128,
}

impl Listed {
    pub fn ready(name: &str, address: SocketAddr) -> Listed {
        Listed {
            name: name.to_owned(),
            address,
            zone: "dc-cikarang".to_owned(),
            group: 0,
            status: "ready",
            since_ms: 0,
        }
    }

    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"type\":\"std-2c\",\"group\":{},\"status\":\"{}\",\"weight\":1.0,\"since_ms\":{}}}",
            self.name, self.address, self.zone, self.group, self.status, self.since_ms
        )
    }
}

/// The discovery agent of a gateway's machine: whole lists, and watches that wait for a newer version.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<(Mutex<AgentState>, Condvar)>,
}

struct AgentState {
    index: u64,
    /// Whether discovery is down: the agent answers no call.
    is_silent: bool,
    /// Each server with the version of its last change.
    servers: BTreeMap<String, (u64, Listed)>,
}

impl Agent {
    pub fn start(servers: &[Listed]) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the agent listens");
        let address = listener.local_addr().expect("an address");
        let servers = servers.iter().map(|listed| (listed.name.clone(), (41, listed.clone()))).collect();
        let agent = Agent {
            address,
            state: Arc::new((
                Mutex::new(AgentState { index: 41, is_silent: false, servers }),
                Condvar::new(),
            )),
        };
        let accepting = agent.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = accepting.clone();
                spawn(move || agent.serve(stream));
            }
        });
        agent
    }

    /// The whole list.
    pub fn list(&self) -> String {
        let state = self.state.0.lock().unwrap();
        let entries: Vec<String> = state
            .servers
            .values()
            .filter(|(_, listed)| listed.status != "gone")
            .map(|(_, listed)| listed.json())
            .collect();
        format!("{{\"index\":{},\"snapshot\":true,\"endpoints\":[{}]}}", state.index, entries.join(","))
    }

    /// Changes an entry of the list.
    pub fn change(&self, listed: Listed) {
        let mut state = self.state.0.lock().unwrap();
        state.index += 1;
        let index = state.index;
        state.servers.insert(listed.name.clone(), (index, listed));
        self.state.1.notify_all();
    }

    /// Sets whether discovery is down.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.0.lock().unwrap().is_silent = is_silent;
        self.state.1.notify_all();
    }

    /// Waits until discovery is up.
    fn wait_until_up(&self) {
        let mut state = self.state.0.lock().unwrap();
        while state.is_silent {
            state = self.state.1.wait(state).unwrap();
        }
    }

    fn changes(&self, since: u64, wait_ms: u64) -> String {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(60_000));
        let mut state = self.state.0.lock().unwrap();
        while state.index <= since {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        let entries: Vec<String> = state
            .servers
            .values()
            .filter(|(version, _)| *version > since)
            .map(|(_, listed)| listed.json())
            .collect();
        format!("{{\"index\":{},\"snapshot\":false,\"endpoints\":[{}]}}", state.index, entries.join(","))
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(call)) = connection.read_message(Instant::now() + Duration::from_secs(120)) {
            let number = |name: &str| {
                let query = call.path().split_once('?').map_or("", |(_, query)| query);
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            self.wait_until_up();
            if let Some(since) = number("index") {
                self.changes(since, number("wait").unwrap_or(0));
                self.wait_until_up();
            }
            // A watch is answered with what is known once it ends.
            let body = number("index").map_or_else(|| self.list(), |since| self.changes(since, 0));
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.send(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// A request that came whole to a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub server: String,
    pub id: String,
    pub customer: String,
    pub units: f64,
}

/// Every request that any server began.
#[derive(Clone, Default)]
pub struct Runs(pub Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }
}

/// Starts a server that takes `work` for each request and answers 200 with the request's id as its body.
pub fn start_server(
    name: &str,
    runs: &Runs,
    record: &Record,
    work: impl Fn(&Message) -> Duration + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a server listens");
    let address = listener.local_addr().expect("an address");
    let (name, runs, record, work) = (name.to_owned(), runs.clone(), record.clone(), Arc::new(work));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, runs, record, work) = (name.clone(), runs.clone(), record.clone(), work.clone());
            spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) =
                    connection.read_message(Instant::now() + Duration::from_secs(120))
                {
                    let Some(id) = request.header("x-call-id") else {
                        let _ = connection.send(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                        continue;
                    };
                    let terms = request.header("api-terms").unwrap_or("");
                    let units = terms
                        .split(',')
                        .find_map(|pair| pair.trim().strip_prefix("units=")?.parse().ok())
                        .unwrap_or(0.0);
                    let customer = request.header("api-customer").unwrap_or("").to_owned();
                    runs.0.lock().unwrap().push(Run {
                        at: Instant::now(),
                        server: name.clone(),
                        id: id.to_owned(),
                        customer,
                        units,
                    });
                    record.write(&format!("run {id} at {name}"));
                    thread::sleep(work(&request));
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
                    if connection.send(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A client's request, without its body.
pub struct Call<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub plan: &'a str,
    pub customer: u64,
    pub budget_ms: u64,
    pub units: u32,
    /// The length of the body; `None` for a GET.
    pub body: Option<usize>,
}

impl Call<'_> {
    pub fn head(&self) -> String {
        let method = if self.body.is_some() { "POST" } else { "GET" };
        let length = self.body.map_or(String::new(), |length| format!("Content-Length: {length}\r\n"));
        format!(
            "{method} /api HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nApi-Plan: {}\r\n\
             Api-Customer: {:016x}\r\nX-Budget-Ms: {}\r\n{length}Api-Terms: units={},spread=1,first=0\r\n\r\n",
            self.id, self.class, self.plan, self.customer, self.budget_ms, self.units
        )
    }
}

/// Settings of a small deployment: the example of the wire's page with these plans and limits.
pub fn settings(plans: &str, siblings: u32) -> String {
    format!(
        "{{\"az\":0,\"callers\":{{\"marksRetry\":false}},\"classes\":[\
         {{\"aimUs\":1500000,\"deadlineUs\":6000000,\"group\":\"all\",\"lateWorth\":0.0,\"name\":\"cek-status\",\"semantics\":\"retryable\",\"stream\":false,\"value\":3.0,\"windowUs\":5000000}},\
         {{\"aimUs\":2000000,\"deadlineUs\":8000000,\"group\":\"all\",\"lateWorth\":0.0,\"name\":\"aktivasi\",\"semantics\":\"fragile\",\"stream\":false,\"value\":5.0,\"windowUs\":5000000}}],\
         \"discovery\":\"push\",\"family\":\"gate\",\
         \"familyInfo\":{{\"countFee\":0.02,\"countLimitUs\":80000,\"mailPerS\":0.0,\"maxUnits\":4,\"meterUs\":1000000,\"sharedCounter\":false,\"truedUp\":true}},\
         \"limits\":{{\"attemptsCap\":4,\"cancel\":true,\"connIdleUs\":30000000,\"connectTimeoutUs\":250000,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":500000,\"maxOpen\":20000,\"maxRetryAfterUs\":1000000,\"maxStreams\":32,\"mayProbe\":false,\"peers\":false,\"retryAfter\":true,\"secondCopies\":true}},\
         \"me\":0,\"plans\":[{plans}],\
         \"prices\":{{\"connection\":0.0,\"crossZone\":0.0,\"discovery\":0.0,\"handshake\":0.0,\"lateFail\":0.05,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.0,\"waste\":0.08}},\
         \"resultMix\":{{\"whole\":0.55,\"worstClass\":0.1,\"worstTenant\":0.25,\"worstWindow\":0.1}},\
         \"rules\":{{\"askEveryUs\":10000000,\"coldFrom\":0.16,\"drainGraceUs\":1000000,\"fallMultiple\":2.5,\"graceToAnswerUs\":8000,\"tipAfterUs\":3000000,\"warmAfterUs\":16000000}},\
         \"siblings\":{siblings},\"skus\":[\"std-2c\"],\"stats\":{{\"columns\":[],\"how\":\"none\"}},\"tickUs\":2000,\"tier\":0,\"tiers\":[\"aktivasi\"],\"weights\":\"nominal\",\"zones\":[\"dc-cikarang\"]}}"
    )
}

/// A plan with a quota that no case reaches by accident, and no ceiling.
pub const WIDE_PLAN: &str = "{\"ceilingRate\":0.0,\"concurrency\":0,\"depth\":100000.0,\"excessCost\":0.5,\"excessWorth\":0.0,\"name\":\"distributor\",\"neverOverDepth\":0.0,\"rate\":100000.0,\"tolerance\":0.0,\"valueFactor\":1.4}";
