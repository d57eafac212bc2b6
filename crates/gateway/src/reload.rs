//! Reads the configuration again at SIGHUP. Another discovery agent and another address of the counter are taken up;
//! the rest of the file holds from the next start on.

use crate::config::Config;
use crate::counter::SharedCounter;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tracing::{info, warn};

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
            self.take_up();
        }
    }

    /// Reads the file once and takes up what it says.
    fn take_up(&self) {
        let config = match Config::load(&self.path) {
            Ok(config) => config,
            Err(e) => return warn!("configuration: {e}; the old one stays in use"),
        };
        let describe = |moved| if moved { "moves" } else { "stays" };
        let replace = |old: &mut SocketAddr| std::mem::replace(old, config.discovery) != config.discovery;
        let agent = describe(self.agent.send_if_modified(replace));
        let counter = self.counter.as_ref().zip(config.counter);
        let counter = describe(counter.is_some_and(|(counter, at)| counter.relocate(at)));
        info!("configuration read again; discovery {agent}, the counter {counter}");
    }
}
