//! Exchange of endpoint lists between the two processes of a hand-over. The serving process listens in `$TMPDIR`; its
//! successor connects before it accepts clients. The predecessor sends its list, then each process sends what discovery
//! tells it, as the rules see a single gateway. A process of a version without the exchange neither listens nor connects.

use crate::config::names::WireNames;
use crate::control::current_list::{ConnectionNumber, CurrentList, ListChange, ListUpdate};
use crate::control::list_transfer::{write_update, TransferError, UpdateReader};
use crate::lifecycle::handover_role::HandoverRole;
use crate::lifecycle::takeover;
use crate::logging::ErrorChain;
use crate::network::socket::Socket;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{split, AsyncRead, WriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::broadcast::{error::RecvError, Receiver};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;
use tracing::warn;

/// Maximum time for which a starting process waits for the list of its predecessor. One that arrives later is used
/// from then on.
const INITIAL_LIST_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the path of the socket of the gateway that listens at an address, or `None` without `$TMPDIR`.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    takeover::socket_path("endpoints", listen)
}

/// Connects to the process at the socket of the gateway that listens at an address, if there is one.
pub async fn connect(listen: SocketAddr) -> Option<UnixStream> {
    UnixStream::connect(socket_path(listen)?).await.ok()
}

/// The exchange of endpoint lists with the other processes of hand-overs.
pub struct EndpointExchange {
    list: Rc<CurrentList>,
    names: WireNames,
    /// Address of the discovery agent of this process, which follows its successor's.
    discovery_address: watch::Sender<SocketAddr>,
    /// Number of the next connection.
    next_connection: Cell<u64>,
}

impl EndpointExchange {
    /// Creates the exchange of a process.
    pub fn new(
        list: Rc<CurrentList>,
        names: WireNames,
        discovery_address: watch::Sender<SocketAddr>,
    ) -> Rc<EndpointExchange> {
        Rc::new(EndpointExchange { list, names, discovery_address, next_connection: Cell::default() })
    }

    /// Gets the list of the earlier process, if there is one, and exchanges changes with it from now on.
    pub async fn join_predecessor(self: &Rc<Self>, listen: SocketAddr) {
        let Some(stream) = connect(listen).await else { return };
        let (sender, initial_list) = oneshot::channel();
        spawn_local(self.clone().exchange(stream, HandoverRole::Predecessor, Some(sender)));
        if timeout(INITIAL_LIST_TIMEOUT, initial_list).await.is_err() {
            warn!("the predecessor does not tell its endpoint list");
        }
    }

    /// Uses the lists that a process tells to which the successor of this one has handed over, until it ends.
    pub async fn follow(&self, stream: UnixStream) {
        let stream = Socket::new(stream);
        let result = self.receive(stream, HandoverRole::Successor, self.next_number(), None).await;
        log_end(result, HandoverRole::Successor);
    }

    /// Exchanges lists with each successor that connects. Never returns.
    pub async fn accept_successors(self: Rc<Self>, listener: UnixListener) {
        loop {
            let stream = takeover::accept(&listener).await;
            spawn_local(self.clone().exchange(stream, HandoverRole::Successor, None));
        }
    }

    /// Exchanges lists with another process until the connection ends. `initial_list` is told of the first list.
    async fn exchange(
        self: Rc<Self>,
        stream: UnixStream,
        other: HandoverRole,
        initial_list: Option<oneshot::Sender<()>>,
    ) {
        let number = self.next_number();
        let (reading, writing) = split(Socket::new(stream));
        let changes = self.list.subscribe();
        let result = tokio::select! {
            result = self.receive(reading, other, number, initial_list) => result,
            result = self.send(writing, changes, other, number) => result,
        };
        log_end(result, other);
    }

    /// Returns a number for a new connection.
    fn next_number(&self) -> ConnectionNumber {
        ConnectionNumber(self.next_connection.replace(self.next_connection.get() + 1))
    }

    /// Adopts the lists of another process that are newer than the current one.
    async fn receive(
        &self,
        stream: impl AsyncRead + Unpin,
        other: HandoverRole,
        connection: ConnectionNumber,
        mut initial_list: Option<oneshot::Sender<()>>,
    ) -> Result<(), TransferError> {
        let mut reader = UpdateReader::new(stream, self.names.clone());
        while let Some(header) = reader.read_header().await? {
            if self.list.accepts(&header, other) {
                let endpoints = reader.read_endpoints(header.endpoint_count).await?;
                let is_of_other_agent = self.list.version_of(header.agent).is_none();
                let is_adopted = self.list.adopt(ListUpdate { header, endpoints }, other, connection);
                if is_adopted && is_of_other_agent && other == HandoverRole::Successor {
                    self.watch_agent(header.agent);
                }
            } else {
                reader.skip_endpoints(header.endpoint_count).await?;
            }
            if let Some(initial_list) = initial_list.take() {
                // Fails only once nobody waits any more.
                let _ = initial_list.send(());
            }
        }
        Ok(())
    }

    /// Watches the list at the agent of the successor, whose configuration is the newer one.
    fn watch_agent(&self, agent: SocketAddr) {
        let replace = |current: &mut SocketAddr| std::mem::replace(current, agent) != agent;
        self.discovery_address.send_if_modified(replace);
    }

    /// Sends the complete list, to a successor at once and to a predecessor with the first change, and then each
    /// change.
    async fn send(
        &self,
        mut stream: WriteHalf<Socket<UnixStream>>,
        mut changes: Receiver<ListChange>,
        other: HandoverRole,
        connection: ConnectionNumber,
    ) -> Result<(), TransferError> {
        let mut has_complete_list = other == HandoverRole::Successor;
        if has_complete_list {
            write_update(&mut stream, &self.list.complete(), &self.names).await?;
        }
        loop {
            let delta = match changes.recv().await {
                Ok(change) if change.told_by == Some(connection) => continue,
                Ok(change) => change.delta.filter(|_| has_complete_list),
                Err(RecvError::Lagged(_)) => None,
                Err(RecvError::Closed) => return Ok(()),
            };
            match delta {
                Some(delta) => write_update(&mut stream, &delta, &self.names).await?,
                None => write_update(&mut stream, &self.list.complete(), &self.names).await?,
            }
            has_complete_list = true;
        }
    }
}

/// Logs the error that has ended an exchange. A process that ends may leave data unread, which is no failure.
fn log_end(result: Result<(), TransferError>, other: HandoverRole) {
    if let Err(error) = result.or_else(TransferError::ignore_disconnect) {
        let error = ErrorChain(&error);
        warn!(%error, "the exchange of endpoint lists with the {other} has ended");
    }
}
