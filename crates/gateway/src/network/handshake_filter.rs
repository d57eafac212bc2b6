//! Packet filter that refuses new connections at a listener about to close.
//!
//! A connection whose handshake completes between the last `accept` and the close of the listener is reset
//! after its client has sent a request. No order of `accept` and `close` prevents that, but a packet filter
//! does: it drops the first segment of every new handshake, so that the accept queue can only shrink. A
//! client whose segment was dropped has no connection yet. Its operating system retransmits the segment,
//! which is then refused, or answered by another listener at the address.

use socket2::{SockFilter, SockRef};
use std::io;
use std::net::TcpListener;

/// Loads a byte of the segment into the accumulator: `BPF_LD | BPF_B | BPF_ABS`.
const LOAD_BYTE: u16 = 0x30;
/// Masks the accumulator: `BPF_ALU | BPF_AND | BPF_K`.
const AND: u16 = 0x54;
/// Jumps if the accumulator equals a value: `BPF_JMP | BPF_JEQ | BPF_K`.
const JUMP_IF_EQUAL: u16 = 0x15;
/// Returns the number of bytes of the segment to keep: `BPF_RET | BPF_K`.
const RETURN: u16 = 0x06;
/// Offset of the flags in a TCP header, with which the input of a TCP socket's filter starts under IPv4 and
/// IPv6.
const FLAGS_OFFSET: u32 = 13;
/// Flag of the two segments that open a connection.
const SYN: u32 = 0x02;
/// Flag of every segment of a connection except the first.
const ACK: u32 = 0x10;

/// Drops segments with `SYN` and without `ACK`, and keeps all others.
const REFUSE_NEW_HANDSHAKES: [SockFilter; 5] = [
    SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    SockFilter::new(AND, 0, 0, SYN | ACK),
    SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
    SockFilter::new(RETURN, 0, 0, 0),
    SockFilter::new(RETURN, 0, 0, u32::MAX),
];

/// Refuses new handshakes while the listener is open, also in other processes that share its socket.
/// Handshakes in progress complete; the connections accepted from them inherit the filter, which passes all
/// their segments.
pub fn refuse_new_handshakes(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&REFUSE_NEW_HANDSHAKES)
}

#[cfg(test)]
mod tests;
