//! Finds the heads of requests in the bytes of a connection, and in them the two headers that define the length of
//! the body. hyper drops one of these headers where both are present, so the parsed request does not show it.

/// Longest header name that is looked for, `transfer-encoding`.
const MAX_NAME_LENGTH: usize = 17;

/// Which headers define the length of a request's body.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Framing {
    /// `Content-Length` is present.
    pub content_length: bool,
    /// `Transfer-Encoding` is present.
    pub transfer_encoding: bool,
}

impl Framing {
    /// Whether the length is defined twice, so that a server could use the other definition.
    pub fn is_ambiguous(self) -> bool {
        self.content_length && self.transfer_encoding
    }
}

/// The position of a scanner in the bytes of its connection.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
enum Position {
    /// Before a request.
    #[default]
    BeforeRequest,
    /// In the head of a request.
    InHead,
    /// This many bytes past the head of a request.
    PastHead(usize),
    /// Not known: the beginning of a request was read together with the one before it.
    Unknown,
}

/// Follows the bytes of a connection as they are read.
#[derive(Default)]
pub struct HeadScanner {
    /// Where the scanner is.
    position: Position,
    /// The headers found in the current head.
    framing: Framing,
    /// The beginning of the current line, in lower case.
    name: [u8; MAX_NAME_LENGTH],
    /// Length of the current line, without carriage returns.
    line_length: usize,
}

impl HeadScanner {
    /// Scans the next bytes of the connection.
    pub fn scan(&mut self, data: &[u8]) {
        for (index, byte) in data.iter().enumerate() {
            match (self.position, *byte) {
                (Position::PastHead(length), _) => {
                    self.position = Position::PastHead(length + data.len() - index);
                    return;
                }
                (Position::Unknown, _) => return,
                // Empty lines before a request are not part of it.
                (Position::BeforeRequest, b'\r' | b'\n') | (_, b'\r') => {}
                (_, b'\n') if self.line_length == 0 => self.position = Position::PastHead(0),
                (_, b'\n') => self.end_line(),
                (_, byte) => self.extend_line(byte),
            }
        }
    }

    /// Whether the beginning of a request has been read.
    pub fn is_in_request(&self) -> bool {
        self.position != Position::BeforeRequest
    }

    /// Whether the head of a request has been read.
    pub fn is_past_head(&self) -> bool {
        matches!(self.position, Position::PastHead(_))
    }

    /// The headers that define the length of the current request's body; `None` if its head was not found.
    pub fn framing(&self) -> Option<Framing> {
        self.is_past_head().then_some(self.framing)
    }

    /// Expects the next request behind a body of this many bytes. False if part of it has been read already, so
    /// that its head cannot be found.
    pub fn expect_next_request(&mut self, body_length: usize) -> bool {
        let is_at_end = self.position == Position::PastHead(body_length);
        let position = if is_at_end { Position::BeforeRequest } else { Position::Unknown };
        *self = HeadScanner { position, ..HeadScanner::default() };
        is_at_end
    }

    /// Adds a byte to the current line.
    fn extend_line(&mut self, byte: u8) {
        self.position = Position::InHead;
        if let Some(place) = self.name.get_mut(self.line_length) {
            *place = byte.to_ascii_lowercase();
        }
        self.line_length += 1;
    }

    /// Evaluates the current line, and begins the next.
    fn end_line(&mut self) {
        let name = &self.name[..self.line_length.min(MAX_NAME_LENGTH)];
        self.framing.content_length |= name.starts_with(b"content-length");
        self.framing.transfer_encoding |= name.starts_with(b"transfer-encoding");
        self.line_length = 0;
    }
}

#[cfg(test)]
mod tests;
