//! How much of a request has been written to a connection. A server cannot have run a request whose last byte it
//! has not received, so an attempt that ends before that may be repeated.

use crate::bodies::size::MAX_BUFFERED_BODY_BYTES;

/// Longest head of a response.
const MAX_RESPONSE_HEAD_BYTES: usize = 256 << 10;
/// The end of a request's head, and of the last chunk of a body.
const TERMINATOR: &[u8] = b"\r\n\r\n";

/// How much of a connection's current request has been written, and of its response read.
#[derive(Clone, Copy, Default)]
pub struct RequestProgress {
    /// Bytes of [`TERMINATOR`] that were just written.
    terminator_matched: usize,
    /// Whether the end of the head has been written.
    head_written: bool,
    /// What is still to be written of the body.
    remaining_body: RemainingBody,
    /// Whether any byte has been written.
    started: bool,
    /// Bytes read since the request began.
    bytes_read: usize,
    /// Whether the head of the response has been read.
    response_received: bool,
}

/// What is still to be written of a body.
#[derive(Clone, Copy)]
enum RemainingBody {
    /// This many bytes.
    Bytes(u64),
    /// Chunks; once `ended`, only the last one.
    Chunks {
        /// Whether all data has been handed to hyper.
        ended: bool,
    },
}

impl Default for RemainingBody {
    fn default() -> RemainingBody {
        RemainingBody::Bytes(0)
    }
}

impl RequestProgress {
    /// A request of which nothing has been written. Without a known length its body is written in chunks.
    pub fn new(body_length: Option<u64>) -> RequestProgress {
        let remaining_body = match body_length {
            Some(length) => RemainingBody::Bytes(length),
            None => RemainingBody::Chunks { ended: false },
        };
        RequestProgress { remaining_body, ..RequestProgress::default() }
    }

    /// Records that these bytes of the request have been written.
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
                // Only the last bytes can be the end of the last chunk.
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

    /// Records that this many bytes were read from the connection.
    pub fn record_read(&mut self, bytes: usize) {
        self.bytes_read += bytes;
    }

    /// Records that all of the body's data has been handed to hyper.
    pub fn record_body_end(&mut self) {
        if let RemainingBody::Chunks { ended } = &mut self.remaining_body {
            *ended = true;
        }
    }

    /// Records that the head of the response has been read; its body has no limit here.
    pub fn record_response(&mut self) {
        self.response_received = true;
    }

    /// Whether any byte of the request has been written.
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// Whether the request's last byte has been written.
    pub fn is_complete(&self) -> bool {
        self.head_written
            && match self.remaining_body {
                RemainingBody::Bytes(remaining) => remaining == 0,
                RemainingBody::Chunks { ended } => ended && self.terminator_matched == TERMINATOR.len(),
            }
    }

    /// Whether bytes have been read that cannot be the response to this request.
    pub fn has_premature_input(&self) -> bool {
        self.bytes_read > 0 && !self.may_be_answered()
    }

    /// Whether the response's head is longer than any server's.
    pub fn response_head_is_too_long(&self) -> bool {
        self.bytes_read > MAX_RESPONSE_HEAD_BYTES && !self.response_received
    }

    /// Whether the server can answer by now. It may reject a request with a long body before all of that has
    /// arrived.
    fn may_be_answered(&self) -> bool {
        match self.remaining_body {
            RemainingBody::Bytes(remaining) if remaining <= MAX_BUFFERED_BODY_BYTES as u64 => {
                self.is_complete()
            }
            RemainingBody::Bytes(_) | RemainingBody::Chunks { .. } => self.head_written,
        }
    }

    /// Compares the next byte with what [`TERMINATOR`] continues with.
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
