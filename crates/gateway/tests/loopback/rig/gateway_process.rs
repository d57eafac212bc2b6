//! A gateway process: its log, its signals, and its state in `/proc`.

use super::client::Client;
use super::deployment::Deployment;
use super::files::write_config;
use super::launch::{send_signal, Launch};
use super::request::UNKNOWN_PATH;
use super::server::Server;
use super::EVENT_TIMEOUT;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ExitStatus};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// Code in Linux's `/proc/net/tcp` for a connection that the remote side has closed and the local side
/// has not.
const CLOSE_WAIT: &str = "08";
/// Time after which input that the gateway has not read counts as held back.
const HELD_BACK_TIME: Duration = Duration::from_millis(300);
/// Interval between two looks at the system's table of connections.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time within which a connection is found in the system's table.
const MAX_TABLE_TIME: Duration = Duration::from_millis(100);
/// Fields of `/proc/PID/stat` for user and system time, counted from the process state as field 0.
const CPU_TIME_FIELDS: [usize; 2] = [11, 12];

/// A running gateway, killed when dropped.
pub struct GatewayProcess {
    child: Child,
    config_file: PathBuf,
    /// Log lines that no test has read yet.
    log_lines: Receiver<String>,
    /// Address on which the gateway accepts clients.
    pub address: SocketAddr,
}

