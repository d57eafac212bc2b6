//! Tests of [`BlockBuffer`].

use super::*;

/// Returns bytes that differ from block to block.
fn data(length: usize) -> Vec<u8> {
    (0..length).map(|position| (position / 251 + position) as u8).collect()
}

#[test]
fn parts_from_any_position_and_removed_blocks_make_up_the_data() {
    let data = data(2 * BLOCK_BYTES + 700);
    let mut buffer = BlockBuffer::default();
    for piece in data.chunks(333) {
        buffer.append(piece);
    }
    assert_eq!((buffer.len(), buffer.to_vec()), (data.len(), data.clone()));
    for start in [0, 1, BLOCK_BYTES - 1, BLOCK_BYTES, data.len() - 1] {
        let mut position = start;
        while let Some(part) = buffer.part_from(position) {
            assert!(part == data[position..position + part.len()] && part.len() <= BLOCK_BYTES);
            position += part.len();
        }
        assert_eq!(position, data.len());
    }
    let mut removed = Vec::new();
    while let Some(block) = buffer.remove_first() {
        removed.extend_from_slice(&block);
        assert_eq!(buffer.len(), data.len() - removed.len());
    }
    assert!(removed == data && buffer.is_empty());
}
