//! Gossip between gateways: UDP datagrams of at most 256 bytes.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// The largest message.
const MAX_MESSAGE_BYTES: usize = 256;
/// The delay after a receive error, so that one that lasts does not keep the thread busy.
const RECEIVE_ERROR_DELAY: Duration = Duration::from_millis(5);

/// The gossip socket and the addresses of all gateways.
pub struct Peers {
    /// The socket for both directions.
    socket: UdpSocket,
    /// The gateways' addresses by their numbers.
    addresses: Vec<SocketAddr>,
}

impl Peers {
    /// Binds the socket.
    pub async fn bind(listen: SocketAddr, addresses: Vec<SocketAddr>) -> io::Result<Peers> {
        Ok(Peers { socket: UdpSocket::bind(listen).await?, addresses })
    }

    /// Sends a message if it can be sent at once; like any datagram it may be lost. One that is longer than the
    /// protocol allows is dropped.
    pub fn send(&self, to: usize, message: &[u8]) {
        if message.len() > MAX_MESSAGE_BYTES {
            return;
        }
        if let Some(address) = self.addresses.get(to) {
            let _ = self.socket.try_send_to(message, *address);
        }
    }

    /// Passes on each message with its sender's number, for as long as the process lives. Messages that are too
    /// long or come from an unknown address are dropped.
    pub async fn receive(self: Rc<Self>, on_message: impl Fn(usize, Vec<u8>)) {
        // One byte more than allowed shows that a message is too long.
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, address)) if length <= MAX_MESSAGE_BYTES => {
                    if let Some(sender) = self.number_of(address) {
                        on_message(sender, buffer[..length].to_vec());
                    }
                }
                Ok(_) => {}
                // An error of one datagram says nothing about the next.
                Err(_) => sleep(RECEIVE_ERROR_DELAY).await,
            }
        }
    }

    /// The number of the gateway at an address.
    fn number_of(&self, address: SocketAddr) -> Option<usize> {
        self.addresses.iter().position(|listed| *listed == address)
    }
}
