//! Chunks of message bodies whose length is not known in advance.

use std::io::{BufRead, BufReader, Read};

/// Returns a chunk with its length.
pub fn encode_chunk(data: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat()
}

/// Appends the next chunk to a body. Returns false at the last chunk.
pub fn read_chunk(reader: &mut BufReader<impl Read>, body: &mut Vec<u8>) -> bool {
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let length = usize::from_str_radix(line.trim_end(), 16).expect("a chunk begins with its length");
    let start = body.len();
    body.resize(start + length, 0);
    reader.read_exact(&mut body[start..]).unwrap();
    reader.read_exact(&mut [0; 2]).unwrap();
    length > 0
}
