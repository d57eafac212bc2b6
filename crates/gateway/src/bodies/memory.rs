//! The memory for request bodies, which all requests share.

use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Number of bytes that one semaphore permit represents.
const BYTES_PER_PERMIT: usize = 1 << 10;

/// The memory for request bodies. Clones share it.
#[derive(Clone)]
pub struct BodyMemory {
    permits: Arc<Semaphore>,
    /// Number of permits while nothing is reserved.
    total: usize,
}

/// A part of the memory, reserved until it is dropped.
pub struct Reservation {
    _permits: OwnedSemaphorePermit,
}

impl BodyMemory {
    /// Creates a memory of `bytes` bytes.
    pub fn new(bytes: usize) -> BodyMemory {
        let total = bytes / BYTES_PER_PERMIT;
        BodyMemory { permits: Arc::new(Semaphore::new(total)), total }
    }

    /// Reserves memory once it is available.
    pub async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let permits = self.permits.clone().acquire_many_owned(permit_count(bytes)).await;
        permits.ok().map(|permits| Reservation { _permits: permits })
    }

    /// Reserves memory for something that can be done without, if more than half of all remains available.
    pub fn try_reserve_spare(&self, bytes: usize) -> Option<Reservation> {
        let wanted = permit_count(bytes);
        if self.permits.available_permits() < self.total / 2 + wanted as usize {
            return None;
        }
        let permits = self.permits.clone().try_acquire_many_owned(wanted);
        permits.ok().map(|permits| Reservation { _permits: permits })
    }
}

/// Returns the number of permits that represent at least `bytes` bytes.
fn permit_count(bytes: usize) -> u32 {
    bytes.div_ceil(BYTES_PER_PERMIT) as u32
}
