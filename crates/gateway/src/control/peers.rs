//! Gossip with peers over UDP, in datagrams of at most 256 bytes.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Maximum size of a gossip message; longer ones are dropped.
const MAX_MESSAGE_BYTES: usize = 256;
/// Delay after a receive error, which keeps a persistent error from occupying the thread.
const RECEIVE_ERROR_DELAY: Duration = Duration::from_millis(5);

/// UDP socket for gossip with the other gateways.
pub struct GossipSocket {
    socket: UdpSocket,
    /// Gossip addresses of all gateways, by gateway index.
    addresses: Vec<SocketAddr>,
}

impl GossipSocket {
    /// Binds the socket to `listen`; `addresses` are those of all gateways, by gateway index.
    pub async fn bind(listen: SocketAddr, addresses: Vec<SocketAddr>) -> io::Result<GossipSocket> {
        Ok(GossipSocket { socket: UdpSocket::bind(listen).await?, addresses })
    }

    /// Sends a message to the gateway with index `recipient`. The message is dropped if the socket cannot
    /// take it at once or if it is longer than [`MAX_MESSAGE_BYTES`]; like any datagram, it may also be lost
    /// on the way.
    pub fn send(&self, recipient: usize, message: &[u8]) {
        if message.len() > MAX_MESSAGE_BYTES {
            return;
        }
        if let Some(address) = self.addresses.get(recipient) {
            let _ = self.socket.try_send_to(message, *address);
        }
    }

    /// Calls `on_message` with the sender's gateway index and each message, until the future is dropped.
    /// Messages that are too long or have an unknown sender address are dropped.
    pub async fn receive(self: Rc<Self>, on_message: impl Fn(usize, Vec<u8>)) {
        // The additional byte is filled only by a message that is too long.
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, address)) if length <= MAX_MESSAGE_BYTES => {
                    if let Some(sender) = self.gateway_index(address) {
                        on_message(sender, buffer[..length].to_vec());
                    }
                }
                Ok(_) => {}
                // The error may concern a single datagram, so receiving continues.
                Err(_) => sleep(RECEIVE_ERROR_DELAY).await,
            }
        }
    }

    fn gateway_index(&self, address: SocketAddr) -> Option<usize> {
        self.addresses.iter().position(|listed| *listed == address)
    }
}
