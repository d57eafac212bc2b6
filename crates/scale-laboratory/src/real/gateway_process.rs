//! A gateway process: its start, its figures in `/proc`, and its end.

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

/// A gateway that does not listen by then has failed to start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Part of the gateway's log line that ends with the address of its listener (`main.rs` there).
const ACCEPTS_CLIENTS: &str = "accepting clients";
/// Part of the gateway's log line about a new address of the counter (`lifecycle/reload.rs` there).
const COUNTER_CHANGED: &str = "counter_changed=true";
/// Units of time in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Field of `/proc/PID/stat` after the program's name: processor time in user mode.
const USER_TIME_FIELD: usize = 11;
/// The same for processor time in the kernel.
const SYSTEM_TIME_FIELD: usize = 12;

/// The lines of a gateway's log.
type LogLines = Lines<BufReader<ChildStderr>>;

/// A running gateway.
pub struct GatewayProcess {
    /// Its number.
    number: usize,
    /// Where clients connect.
    pub address: SocketAddr,
    /// The process.
    child: Child,
    /// Its process id.
    pid: u32,
    /// When the process was started; the base of `counter_moved_us`.
    epoch: Instant,
    /// When it last logged that the counter moved, microseconds after `epoch`; 0 before it did.
    counter_moved_us: Arc<AtomicU64>,
}

impl GatewayProcess {
    /// Starts the program with a configuration file and waits until it listens.
    pub async fn start(number: usize, program: &Path, configuration: &Path) -> Result<GatewayProcess> {
        let failed = |reason: String| LaboratoryError::Process { gateway: number, reason };
        let mut child = Command::new(program)
            .env("GW_CONFIG", configuration)
            .env_remove("TMPDIR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| failed(format!("{} cannot be started: {error}", program.display())))?;
        let pid = child.id().ok_or_else(|| failed("it ended at once".to_owned()))?;
        let log = child.stderr.take().ok_or_else(|| failed("it has no log".to_owned()))?;
        let mut lines = BufReader::new(log).lines();
        let address = timeout(START_TIMEOUT, listener_address(&mut lines))
            .await
            .map_err(|_| failed("it did not listen in time".to_owned()))?
            .map_err(failed)?;
        let epoch = Instant::now();
        let counter_moved_us = Arc::new(AtomicU64::new(0));
        tokio::spawn(follow_log(lines, counter_moved_us.clone(), epoch));
        Ok(GatewayProcess { number, address, child, pid, epoch, counter_moved_us })
    }

    /// Processor time that it has used.
    pub fn cpu_time(&self) -> Duration {
        let text = fs::read_to_string(self.proc_file("stat")).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |field: usize| fields.get(field).and_then(|ticks| ticks.parse::<u64>().ok()).unwrap_or(0);
        Duration::from_secs_f64((ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)) as f64 / TICKS_PER_SECOND)
    }

    /// Its resident memory, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let text = fs::read_to_string(self.proc_file("status")).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        line.split_whitespace().next().and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) * 1024
    }

    /// A file of its folder in `/proc`.
    fn proc_file(&self, file: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{file}", self.pid))
    }

    /// Fails if it has ended by itself.
    pub fn check_alive(&mut self) -> Result<()> {
        let reason = match self.child.try_wait() {
            Ok(None) => return Ok(()),
            Ok(Some(status)) => format!("ended: {status}"),
            Err(error) => error.to_string(),
        };
        Err(LaboratoryError::Process { gateway: self.number, reason })
    }

    /// Tells it to read its configuration again.
    pub fn reload(&self) {
        if let Some(pid) = i32::try_from(self.pid).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, Signal::HUP);
        }
    }

    /// When it last logged that the counter moved; `None` before it did.
    pub fn counter_moved_at(&self) -> Option<Instant> {
        let micros = self.counter_moved_us.load(Ordering::Relaxed);
        (micros > 0).then(|| self.epoch + Duration::from_micros(micros))
    }

    /// Kills it and waits for its end.
    pub async fn kill(mut self) {
        let _ = self.child.kill().await;
    }
}

/// Waits for the log line with the address; an error has the last line of a process that ends before.
async fn listener_address(lines: &mut LogLines) -> std::result::Result<SocketAddr, String> {
    let mut last_line = String::new();
    while let Ok(Some(line)) = lines.next_line().await {
        if line.contains(ACCEPTS_CLIENTS) {
            let address = line.rsplit('=').next().unwrap_or_default().trim();
            return address.parse().map_err(|_| format!("no address in '{line}'"));
        }
        last_line = line;
    }
    Err(format!("it ended before it listened: {last_line}"))
}

/// Reads the log on, so that the process never waits for a reader.
async fn follow_log(mut lines: LogLines, counter_moved_us: Arc<AtomicU64>, epoch: Instant) {
    while let Ok(Some(line)) = lines.next_line().await {
        if line.contains(COUNTER_CHANGED) {
            counter_moved_us.store(epoch.elapsed().as_micros() as u64, Ordering::Relaxed);
        }
    }
}
