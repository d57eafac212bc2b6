//! Tests of the memory for bodies.

use super::*;

/// Size of a memory.
const MEMORY_BYTES: usize = 64 << 10;

/// Guards against a memory that stays large because requests always wait for what others release.
#[test]
fn memory_released_after_a_resize_is_not_lent_again() {
    let memory = BodyMemory::new(MEMORY_BYTES);
    let mut reserved = memory.try_reserve(MEMORY_BYTES / 2).unwrap();
    reserved.extend(memory.try_reserve(MEMORY_BYTES / 2).unwrap());
    memory.resize(MEMORY_BYTES / 4);
    drop(reserved);
    assert!(memory.try_reserve(MEMORY_BYTES / 4 + BYTES_PER_PERMIT).is_none());
    assert!(memory.try_reserve(MEMORY_BYTES / 4).is_some());
}

/// What is reserved when the memory shrinks counts against the smaller size.
#[test]
fn resized_memory_lends_no_more_than_its_new_size() {
    let memory = BodyMemory::new(MEMORY_BYTES);
    let reserved = memory.try_reserve(MEMORY_BYTES * 3 / 4);
    memory.resize(MEMORY_BYTES / 2);
    assert!(memory.try_reserve(BYTES_PER_PERMIT).is_none());
    drop(reserved);
    memory.resize(MEMORY_BYTES / 2);
    assert!(memory.try_reserve(MEMORY_BYTES / 2 + BYTES_PER_PERMIT).is_none());
    assert!(memory.try_reserve(MEMORY_BYTES / 2).is_some());
    memory.resize(MEMORY_BYTES);
    assert!(memory.try_reserve(MEMORY_BYTES).is_some());
    assert!(memory.spare().try_reserve(MEMORY_BYTES / 2 + BYTES_PER_PERMIT).is_none());
}
