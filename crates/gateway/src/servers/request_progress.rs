//! Tracks how much of a request has been written to a connection. A server cannot have run a request whose
//! last byte it has not received, so an attempt that ends before the last byte is written may be repeated.

use crate::bodies::size::MAX_BUFFERED_BODY_BYTES;

/// Maximum length of a response head.
const MAX_RESPONSE_HEAD_BYTES: usize = 256 << 10;
/// Byte sequence that ends a request's head, and the last chunk of a chunked body.
const TERMINATOR: &[u8] = b"\r\n\r\n";

/// The progress of a connection's current request, and of reading its response.
#[derive(Clone, Copy, Default)]
pub struct RequestProgress {
    /// Number of bytes of [`TERMINATOR`] that the data written so far ends with.
    terminator_matched: usize,
    /// Whether the request's head has been written completely.
    head_written: bool,
    remaining_body: RemainingBody,
    /// Whether any byte of the request has been written.
    started: bool,
    /// Number of bytes read since the request began.
    bytes_read: usize,
    response_head_received: bool,
}

/// The part of a request body that is still to be written.
#[derive(Clone, Copy)]
enum RemainingBody {
    /// Number of bytes of a body of known length.
    Bytes(u64),
    /// Chunks of a body of unknown length.
    Chunks {
        /// Whether all data has been passed to hyper, so that only the last chunk can be unwritten.
        ended: bool,
    },
}

impl Default for RemainingBody {
    fn default() -> RemainingBody {
        RemainingBody::Bytes(0)
    }
}

impl RequestProgress {
    /// Creates the progress of a request before its first byte is written. A body of unknown length is
    /// written in chunks.
    pub fn new(body_length: Option<u64>) -> RequestProgress {
        let remaining_body = match body_length {
            Some(length) => RemainingBody::Bytes(length),
            None => RemainingBody::Chunks { ended: false },
        };
        RequestProgress { remaining_body, ..RequestProgress::default() }
    }

    /// Records that `data` has been written.
    pub fn record_written(&mut self, mut data: &[u8]) {
        self.started |= !data.is_empty();
        while let Some((byte, rest)) = data.split_first().filter(|_| !self.head_written) {
            self.match_terminator(*byte);
            self.head_written = self.terminator_matched == TERMINATOR.len();
            data = rest;
        }
        match &mut self.remaining_body {
            RemainingBody::Bytes(remaining) => *remaining = remaining.saturating_sub(data.len() as u64),
            RemainingBody::Chunks { .. } => {
                // Only the last bytes of the data can be the end of the last chunk.
                let skipped = data.len().saturating_sub(TERMINATOR.len());
                if skipped > 0 {
                    self.terminator_matched = 0;
                }
                for byte in &data[skipped..] {
                    self.match_terminator(*byte);
                }
            }
        }
    }

    /// Records the number of bytes that were read from the connection.
    pub fn record_read(&mut self, bytes: usize) {
        self.bytes_read += bytes;
    }

    /// Records that the body's data has been passed to hyper completely.
    pub fn record_body_end(&mut self) {
        if let RemainingBody::Chunks { ended } = &mut self.remaining_body {
            *ended = true;
        }
    }

    /// Records that the head of the response has been read. The limit on the head does not apply to the body
    /// that follows.
    pub fn record_response_head(&mut self) {
        self.response_head_received = true;
    }

    /// Returns the number of bytes read since the request began.
    pub fn bytes_read(&self) -> usize {
        self.bytes_read
    }

    /// Returns whether any byte of the request has been written.
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// Returns whether the request's last byte has been written.
    pub fn is_complete(&self) -> bool {
        self.head_written
            && match self.remaining_body {
                RemainingBody::Bytes(remaining) => remaining == 0,
                RemainingBody::Chunks { ended } => ended && self.terminator_matched == TERMINATOR.len(),
            }
    }

    /// Returns whether bytes have been read that cannot belong to the response to this request.
    pub fn has_unsolicited_input(&self) -> bool {
        self.bytes_read > 0 && !self.may_receive_response()
    }

    /// Returns whether the response head exceeds [`MAX_RESPONSE_HEAD_BYTES`].
    pub fn response_head_is_too_long(&self) -> bool {
        self.bytes_read > MAX_RESPONSE_HEAD_BYTES && !self.response_head_received
    }

    /// Returns whether the server may already respond. It may reject a request with a long body before the
    /// body has arrived completely.
    fn may_receive_response(&self) -> bool {
        match self.remaining_body {
            RemainingBody::Bytes(remaining) if remaining <= MAX_BUFFERED_BODY_BYTES as u64 => {
                self.is_complete()
            }
            RemainingBody::Bytes(_) | RemainingBody::Chunks { .. } => self.head_written,
        }
    }

    /// Updates the number of matched bytes of [`TERMINATOR`] for the next byte written.
    fn match_terminator(&mut self, byte: u8) {
        let matched = self.terminator_matched % TERMINATOR.len();
        self.terminator_matched = if byte == TERMINATOR[matched] {
            matched + 1
        } else if byte == b'\r' {
            1
        } else {
            0
        };
    }
}

#[cfg(test)]
mod tests;
