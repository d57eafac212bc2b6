//! Scanner for request heads in the bytes of a connection. It detects the two headers that define the length
//! of the body: where both are present, hyper drops one of them, so the parsed request does not show the
//! ambiguity.

/// Length of `transfer-encoding`, the longest header name that the scanner looks for.
const MAX_NAME_LENGTH: usize = 17;

/// The headers that define the length of a request body.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Framing {
    /// Whether `Content-Length` is present.
    pub content_length: bool,
    /// Whether `Transfer-Encoding` is present.
    pub transfer_encoding: bool,
}

impl Framing {
    /// Returns whether both headers define the length, so that a server could apply a different one than the
    /// gateway.
    pub fn is_ambiguous(self) -> bool {
        self.content_length && self.transfer_encoding
    }
}

/// The position of a scanner in the byte stream of its connection.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
enum Position {
    #[default]
    BeforeRequest,
    InHead,
    /// Past the head of a request by this number of bytes.
    PastHead(usize),
    /// The position is lost, because the beginning of a request was read together with the previous request.
    Unknown,
}

/// Scans the bytes of a connection as they are read.
#[derive(Default)]
pub struct HeadScanner {
    position: Position,
    /// Headers found in the current head.
    framing: Framing,
    /// Beginning of the current line, in lower case.
    line_prefix: [u8; MAX_NAME_LENGTH],
    /// Length of the current line, without carriage returns.
    line_length: usize,
}

impl HeadScanner {
    /// Scans the next bytes read from the connection.
    pub fn scan(&mut self, data: &[u8]) {
        for (index, byte) in data.iter().enumerate() {
            match (self.position, *byte) {
                (Position::PastHead(length), _) => {
                    self.position = Position::PastHead(length + data.len() - index);
                    return;
                }
                (Position::Unknown, _) => return,
                // Empty lines before a request are ignored.
                (Position::BeforeRequest, b'\r' | b'\n') | (_, b'\r') => {}
                (_, b'\n') if self.line_length == 0 => self.position = Position::PastHead(0),
                (_, b'\n') => self.end_line(),
                (_, byte) => self.extend_line(byte),
            }
        }
    }

    /// Returns whether the beginning of a request has been read, or the position is lost.
    pub fn is_in_request(&self) -> bool {
        self.position != Position::BeforeRequest
    }

    /// Returns whether the head of a request has been read completely.
    pub fn is_past_head(&self) -> bool {
        matches!(self.position, Position::PastHead(_))
    }

    /// Returns the number of bytes read behind the head of the current request; `None` if its head was not found.
    pub fn bytes_past_head(&self) -> Option<usize> {
        match self.position {
            Position::PastHead(length) => Some(length),
            Position::BeforeRequest | Position::InHead | Position::Unknown => None,
        }
    }

    /// Returns the headers that define the length of the current request's body, or `None` if its head was
    /// not found.
    pub fn framing(&self) -> Option<Framing> {
        self.is_past_head().then_some(self.framing)
    }

    /// Prepares for the next request, which follows a body of `body_length` bytes. Returns false if part of
    /// that request has already been read, so that its head cannot be found.
    pub fn expect_next_request(&mut self, body_length: usize) -> bool {
        let is_at_end = self.position == Position::PastHead(body_length);
        let position = if is_at_end { Position::BeforeRequest } else { Position::Unknown };
        *self = HeadScanner { position, ..HeadScanner::default() };
        is_at_end
    }

    fn extend_line(&mut self, byte: u8) {
        self.position = Position::InHead;
        if let Some(slot) = self.line_prefix.get_mut(self.line_length) {
            *slot = byte.to_ascii_lowercase();
        }
        self.line_length += 1;
    }

    /// Checks the current line for the two headers and starts a new line.
    fn end_line(&mut self) {
        let name = &self.line_prefix[..self.line_length.min(MAX_NAME_LENGTH)];
        self.framing.content_length |= name.starts_with(b"content-length");
        self.framing.transfer_encoding |= name.starts_with(b"transfer-encoding");
        self.line_length = 0;
    }
}

#[cfg(test)]
mod tests;