impl GatewayProcess {
    /// Starts a gateway process and waits until it accepts clients.
    pub fn start(config: &str, launch: &Launch) -> GatewayProcess {
        let config_file = write_config(config);
        let mut child = launch.spawn(&config_file);
        let log = BufReader::new(child.stderr.take().unwrap());
        let (sender, log_lines) = channel();
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                eprintln!("{line}");
                let _ = sender.send(line);
            }
        });
        let unknown_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut gateway = GatewayProcess { child, config_file, log_lines, address: unknown_address };
        gateway.address = gateway.wait_for_logged_address("accepting clients");
        gateway
    }

    /// Starts a gateway with the default configuration and one server.
    pub fn in_front_of(server: &Server) -> GatewayProcess {
        Deployment::with_server(server).start()
    }

    /// Waits for a log line that contains this text, and returns the line; skips the lines before it.
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self.log_lines.recv_timeout(EVENT_TIMEOUT);
            let line =
                line.unwrap_or_else(|error| panic!("no log line of the gateway contains '{text}': {error}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Waits for a log line that contains this text, and returns the address at the end of the line.
    fn wait_for_logged_address(&self, text: &str) -> SocketAddr {
        self.wait_for_log(text).trim().rsplit('=').next().unwrap().parse().unwrap()
    }

    /// Waits for the log line with the address of the operator interface, which the configuration must
    /// enable.
    pub fn operator_address(&self) -> SocketAddr {
        self.wait_for_logged_address("answering operators")
    }

    /// Replaces the configuration file atomically and signals the gateway to reload it.
    pub fn reload_with(&self, config: &str) {
        self.replace_config_file(config);
        self.signal("-HUP");
    }

    /// Replaces the configuration file atomically without sending a signal.
    pub fn replace_config_file(&self, config: &str) {
        std::fs::rename(write_config(config), &self.config_file).unwrap();
    }

    /// Opens a client connection.
    pub fn connect(&self) -> Client {
        Client::connect(self.address).expect("the gateway accepts a connection")
    }

    /// Waits until the gateway has read all data sent before this call, by which time it answers a request on
    /// a new connection.
    pub fn wait_until_input_read(&self) {
        assert_eq!(self.connect().call(UNKNOWN_PATH).status(), 400);
    }

    /// Returns the processor time used by the process, in system ticks of 10 ms.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = self.stat_fields();
        CPU_TIME_FIELDS.iter().map(|&field| stat[field].parse::<u64>().unwrap()).sum()
    }

    /// Returns the resident memory of the process in KiB.
    pub fn resident_kib(&self) -> u64 {
        self.memory_kib("VmRSS:")
    }

    /// Returns the most resident memory that the process has had, in KiB.
    pub fn peak_resident_kib(&self) -> u64 {
        self.memory_kib("VmHWM:")
    }

    /// Returns an amount of memory in `/proc/PID/status`, in KiB.
    fn memory_kib(&self, field: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = text.lines().find_map(|line| line.strip_prefix(field)).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }

    /// Sends SIGTERM, which starts a graceful shutdown.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends SIGINT.
    pub fn interrupt(&self) {
        self.signal("-INT");
    }

    /// Suspends the process with SIGSTOP until [`GatewayProcess::resume`]; returns once the process has
    /// stopped.
    pub fn pause(&self) {
        self.signal("-STOP");
        while self.state() != "T" {
            thread::yield_now();
        }
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, name: &str) {
        send_signal(&self.child, name);
    }

    /// Returns whether the process has exited and is a zombie.
    pub fn has_exited(&self) -> bool {
        self.state() == "Z"
    }

    /// Kills the process unless it has already exited; panics if it has exited with an error.
    pub fn kill_unless_exited(mut self) {
        match self.child.try_wait().unwrap() {
            Some(status) => assert!(status.success(), "the gateway exited with {status}"),
            None => self.kill(),
        }
    }

    /// Kills the process with SIGKILL.
    pub fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits until the process exits, and returns its exit status.
    pub fn wait(mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    /// Waits until the process exits, and returns the log lines that no test has read yet; panics if it exits
    /// with an error.
    pub fn log_until_exit(&mut self) -> Vec<String> {
        assert!(self.child.wait().unwrap().success());
        self.log_lines.iter().collect()
    }

    /// Waits until at least `count` client connections are closed by the client but not yet by the gateway: a
    /// busy machine delivers data and the end of a connection over loopback with a delay.
    pub fn wait_for_half_closed_connections(&self, count: usize) {
        let deadline = Instant::now() + EVENT_TIMEOUT;
        while self.connections_in(CLOSE_WAIT) < count {
            assert!(Instant::now() < deadline, "fewer than {count} connections became half-closed");
            thread::yield_now();
        }
    }

    /// Waits until the gateway has read all that a client has sent. Returns false if it holds input back.
    pub fn reads_all_from(&self, client: &Client) -> bool {
        let deadline = Instant::now() + HELD_BACK_TIME;
        while self.unread_bytes_of(client) > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// Returns the number of bytes of a client that have reached the gateway's machine and were not read.
    fn unread_bytes_of(&self, client: &Client) -> u64 {
        unread_bytes(self.address.port(), client.port())
    }

    /// Returns the number of connections at the gateway's port in a state of `/proc/net/tcp`.
    fn connections_in(&self, state: &str) -> usize {
        let port = format!(":{:04X}", self.address.port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let rows = table.lines().map(|row| row.split_whitespace().collect::<Vec<&str>>());
        rows.filter(|row| row.len() > 3 && row[1].ends_with(&port) && row[3] == state).count()
    }

    /// Returns the state letter of the process in `/proc/PID/stat`.
    fn state(&self) -> String {
        self.stat_fields().swap_remove(0)
    }

    /// Returns the fields of `/proc/PID/stat` from the process state on.
    fn stat_fields(&self) -> Vec<String> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let (_, fields) = text.rsplit_once(')').unwrap();
        fields.split_whitespace().map(str::to_owned).collect()
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the number of bytes that have arrived at `local_port` of a connection and were not read, by `/proc/net/tcp`.
/// A read of that table may miss a row while other connections come and go.
fn unread_bytes(local_port: u16, remote_port: u16) -> u64 {
    let deadline = Instant::now() + MAX_TABLE_TIME;
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let found = table.lines().find_map(|row| parse_unread_bytes(row, local_port, remote_port));
        if let Some(unread) = found {
            return unread;
        }
        assert!(Instant::now() < deadline, "the client is connected");
    }
}

/// Returns the number of bytes that were not read, if `row` of `/proc/net/tcp` is that of the connection.
fn parse_unread_bytes(row: &str, local_port: u16, remote_port: u16) -> Option<u64> {
    let columns: Vec<&str> = row.split_whitespace().collect();
    let &[_, local, remote, _, queues, ..] = columns.as_slice() else { return None };
    if !local.ends_with(&format!(":{local_port:04X}")) || !remote.ends_with(&format!(":{remote_port:04X}")) {
        return None;
    }
    let (_, unread) = queues.split_once(':')?;
    u64::from_str_radix(unread, 16).ok()
}
