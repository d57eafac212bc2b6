use super::RequestProgress;

/// Whether a request may have run depends on its last byte, however its bytes are split into writes.
#[test]
fn request_is_complete_only_with_its_last_byte() {
    let text = b"POST / HTTP/1.1\r\nA: b\r\r\n\r\n\r\nxyz";
    for split in 0..text.len() {
        let mut progress = RequestProgress::new(Some(5));
        progress.record_written(&text[..split]);
        assert!(!progress.is_complete(), "complete after {split} bytes");
        progress.record_written(&text[split..]);
        assert!(progress.is_complete(), "split at {split}");
    }
}

/// A body of unknown length is complete with its last chunk, and not with data that looks like its end.
#[test]
fn chunked_request_is_complete_only_with_its_last_chunk() {
    let text = b"POST / HTTP/1.1\r\nA: b\r\n\r\n5\r\n\r\n\r\nx\r\n0\r\n\r\n";
    for split in 0..text.len() {
        let mut progress = RequestProgress::new(None);
        progress.record_written(&text[..split]);
        assert!(!progress.is_complete(), "complete after {split} bytes");
        progress.record_body_end();
        progress.record_written(&text[split..]);
        assert!(progress.is_complete(), "split at {split}");
    }
}
