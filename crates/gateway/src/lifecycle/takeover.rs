//! Taking over from the process that served before, and handing over to the successor: over a control socket, a
//! Unix socket in `$TMPDIR`, go the listener, with all that waits there, and what the decision core knows.

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
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::time::{sleep, timeout};
use tracing::warn;

/// A process that is there says all that the next one needs to begin within this time.
const ANSWER_MOST: Duration = Duration::from_millis(1_500);
/// The pause after an accept error.
const PAUSE: Duration = Duration::from_millis(20);
/// The most that a module may hand over.
const STATE_MOST: u64 = 16 << 20;

/// The one byte that comes with the listener; the length of the state and the state follow.
const LISTENER: u8 = b'L';

/// A connection between the two processes.
pub type ControlConnection = Socket<UnixStream>;

/// Where the control socket of this gateway is; nowhere without `$TMPDIR`.
pub fn control_socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(PathBuf::from(folder).join(format!("takeover-{listen}")))
}

/// What the process before has handed over.
pub struct Predecessor {
    /// Where clients connect, with those that wait there.
    pub listener: TcpListener,
    /// What its decision core knows.
    pub state: String,
    /// As long as this is open the old process leaves it all to this one.
    pub control_connection: ControlConnection,
}

/// Asks the process that serves to hand over. `None` if there is none, as after a kill, or it does not answer.
pub async fn take_over(path: &PathBuf) -> Option<Predecessor> {
    let mut held = Socket::new(UnixStream::connect(path).await.ok()?);
    match timeout(ANSWER_MOST, receive_all(&mut held)).await {
        Ok(Ok((listener, state))) => Some(Predecessor { listener, state, control_connection: held }),
        Ok(Err(e)) => {
            warn!(error = %e, "nothing is taken over");
            None
        }
        Err(_) => {
            warn!("nothing is taken over: the old process does not answer");
            None
        }
    }
}

async fn receive_all(from: &mut ControlConnection) -> io::Result<(TcpListener, String)> {
    let malformed = || io::Error::from(io::ErrorKind::InvalidData);
    let listener =
        std::net::TcpListener::from(receive_descriptor(from.get_ref()).await?.ok_or_else(malformed)?);
    listener.set_nonblocking(true)?;
    let length = from.read_u64().await?;
    let mut state = String::new();
    from.take(length.min(STATE_MOST)).read_to_string(&mut state).await?;
    if state.len() as u64 != length {
        return Err(malformed());
    }
    Ok((TcpListener::from_std(listener)?, state))
}

/// Listens for the successor. What an earlier process left there is removed: nobody listens on
/// it any more, or it has just handed over.
pub fn control_socket(path: &PathBuf) -> io::Result<UnixListener> {
    match std::fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => UnixListener::bind(path),
    }
}

/// The successor, once it calls; never, where it cannot.
pub async fn successor(control_socket: Option<&UnixListener>) -> ControlConnection {
    loop {
        match control_socket {
            Some(control_socket) => match control_socket.accept().await {
                Ok((successor, _)) => return Socket::new(successor),
                Err(_) => sleep(PAUSE).await,
            },
            None => std::future::pending().await,
        }
    }
}

/// Hands over the listener and what the decision core knows, and waits for the end of the successor.
pub async fn hand_over(
    to: &mut ControlConnection,
    listener: &TcpListener,
    core: &Rc<DecisionDriver>,
) -> io::Error {
    match send_all(to, listener, core).await {
        // Nothing comes from there but the end.
        Ok(()) => to.read_u8().await.err().unwrap_or(io::ErrorKind::InvalidData.into()),
        Err(e) => e,
    }
}

async fn send_all(
    to: &mut ControlConnection,
    listener: &TcpListener,
    core: &Rc<DecisionDriver>,
) -> io::Result<()> {
    send_descriptor(to.get_ref(), listener.as_fd()).await?;
    core.close_idle();
    let state = core.hand_over();
    to.write_u64(state.len() as u64).await?;
    to.write_all(state.as_bytes()).await
}

async fn send_descriptor(to: &UnixStream, descriptor: BorrowedFd<'_>) -> io::Result<()> {
    to.async_io(Interest::WRITABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let descriptors = [descriptor];
        if !control.push(SendAncillaryMessage::ScmRights(&descriptors)) {
            return Err(io::ErrorKind::InvalidInput.into());
        }
        retry_on_intr(|| sendmsg(to, &[IoSlice::new(&[LISTENER])], &mut control, SendFlags::NOSIGNAL))?;
        Ok(())
    })
    .await
}

/// The descriptor that is handed over; `None` where something else comes.
async fn receive_descriptor(from: &UnixStream) -> io::Result<Option<OwnedFd>> {
    from.async_io(Interest::READABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut byte = [0];
        let flags = RecvFlags::CMSG_CLOEXEC;
        let read = retry_on_intr(|| recvmsg(from, &mut [IoSliceMut::new(&mut byte)], &mut control, flags))?;
        let descriptor = control.drain().find_map(|message| match message {
            RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
            _ => None,
        });
        Ok(descriptor.filter(|_| read.bytes == 1 && byte == [LISTENER]))
    })
    .await
}
