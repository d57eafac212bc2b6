//! The part of a streamed body that has been forwarded and is kept, so that a further attempt can send it again
//! after a server has rejected the request.

use crate::bodies::block_buffer::BlockBuffer;
use crate::bodies::memory::{BodyMemory, Reservation};
use crate::bodies::size::{MAX_BODY_FRAME_BYTES, MAX_REPLAYED_BODY_BYTES};
use bytes::Bytes;

/// A buffer that grows while spare memory for request bodies is left, up to [`MAX_REPLAYED_BODY_BYTES`].
pub struct ReplayBuffer {
    data: BlockBuffer,
    memory: BodyMemory,
    /// The memory of `data`.
    reservations: Vec<Reservation>,
}

impl ReplayBuffer {
    /// Creates an empty buffer.
    pub fn new(memory: BodyMemory) -> ReplayBuffer {
        ReplayBuffer { data: BlockBuffer::default(), memory, reservations: Vec::new() }
    }

    /// Returns whether the buffer can take the next frame of a body, of any length. Grows if necessary.
    pub fn has_room(&mut self) -> bool {
        self.room() >= MAX_BODY_FRAME_BYTES || self.grow()
    }

    /// Returns the number of bytes for which memory is reserved.
    fn reserved(&self) -> usize {
        self.reservations.len() * MAX_BODY_FRAME_BYTES
    }

    /// Returns the number of bytes that the buffer can take without growing.
    fn room(&self) -> usize {
        self.reserved() - self.data.len()
    }

    /// Grows by one frame. Returns false, without a change, at the limit or if too little memory is left.
    fn grow(&mut self) -> bool {
        if self.reserved() + MAX_BODY_FRAME_BYTES > MAX_REPLAYED_BODY_BYTES {
            return false;
        }
        let Some(reservation) = self.memory.try_reserve(MAX_BODY_FRAME_BYTES) else { return false };
        self.reservations.push(reservation);
        true
    }

    /// Appends data. Returns false, without a change, if it does not fit.
    pub fn append(&mut self, data: &[u8]) -> bool {
        let fits = self.room() >= data.len();
        if fits {
            self.data.append(data);
        }
        fits
    }

    /// Returns the next part from a position; `None` at the end.
    pub fn part_from(&self, position: usize) -> Option<Bytes> {
        self.data.part_from(position)
    }
}
