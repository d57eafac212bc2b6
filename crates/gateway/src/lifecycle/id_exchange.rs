//! Sockets of the exchange of request ids between the two processes of a hand-over. The serving process listens in
//! `$TMPDIR`; its successor connects before it accepts clients. A process of a version without the exchange neither
//! listens nor connects, and the hand-over goes on without.

use crate::driver::decision_driver::DecisionDriver;
use crate::lifecycle::takeover;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{UnixListener, UnixStream};
use tokio::task::spawn_local;
use tokio::time::sleep;
use tracing::warn;

/// Maximum time for which a starting process waits for the ids of its predecessor.
const INITIAL_IDS_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks for the ids of the predecessor.
const INITIAL_IDS_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which the ids of the other process are read while no request arrives.
const RECEIVE_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the path of the socket of the gateway that listens at an address, or `None` without `$TMPDIR`.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    takeover::socket_path("requests", listen)
}

/// Gets the ids of the earlier process, if there is one, and exchanges further ids with it from now on. Returns its
/// process id, if it is visible from here; it may be shutting down.
pub async fn join_predecessor(driver: &Rc<DecisionDriver>, listen: SocketAddr) -> Option<u32> {
    let stream = UnixStream::connect(socket_path(listen)?).await.ok()?;
    let process = takeover::peer_process(&stream);
    begin(driver, stream);
    let started_at = Instant::now();
    while !driver.receive_initial_ids() {
        if started_at.elapsed() > INITIAL_IDS_TIMEOUT {
            warn!("the predecessor does not tell which requests it has forwarded");
            break;
        }
        sleep(INITIAL_IDS_CHECK_INTERVAL).await;
    }
    process
}

/// Begins the exchange with each successor that connects. Never returns.
pub async fn accept_successors(driver: Rc<DecisionDriver>, listener: UnixListener) {
    loop {
        begin(&driver, takeover::accept(&listener).await);
    }
}

/// Begins the exchange over a connection, and reads what arrives until it ends.
fn begin(driver: &Rc<DecisionDriver>, stream: UnixStream) {
    let begun = stream.into_std().and_then(|stream| driver.begin_id_exchange(stream));
    if let Err(error) = begun {
        warn!(%error, "the exchange of request ids with the other process cannot begin");
        return;
    }
    let driver = driver.clone();
    spawn_local(async move {
        while driver.receive_ids() {
            sleep(RECEIVE_INTERVAL).await;
        }
    });
}
