//! Refuses new connections at a listener that is about to close.
//!
//! A connection whose handshake ends between the last `accept` and the listener's close is reset after its client
//! has sent a request. No order of `accept` and `close` prevents that, but a packet filter does: it drops the first
//! segment of every new handshake, so that the queue of the listener only gets shorter. A client whose segment was
//! dropped has no connection yet; its system sends the segment again and finds the address refused, or another
//! listener there.

use socket2::{SockFilter, SockRef};
use std::io;
use std::net::TcpListener;

/// Loads a byte of the segment into the accumulator: `BPF_LD | BPF_B | BPF_ABS`.
const LOAD_BYTE: u16 = 0x30;
/// Masks the accumulator: `BPF_ALU | BPF_AND | BPF_K`.
const AND: u16 = 0x54;
/// Jumps if the accumulator equals a value: `BPF_JMP | BPF_JEQ | BPF_K`.
const JUMP_IF_EQUAL: u16 = 0x15;
/// Returns how many bytes of the segment are kept: `BPF_RET | BPF_K`.
const RETURN: u16 = 0x06;
/// The offset of the flags in a TCP header, which is what the filter of a TCP socket sees first under IPv4 and IPv6.
const FLAGS_OFFSET: u32 = 13;
/// The flag of the two segments that open a connection.
const SYN: u32 = 0x02;
/// The flag of every segment but the first of a connection.
const ACK: u32 = 0x10;

/// Drops segments with `SYN` and without `ACK`, and keeps all others.
const REFUSE_NEW_HANDSHAKES: [SockFilter; 5] = [
    SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    SockFilter::new(AND, 0, 0, SYN | ACK),
    SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
    SockFilter::new(RETURN, 0, 0, 0),
    SockFilter::new(RETURN, 0, 0, u32::MAX),
];

/// Refuses new handshakes for as long as the listener is open, also in other processes that share its socket. Those
/// that have begun end, and connections accepted from them inherit the filter, which lets all their segments pass.
pub fn refuse_new_handshakes(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&REFUSE_NEW_HANDSHAKES)
}

#[cfg(test)]
mod tests;
