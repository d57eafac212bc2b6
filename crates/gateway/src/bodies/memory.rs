//! The memory for bodies, which all requests, or all responses, share.

use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Number of bytes that one semaphore permit represents.
const BYTES_PER_PERMIT: usize = 1 << 10;

/// The memory for bodies. Clones share it.
#[derive(Clone)]
pub struct BodyMemory {
    permits: Arc<Semaphore>,
    /// Number of permits while nothing is reserved.
    total: usize,
    /// Number of permits that a reservation which does not wait leaves for others.
    kept_free: usize,
}

/// A part of the memory, reserved until it is dropped.
pub struct Reservation {
    permits: OwnedSemaphorePermit,
}

impl Reservation {
    /// Adds another part of the same memory.
    pub fn extend(&mut self, other: Reservation) {
        self.permits.merge(other.permits);
    }
}

impl BodyMemory {
    /// Creates a memory of `bytes` bytes.
    pub fn new(bytes: usize) -> BodyMemory {
        let total = bytes / BYTES_PER_PERMIT;
        BodyMemory { permits: Arc::new(Semaphore::new(total)), total, kept_free: 0 }
    }

    /// Returns the same memory for what can be done without: reservations from it leave half of all memory to others.
    pub fn spare(&self) -> BodyMemory {
        BodyMemory { kept_free: self.total / 2, ..self.clone() }
    }

    /// Reserves memory once it is available.
    pub async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let permits = self.permits.clone().acquire_many_owned(permit_count(bytes)).await;
        permits.ok().map(|permits| Reservation { permits })
    }

    /// Reserves memory if it is available.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let wanted = permit_count(bytes);
        if self.permits.available_permits() < self.kept_free + wanted as usize {
            return None;
        }
        let permits = self.permits.clone().try_acquire_many_owned(wanted);
        permits.ok().map(|permits| Reservation { permits })
    }
}

/// Returns the number of permits that represent at least `bytes` bytes.
fn permit_count(bytes: usize) -> u32 {
    bytes.div_ceil(BYTES_PER_PERMIT) as u32
}
