//! A gateway process: start, resource usage from `/proc`, reload and termination.

use crate::error::{LaboratoryError, Result};
use rustix::process::{kill_process, Pid, Signal};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStderr, Command};
use tokio::time::timeout;

/// Time within which a gateway has to listen after its start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Text in the gateway's log line that ends with the address of its listener (`main.rs` of the gateway).
const LISTENING_MARKER: &str = "accepting clients";
/// Text in the gateway's log line about a new counter address (`lifecycle/reload.rs` of the gateway).
const COUNTER_CHANGED_MARKER: &str = "counter_changed=true";
/// Clock ticks per second, the unit of processor times in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user-mode processor time among the fields of `/proc/PID/stat` after the program's name.
const USER_TIME_FIELD: usize = 11;
/// Index of the kernel-mode processor time among the same fields.
const SYSTEM_TIME_FIELD: usize = 12;

/// Lines of a gateway's log, read from its standard error.
type LogLines = Lines<BufReader<ChildStderr>>;

/// A gateway process that has been started and listens.
pub struct GatewayProcess {
    /// Index of the gateway in the fleet.
    gateway: usize,
    /// Address of the listener for clients.
    pub address: SocketAddr,
    child: Child,
    pid: u32,
    /// Time at which the gateway was seen to listen; the base of `counter_changed_us`.
    listening_since: Instant,
    /// Time of the last logged change of the counter address, in microseconds after `listening_since`;
    /// 0 if none was logged.
    counter_changed_us: Arc<AtomicU64>,
}

impl GatewayProcess {
    /// Starts the program with a configuration file and waits until it listens.
    pub async fn start(gateway: usize, program: &Path, configuration: &Path) -> Result<GatewayProcess> {
        let process_error = |reason: String| LaboratoryError::Process { gateway, reason };
        let mut child = Command::new(program)
            .env("GW_CONFIG", configuration)
            .env_remove("TMPDIR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| {
                process_error(format!("program {} cannot be started: {error}", program.display()))
            })?;
        let pid = child.id().ok_or_else(|| process_error("the process ended at once".to_owned()))?;
        let log = child.stderr.take().ok_or_else(|| {
            process_error("the process has no standard error to read its log from".to_owned())
        })?;
        let mut lines = BufReader::new(log).lines();
        let address = timeout(START_TIMEOUT, read_listener_address(&mut lines))
            .await
            .map_err(|_| {
                process_error(format!("the process did not listen within {} s", START_TIMEOUT.as_secs()))
            })?
            .map_err(process_error)?;
        let listening_since = Instant::now();
        let counter_changed_us = Arc::new(AtomicU64::new(0));
        tokio::spawn(follow_log(lines, counter_changed_us.clone(), listening_since));
        Ok(GatewayProcess { gateway, address, child, pid, listening_since, counter_changed_us })
    }

    /// Returns the processor time that the process has used in user and kernel mode.
    pub fn cpu_time(&self) -> Duration {
        let text = fs::read_to_string(self.proc_file("stat")).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |field: usize| fields.get(field).and_then(|ticks| ticks.parse::<u64>().ok()).unwrap_or(0);
        Duration::from_secs_f64((ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)) as f64 / TICKS_PER_SECOND)
    }

    /// Returns the resident memory of the process in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let text = fs::read_to_string(self.proc_file("status")).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        line.split_whitespace().next().and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) * 1024
    }

    fn proc_file(&self, file: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{file}", self.pid))
    }

    /// Fails if the process has ended by itself.
    pub fn check_alive(&mut self) -> Result<()> {
        let reason = match self.child.try_wait() {
            Ok(None) => return Ok(()),
            Ok(Some(status)) => format!("the process ended by itself: {status}"),
            Err(error) => format!("the status of the process cannot be read: {error}"),
        };
        Err(LaboratoryError::Process { gateway: self.gateway, reason })
    }

    /// Makes the gateway reload its configuration, by the signal SIGHUP.
    pub fn reload(&self) {
        if let Some(pid) = i32::try_from(self.pid).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, Signal::HUP);
        }
    }

    /// Returns the time of the last logged change of the counter address; `None` if none was logged.
    pub fn counter_changed_at(&self) -> Option<Instant> {
        let elapsed_us = self.counter_changed_us.load(Ordering::Relaxed);
        (elapsed_us > 0).then(|| self.listening_since + Duration::from_micros(elapsed_us))
    }

    /// Kills the process and waits until it has ended.
    pub async fn kill(mut self) {
        let _ = self.child.kill().await;
    }
}

/// Waits for the log line with the listener address and returns the address. If the process ends first, the
/// error contains its last log line.
async fn read_listener_address(lines: &mut LogLines) -> std::result::Result<SocketAddr, String> {
    let mut last_line = String::new();
    while let Ok(Some(line)) = lines.next_line().await {
        if line.contains(LISTENING_MARKER) {
            let address = line.rsplit('=').next().unwrap_or_default().trim();
            return address.parse().map_err(|_| format!("no listener address in log line '{line}'"));
        }
        last_line = line;
    }
    Err(format!("the process ended before it listened; last log line: {last_line}"))
}

/// Reads the rest of the log, so that the process never blocks on a full pipe, and records changes of the
/// counter address.
async fn follow_log(mut lines: LogLines, counter_changed_us: Arc<AtomicU64>, listening_since: Instant) {
    while let Ok(Some(line)) = lines.next_line().await {
        if line.contains(COUNTER_CHANGED_MARKER) {
            counter_changed_us.store(listening_since.elapsed().as_micros() as u64, Ordering::Relaxed);
        }
    }
}
