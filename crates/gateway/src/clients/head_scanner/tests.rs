//! Tests of the scanner for request heads.

use super::{Framing, HeadScanner, Position};

/// Both headers are found in any order, letter case and split of the input. A header with a similar name is
/// not mistaken for one of them.
#[test]
fn framing_is_found_however_the_head_is_split() {
    let cases: [(&[u8], Framing); 4] = [
        (
            b"\r\nPOST /a HTTP/1.1\r\nContent-LENGTH: 5\r\nTransfer-Encoding: chunked\r\n\r\nbody",
            Framing { content_length: true, transfer_encoding: true },
        ),
        (
            b"POST /a HTTP/1.1\ntransfer-encoding:chunked\ncontent-length:5\n\nbody",
            Framing { content_length: true, transfer_encoding: true },
        ),
        (b"POST /a HTTP/1.1\r\nX-Content-Length: 5\r\nHost: a\r\n\r\nbody", Framing::default()),
        (
            b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
            Framing { content_length: true, transfer_encoding: false },
        ),
    ];
    for (text, framing) in cases {
        for split in 0..text.len() {
            let mut scanner = HeadScanner::default();
            scanner.scan(&text[..split]);
            scanner.scan(&text[split..]);
            let found = (scanner.framing, scanner.position);
            assert_eq!(found, (framing, Position::PastHead(4)), "split at {split}");
        }
    }
}
