//! Reload of the configuration at SIGHUP. New addresses of the discovery agent and of the shared counter take
//! effect at once, all other changes at the next start.

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

/// Time for which reading of an unusable file is retried, since the file may be only partly written when the
/// signal arrives. Changes at the new discovery agent have to reach the gateway within 4 s of the signal.
const RETRY_PERIOD: Duration = Duration::from_millis(3_000);
/// Delay before the file is read again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Task that reloads the configuration file and applies its changes.
pub struct ConfigReloader {
    /// Path of the configuration file.
    pub path: PathBuf,
    /// Sends the address of the discovery agent to the endpoint watch.
    pub discovery_address: watch::Sender<SocketAddr>,
    /// Client of the shared counter, if the gateway uses one.
    pub counter: Option<Rc<SharedCounter>>,
}

impl ConfigReloader {
    /// Reloads the file at every signal, for the lifetime of the process.
    pub async fn run(self, mut signal: Signal) {
        while signal.recv().await.is_some() {
            self.reload(&mut signal).await;
        }
    }

    /// Reads the file until it is usable or [`RETRY_PERIOD`] has passed since the last signal. A failure is
    /// logged once per signal.
    async fn reload(&self, signal: &mut Signal) {
        let mut signalled_at = Instant::now();
        let mut is_new_signal = true;
        loop {
            match Config::load(&self.path) {
                Ok(config) => return self.apply(&config),
                Err(error) if is_new_signal => self.log_failure(&error),
                Err(_) => {}
            }
            if signalled_at.elapsed() >= RETRY_PERIOD {
                return;
            }
            is_new_signal = timeout(RETRY_DELAY, signal.recv()).await.is_ok();
            if is_new_signal {
                signalled_at = Instant::now();
            }
        }
    }

    /// Applies the addresses of a configuration.
    fn apply(&self, config: &Config) {
        let replace = |current: &mut SocketAddr| {
            std::mem::replace(current, config.discovery_address) != config.discovery_address
        };
        let discovery_agent_changed = self.discovery_address.send_if_modified(replace);
        let counter = self.counter.as_ref().zip(config.counter_address);
        let counter_changed = counter.is_some_and(|(counter, address)| counter.set_address(address));
        let file = self.path.display();
        info!(%file, discovery_agent_changed, counter_changed, "configuration reloaded");
    }

    fn log_failure(&self, error: &ConfigError) {
        let file = self.path.display();
        let error = ErrorChain(error);
        warn!(%file, %error, "configuration cannot be used; keeping the previous configuration");
    }
}
