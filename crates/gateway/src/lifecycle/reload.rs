//! Reads the configuration again at SIGHUP. New addresses of the discovery agent and of the shared counter take
//! effect at once, everything else at the next start.

use crate::config::document::{Config, ConfigError};
use crate::control::counter::SharedCounter;
use crate::logging::ErrorChain;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::{timeout, Instant};
use tracing::{info, warn};

/// How long a file that cannot be used is read again: it may be written only in part when the signal arrives.
/// Changes at the new discovery agent must be learnt within 4 s of the signal.
const RETRY_TIME: Duration = Duration::from_millis(3_000);
/// The delay before the file is read again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Applies a changed configuration.
pub struct Reload {
    /// The file.
    pub path: PathBuf,
    /// Takes the address of the discovery agent.
    pub discovery_agent: watch::Sender<SocketAddr>,
    /// The shared counter, where there is one.
    pub counter: Option<Rc<SharedCounter>>,
}

impl Reload {
    /// Reads the file at every signal, for as long as the process lives.
    pub async fn run(self, mut signal: Signal) {
        while signal.recv().await.is_some() {
            self.reload(&mut signal).await;
        }
    }

    /// Reads the file until it can be used or the time for retries has passed since the last signal. A failure is
    /// logged once for each signal.
    async fn reload(&self, signal: &mut Signal) {
        let mut signalled_at = Instant::now();
        let mut is_new_signal = true;
        loop {
            match Config::load(&self.path) {
                Ok(config) => return self.apply(&config),
                Err(error) if is_new_signal => self.log_failure(&error),
                Err(_) => {}
            }
            if signalled_at.elapsed() >= RETRY_TIME {
                return;
            }
            is_new_signal = timeout(RETRY_DELAY, signal.recv()).await.is_ok();
            if is_new_signal {
                signalled_at = Instant::now();
            }
        }
    }

    /// Moves to the addresses of a configuration.
    fn apply(&self, config: &Config) {
        let replace =
            |current: &mut SocketAddr| std::mem::replace(current, config.discovery) != config.discovery;
        let discovery_agent_changed = self.discovery_agent.send_if_modified(replace);
        let counter = self.counter.as_ref().zip(config.counter);
        let counter_changed = counter.is_some_and(|(counter, address)| counter.set_address(address));
        let file = self.path.display();
        info!(%file, discovery_agent_changed, counter_changed, "configuration reloaded");
    }

    /// Logs that the file cannot be used.
    fn log_failure(&self, error: &ConfigError) {
        let file = self.path.display();
        let error = ErrorChain(error);
        warn!(%file, %error, "configuration cannot be used; keeping the previous configuration");
    }
}
