//! Hand-over between two processes of a gateway. Over a control socket, a Unix socket in `$TMPDIR`, the
//! serving process sends its successor the client listener, with all connections in its backlog, and the
//! state of the decision core.

use crate::driver::decision_driver::DecisionDriver;
use crate::network::client_buffers::set_buffer_sizes;
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

/// Timeout for receiving the listener and the state from the predecessor.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay after an `accept` error of a socket between processes.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(20);
/// Maximum size of the state that is read.
const MAX_STATE_BYTES: u64 = 16 << 20;
/// Payload of the one-byte message that carries the listener. The length of the state and the state follow
/// it.
const LISTENER_MESSAGE: u8 = b'L';

/// Connection between predecessor and successor over the control socket.
pub type ControlConnection = Socket<UnixStream>;

/// Listener and state received from the predecessor.
pub struct Predecessor {
    /// Client listener, with the connections in its backlog.
    pub listener: TcpListener,
    /// Serialized state of the predecessor's decision core.
    pub state: String,
    /// Connection to the predecessor, which accepts no clients while it is open.
    pub control_connection: ControlConnection,
}

/// Returns the process id of the other end of a connection; `None` if it is not visible from here.
pub fn peer_process(connection: &UnixStream) -> Option<u32> {
    let credentials = connection.peer_cred().ok()?;
    credentials.pid().and_then(|process| u32::try_from(process).ok()).filter(|&process| process > 0)
}

/// Returns the path of the control socket of the gateway that listens at an address, or `None` if `$TMPDIR`
/// is unset or empty.
pub fn control_socket_path(listen: SocketAddr) -> Option<PathBuf> {
    socket_path("takeover", listen)
}

/// Returns the path of a socket between the processes of the gateway that listens at an address, or `None` if
/// `$TMPDIR` is unset or empty.
pub fn socket_path(purpose: &str, listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(PathBuf::from(folder).join(format!("{purpose}-{listen}")))
}

/// Takes over from the serving process. Returns `None` if no process serves, as after a kill, or if the
/// hand-over fails.
pub async fn take_over(path: &Path) -> Option<Predecessor> {
    let connection = Socket::new(UnixStream::connect(path).await.ok()?);
    let received = timeout(HANDOVER_TIMEOUT, receive_listener_and_state(connection)).await;
    match received.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
        Ok(predecessor) => Some(predecessor),
        Err(error) => {
            let socket = path.display();
            warn!(%socket, %error, "hand-over failed; starting without the predecessor's state");
            None
        }
    }
}

async fn receive_listener_and_state(mut connection: ControlConnection) -> io::Result<Predecessor> {
    let malformed = || io::Error::from(io::ErrorKind::InvalidData);
    let descriptor = receive_descriptor(connection.get_ref()).await?.ok_or_else(malformed)?;
    let listener = std::net::TcpListener::from(descriptor);
    listener.set_nonblocking(true)?;
    set_buffer_sizes(&listener)?;
    let length = connection.read_u64().await?;
    let mut state = String::new();
    (&mut connection).take(length.min(MAX_STATE_BYTES)).read_to_string(&mut state).await?;
    if state.len() as u64 != length {
        return Err(malformed());
    }
    let listener = TcpListener::from_std(listener)?;
    Ok(Predecessor { listener, state, control_connection: connection })
}

/// Waits for another process to connect. Retries errors.
pub async fn accept(listener: &UnixListener) -> UnixStream {
    loop {
        match listener.accept().await {
            Ok((connection, _)) => return connection,
            Err(_) => sleep(ACCEPT_ERROR_DELAY).await,
        }
    }
}

/// Hands over the listener and the state, and waits for the successor to end. Returns the error that ended
/// the connection.
pub async fn hand_over(
    successor: &mut ControlConnection,
    listener: &TcpListener,
    driver: &Rc<DecisionDriver>,
) -> io::Error {
    match send_listener_and_state(successor, listener, driver).await {
        // The successor sends nothing, so the read completes only when the successor ends and the connection
        // closes.
        Ok(()) => successor.read_u8().await.err().unwrap_or(io::ErrorKind::InvalidData.into()),
        Err(error) => error,
    }
}

async fn send_listener_and_state(
    successor: &mut ControlConnection,
    listener: &TcpListener,
    driver: &Rc<DecisionDriver>,
) -> io::Result<()> {
    send_descriptor(successor.get_ref(), listener.as_fd()).await?;
    driver.close_idle_server_connections();
    let state = driver.handover_state();
    successor.write_u64(state.len() as u64).await?;
    successor.write_all(state.as_bytes()).await
}

/// Sends a file descriptor as ancillary data of a [`LISTENER_MESSAGE`].
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

/// Receives a file descriptor; returns `None` if the message is not a [`LISTENER_MESSAGE`] that carries one.
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
