//! The buffer for the beginning of a body, which grows while memory for bodies is left.

use crate::bodies::block_buffer::BlockBuffer;
use crate::bodies::memory::{BodyMemory, Reservation};
use crate::bodies::size::{BLOCK_BYTES, MAX_BUFFERED_BODY_BYTES, MAX_UNRESERVED_BODY_BYTES};

/// Number of bytes by which the reserved memory grows.
const GROWTH_BYTES: usize = 2 * BLOCK_BYTES;

/// A buffer for the beginning of a body.
pub struct PrefixBuffer<'a> {
    data: BlockBuffer,
    memory: &'a BodyMemory,
    /// The memory of the part of `data` beyond [`MAX_UNRESERVED_BODY_BYTES`].
    reservation: Option<Reservation>,
    /// Number of bytes that may be held without reserving more.
    allowed: usize,
}

impl<'a> PrefixBuffer<'a> {
    /// Creates an empty buffer.
    pub fn new(memory: &'a BodyMemory) -> PrefixBuffer<'a> {
        PrefixBuffer {
            data: BlockBuffer::default(),
            memory,
            reservation: None,
            allowed: MAX_UNRESERVED_BODY_BYTES,
        }
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Appends data that has been read. Returns whether more may be read: neither the limit of the buffer has been
    /// exceeded nor the memory.
    pub fn append(&mut self, data: &[u8]) -> bool {
        self.data.append(data);
        self.data.len() <= MAX_BUFFERED_BODY_BYTES && self.reserve()
    }

    /// Reserves memory for all data. Returns false if too little is left.
    fn reserve(&mut self) -> bool {
        while self.allowed < self.data.len() {
            let Some(growth) = self.memory.try_reserve(GROWTH_BYTES) else { return false };
            match &mut self.reservation {
                Some(reservation) => reservation.extend(growth),
                None => self.reservation = Some(growth),
            }
            self.allowed += GROWTH_BYTES;
        }
        true
    }

    /// Returns the data and its memory.
    pub fn into_parts(self) -> (BlockBuffer, Option<Reservation>) {
        (self.data, self.reservation)
    }
}
