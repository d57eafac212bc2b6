//! Exchange of request ids between the two processes of a hand-over, over a Unix socket. Each tells the other which
//! requests it forwards that must not run twice, before it forwards them, and looks for the other's news before it
//! accepts a request: a client may leave one process and come again to the other.

use crate::driver::recent_ids::{RecentId, RecentIds};
use grebehook_core::Micros;
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::net::UnixStream;
use tracing::warn;

/// Maximum length of the ids that are sent at the beginning of an exchange: they fit into a socket's buffer.
const MAX_INITIAL_BYTES: usize = 128 << 10;
/// Number of bytes read per call.
const READ_CHUNK_BYTES: usize = 4 << 10;
/// Length of the numbers before an id: its length, and for how long it is remembered in microseconds.
const HEADER_BYTES: usize = 1 + size_of::<Micros>();

/// Marks the end of the ids that are sent at the beginning; no request has it as its id.
const INITIAL_END: &[u8] = b"";

/// Encodes an id: its length, the time for which it is still remembered, and the id. Both processes count on their own
/// clocks.
fn encode(now: Micros, recent: &RecentId) -> Vec<u8> {
    let remaining = recent.forgotten_at.saturating_sub(now);
    [&[recent.id.len() as u8][..], &remaining.to_be_bytes(), &recent.id].concat()
}

/// Decodes and removes the first id of the data; `None` if it is not complete.
fn decode(now: Micros, data: &mut Vec<u8>) -> Option<RecentId> {
    let length = usize::from(*data.first()?);
    let remaining = data.get(1..HEADER_BYTES)?.try_into().ok()?;
    let id = data.get(HEADER_BYTES..HEADER_BYTES + length)?.into();
    data.drain(..HEADER_BYTES + length);
    Some(RecentId { id, forgotten_at: now.saturating_add(Micros::from_be_bytes(remaining)) })
}

/// The other process of a hand-over.
struct OtherProcess {
    /// Non-blocking connection to it.
    stream: UnixStream,
    /// Beginning of an id that has not been received completely.
    partial: Vec<u8>,
    /// Whether all ids have been received that the other process knew at the beginning.
    has_initial_ids: bool,
}

impl OtherProcess {
    /// Adds the ids that the other process has sent. Fails once it has ended.
    fn receive(&mut self, now: Micros, ids: &mut RecentIds) -> io::Result<()> {
        let mut data = [0; READ_CHUNK_BYTES];
        loop {
            match self.stream.read(&mut data) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(read) => self.partial.extend_from_slice(&data[..read]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
            while let Some(recent) = decode(now, &mut self.partial) {
                if *recent.id == *INITIAL_END {
                    self.has_initial_ids = true;
                } else {
                    ids.insert(now, recent);
                }
            }
        }
    }
}

/// The exchange with the other processes of hand-overs: the predecessor, the successor, or both.
#[derive(Default)]
pub struct IdExchange {
    others: Vec<OtherProcess>,
}

impl IdExchange {
    /// Begins the exchange with another process, which gets the newest of the ids.
    pub fn begin(&mut self, now: Micros, stream: UnixStream, ids: &RecentIds) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        let mut initial = Vec::new();
        for recent in ids.newest_first().filter(|recent| recent.forgotten_at > now) {
            let encoded = encode(now, recent);
            if initial.len() + encoded.len() > MAX_INITIAL_BYTES {
                break;
            }
            initial.extend(encoded);
        }
        let end = RecentId { id: INITIAL_END.into(), forgotten_at: Micros::MAX };
        initial.extend(encode(now, &end));
        (&stream).write_all(&initial)?;
        self.others.push(OtherProcess { stream, partial: Vec::new(), has_initial_ids: false });
        Ok(())
    }

    /// Returns whether there is another process.
    pub fn is_active(&self) -> bool {
        !self.others.is_empty()
    }

    /// Returns whether another process has sent the ids that it knew at the beginning, or there is none.
    pub fn has_initial_ids(&self) -> bool {
        self.others.iter().all(|other| other.has_initial_ids)
    }

    /// Adds the ids that the other processes have sent.
    pub fn receive(&mut self, now: Micros, ids: &mut RecentIds) {
        self.others.retain_mut(|other| other.receive(now, ids).is_ok());
    }

    /// Sends an id to the other processes. The exchange with one that takes nothing ends.
    pub fn send(&mut self, now: Micros, recent: &RecentId) {
        let encoded = encode(now, recent);
        self.others.retain_mut(|other| match other.stream.write_all(&encoded) {
            Ok(()) => true,
            Err(error) => {
                warn!(%error, "the other process of the hand-over no longer learns which requests are forwarded");
                false
            }
        });
    }
}

#[cfg(test)]
mod tests;
