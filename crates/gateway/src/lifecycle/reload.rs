//! Reads the configuration again at SIGHUP. Another discovery agent and another address of the counter are taken up;
//! the rest of the file holds from the next start on.

use crate::config::document::Config;
use crate::control::counter::SharedCounter;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::{timeout, Instant};
use tracing::{info, warn};

/// A file that cannot be read, or used, as the signal comes may only be half written: it is read again for so long.
/// What discovery tells at the new address counts 4 s after the signal.
const RETRY_FOR: Duration = Duration::from_millis(3_000);
/// The pause before it is read again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What a new configuration changes.
pub struct Reload {
    /// The file.
    pub path: PathBuf,
    /// The address of the discovery agent.
    pub agent: watch::Sender<SocketAddr>,
    /// The shared counter, where there is one.
    pub counter: Option<Rc<SharedCounter>>,
}

impl Reload {
    /// Reads the file again at every signal, for as long as the gateway lives.
    pub async fn run(self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            let mut signalled = Instant::now();
            let mut tells_failure = true;
            while !self.take_up(tells_failure) && signalled.elapsed() < RETRY_FOR {
                tells_failure = timeout(RETRY_PAUSE, hangup.recv()).await.is_ok();
                if tells_failure {
                    signalled = Instant::now();
                }
            }
        }
    }

    /// Reads the file once and takes up what it says; whether it could be used.
    fn take_up(&self, tells_failure: bool) -> bool {
        let config = match Config::load(&self.path) {
            Ok(config) => config,
            Err(e) if tells_failure => {
                warn!("configuration: {e}; the old one stays in use");
                return false;
            }
            Err(_) => return false,
        };
        let describe = |moved| if moved { "moves" } else { "stays" };
        let replace = |old: &mut SocketAddr| std::mem::replace(old, config.discovery) != config.discovery;
        let agent = describe(self.agent.send_if_modified(replace));
        let counter = self.counter.as_ref().zip(config.counter);
        let counter = describe(counter.is_some_and(|(counter, at)| counter.relocate(at)));
        info!("configuration read again; discovery {agent}, the counter {counter}");
        true
    }
}
