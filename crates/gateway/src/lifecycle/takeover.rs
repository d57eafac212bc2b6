//! The hand-over between two processes. Over a control socket, a Unix socket in `$TMPDIR`, the serving process
//! sends its successor the client listener, with all connections that wait there, and the state of the decision
//! core.

use crate::driver::decision_driver::DecisionDriver;
use crate::network::socket::Socket;
use rustix::io::retry_on_intr;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::time::{sleep, timeout};
use tracing::warn;

/// How long the serving process may take to hand everything over.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The delay after an accept error.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(20);
/// Largest state that is read.
const MAX_STATE_BYTES: u64 = 16 << 20;
/// The one byte of the message that carries the listener. The length of the state and the state follow it.
const LISTENER_MESSAGE: u8 = b'L';

/// A connection between the two processes.
pub type ControlConnection = Socket<UnixStream>;

/// What the process that served before has handed over.
pub struct Predecessor {
    /// The client listener, with the connections that wait there.
    pub listener: TcpListener,
    /// The state of its decision core.
    pub state: String,
    /// While this is open the predecessor accepts no clients.
    pub control_connection: ControlConnection,
}

/// The path of the control socket of the gateway at an address; `None` without `$TMPDIR`.
pub fn control_socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(PathBuf::from(folder).join(format!("takeover-{listen}")))
}

/// Asks the process that serves to hand over. `None` if there is none, as after a kill, or if it fails to.
pub async fn take_over(path: &Path) -> Option<Predecessor> {
    let connection = Socket::new(UnixStream::connect(path).await.ok()?);
    let received = timeout(TAKE_OVER_TIMEOUT, receive_all(connection)).await;
    match received.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
        Ok(predecessor) => Some(predecessor),
        Err(error) => {
            let socket = path.display();
            warn!(%socket, %error, "hand-over failed; starting without the state of the previous process");
            None
        }
    }
}

/// Receives the listener and the state.
async fn receive_all(mut connection: ControlConnection) -> io::Result<Predecessor> {
    let malformed = || io::Error::from(io::ErrorKind::InvalidData);
    let descriptor = receive_descriptor(connection.get_ref()).await?.ok_or_else(malformed)?;
    let listener = std::net::TcpListener::from(descriptor);
    listener.set_nonblocking(true)?;
    let length = connection.read_u64().await?;
    let mut state = String::new();
    (&mut connection).take(length.min(MAX_STATE_BYTES)).read_to_string(&mut state).await?;
    if state.len() as u64 != length {
        return Err(malformed());
    }
    let listener = TcpListener::from_std(listener)?;
    Ok(Predecessor { listener, state, control_connection: connection })
}

/// Listens for a successor of the gateway at an address. Without a control socket the successor can only listen
/// beside this process.
pub fn listen_for_successor(listen: SocketAddr) -> Option<UnixListener> {
    let path = control_socket_path(listen)?;
    match bind_control_socket(&path) {
        Ok(control_socket) => Some(control_socket),
        Err(error) => {
            let socket = path.display();
            warn!(%socket, %error, "control socket cannot be bound; no successor process can take over the state");
            None
        }
    }
}

/// Binds the control socket in place of the one of an earlier process, which has ended or handed over.
fn bind_control_socket(path: &Path) -> io::Result<UnixListener> {
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => UnixListener::bind(path),
    }
}

/// Waits for a successor to connect; for ever without a control socket.
pub async fn successor(control_socket: Option<&UnixListener>) -> ControlConnection {
    let Some(control_socket) = control_socket else { return std::future::pending().await };
    loop {
        match control_socket.accept().await {
            Ok((connection, _)) => return Socket::new(connection),
            Err(_) => sleep(ACCEPT_ERROR_DELAY).await,
        }
    }
}

/// Hands the listener and the state over, and waits for the end of the successor. Returns the error that showed it.
pub async fn hand_over(
    successor: &mut ControlConnection,
    listener: &TcpListener,
    driver: &Rc<DecisionDriver>,
) -> io::Error {
    match send_all(successor, listener, driver).await {
        // The successor sends nothing; its end closes the connection.
        Ok(()) => successor.read_u8().await.err().unwrap_or(io::ErrorKind::InvalidData.into()),
        Err(error) => error,
    }
}

/// Sends the listener and the state.
async fn send_all(
    successor: &mut ControlConnection,
    listener: &TcpListener,
    driver: &Rc<DecisionDriver>,
) -> io::Result<()> {
    send_descriptor(successor.get_ref(), listener.as_fd()).await?;
    driver.close_idle();
    let state = driver.hand_over();
    successor.write_u64(state.len() as u64).await?;
    successor.write_all(state.as_bytes()).await
}

/// Sends a descriptor.
async fn send_descriptor(to: &UnixStream, descriptor: BorrowedFd<'_>) -> io::Result<()> {
    to.async_io(Interest::WRITABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let descriptors = [descriptor];
        if !control.push(SendAncillaryMessage::ScmRights(&descriptors)) {
            return Err(io::ErrorKind::InvalidInput.into());
        }
        let message = [LISTENER_MESSAGE];
        retry_on_intr(|| sendmsg(to, &[IoSlice::new(&message)], &mut control, SendFlags::NOSIGNAL))?;
        Ok(())
    })
    .await
}

/// Receives a descriptor; `None` if the message is another one.
async fn receive_descriptor(from: &UnixStream) -> io::Result<Option<OwnedFd>> {
    from.async_io(Interest::READABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut message = [0];
        let flags = RecvFlags::CMSG_CLOEXEC;
        let received =
            retry_on_intr(|| recvmsg(from, &mut [IoSliceMut::new(&mut message)], &mut control, flags))?;
        let descriptor = control.drain().find_map(|ancillary| match ancillary {
            RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
            _ => None,
        });
        Ok(descriptor.filter(|_| received.bytes == 1 && message == [LISTENER_MESSAGE]))
    })
    .await
}
