//! A buffer of small blocks of one size. When the buffers of hundreds of bodies are freed, blocks of one size leave no
//! gaps that the next bodies do not fit into, and the part of a body that has been passed on is freed at once.

use crate::bodies::size::BLOCK_BYTES;
use bytes::Bytes;
use std::collections::VecDeque;

/// Bytes in blocks, of which all but the last are full.
#[derive(Default)]
pub struct BlockBuffer {
    blocks: VecDeque<Vec<u8>>,
    /// Number of bytes in all blocks.
    length: usize,
}

impl BlockBuffer {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the buffer holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Appends a copy of the data, which fills the last block before it begins another.
    pub fn append(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let room = self.blocks.back().map_or(0, |last| BLOCK_BYTES - last.len());
            if room == 0 {
                // A short body takes no more than it needs.
                let is_first = self.blocks.is_empty();
                let capacity = if is_first { data.len().min(BLOCK_BYTES) } else { BLOCK_BYTES };
                self.blocks.push_back(Vec::with_capacity(capacity));
                continue;
            }
            let (next, rest) = data.split_at(data.len().min(room));
            if let Some(last) = self.blocks.back_mut() {
                last.extend_from_slice(next);
            }
            self.length += next.len();
            data = rest;
        }
    }

    /// Returns the next part from a position, at most one block; `None` at the end. No part may have been removed.
    pub fn part_from(&self, position: usize) -> Option<Bytes> {
        let block = self.blocks.get(position / BLOCK_BYTES)?;
        let part = block.get(position % BLOCK_BYTES..).filter(|part| !part.is_empty())?;
        Some(Bytes::copy_from_slice(part))
    }

    /// Removes and returns the first block; `None` at the end.
    pub fn remove_first(&mut self) -> Option<Bytes> {
        let first = self.blocks.pop_front()?;
        self.length -= first.len();
        Some(first.into())
    }

    /// Returns all bytes in one piece.
    pub fn to_vec(&self) -> Vec<u8> {
        self.blocks.iter().flatten().copied().collect()
    }
}

impl From<&[u8]> for BlockBuffer {
    fn from(data: &[u8]) -> BlockBuffer {
        let mut buffer = BlockBuffer::default();
        buffer.append(data);
        buffer
    }
}

/// Removes and returns the first part of a frame, at most one block.
pub fn split_block(frame: &mut Bytes) -> Bytes {
    frame.split_to(frame.len().min(BLOCK_BYTES))
}

#[cfg(test)]
mod tests;
