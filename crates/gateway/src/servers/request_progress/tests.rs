//! Tests of the detection of a request's last byte.

use super::RequestProgress;

/// Guards against a wrong decision on whether a request may have run: it counts as completely written exactly
/// from its last byte on, however its bytes are split into writes.
#[test]
fn request_is_complete_only_with_its_last_byte() {
    let text = b"POST / HTTP/1.1\r\nA: b\r\r\n\r\n\r\nxyz";
    for split in 0..text.len() {
        let mut progress = RequestProgress::new(Some(5));
        progress.record_written(&text[..split]);
        assert!(!progress.is_complete(), "request is complete after {split} of its bytes");
        progress.record_written(&text[split..]);
        assert!(
            progress.is_complete(),
            "request split after {split} bytes is not complete after its last byte"
        );
    }
}

/// Guards against taking a body of unknown length for complete because its data contains the byte sequence
/// that ends the last chunk.
#[test]
fn chunked_request_is_complete_only_with_its_last_chunk() {
    let text = b"POST / HTTP/1.1\r\nA: b\r\n\r\n5\r\n\r\n\r\nx\r\n0\r\n\r\n";
    for split in 0..text.len() {
        let mut progress = RequestProgress::new(None);
        progress.record_written(&text[..split]);
        assert!(!progress.is_complete(), "request is complete after {split} of its bytes");
        progress.record_body_end();
        progress.record_written(&text[split..]);
        assert!(
            progress.is_complete(),
            "request split after {split} bytes is not complete after its last byte"
        );
    }
}
