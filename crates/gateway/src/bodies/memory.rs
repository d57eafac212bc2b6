//! The memory for bodies, which all requests, or all responses, share.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Number of bytes that one semaphore permit represents.
const BYTES_PER_PERMIT: usize = 1 << 10;

/// The memory for bodies. Clones share it.
#[derive(Clone)]
pub struct BodyMemory {
    permits: Arc<Semaphore>,
    /// Number of permits while nothing is reserved.
    total: Rc<Cell<usize>>,
    /// Number of reservations that wait for memory.
    waiting: Rc<Cell<usize>>,
    /// Whether a reservation which does not wait leaves half of all permits to others.
    leaves_half: bool,
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
        BodyMemory {
            permits: Arc::new(Semaphore::new(total)),
            total: Rc::new(Cell::new(total)),
            waiting: Rc::default(),
            leaves_half: false,
        }
    }

    /// Changes the size to `bytes` bytes. What is reserved stays reserved: the memory is then larger until a later call.
    pub fn resize(&self, bytes: usize) {
        let wanted = bytes / BYTES_PER_PERMIT;
        let total = self.total.get();
        if wanted < total {
            let forgotten = self.permits.forget_permits(total - wanted);
            self.total.set(total - forgotten);
        } else {
            self.permits.add_permits(wanted - total);
            self.total.set(wanted);
        }
    }

    /// Returns the same memory for what can be done without: reservations from it leave half of all memory to others.
    pub fn spare(&self) -> BodyMemory {
        BodyMemory { leaves_half: true, ..self.clone() }
    }

    /// Returns whether a reservation waits for memory.
    pub fn is_awaited(&self) -> bool {
        self.waiting.get() > 0
    }

    /// Reserves memory once it is available.
    pub async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let _guard = WaitGuard::new(&self.waiting);
        let permits = self.permits.clone().acquire_many_owned(permit_count(bytes)).await;
        permits.ok().map(|permits| Reservation { permits })
    }

    /// Reserves memory if it is available.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let wanted = permit_count(bytes);
        let kept_free = if self.leaves_half { self.total.get() / 2 } else { 0 };
        if self.permits.available_permits() < kept_free + wanted as usize {
            return None;
        }
        let permits = self.permits.clone().try_acquire_many_owned(wanted);
        permits.ok().map(|permits| Reservation { permits })
    }
}

/// Counts a reservation as waiting until the guard is dropped.
struct WaitGuard<'a> {
    waiting: &'a Cell<usize>,
}

impl<'a> WaitGuard<'a> {
    /// Increments the number of waiting reservations.
    fn new(waiting: &'a Cell<usize>) -> WaitGuard<'a> {
        waiting.set(waiting.get() + 1);
        WaitGuard { waiting }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.waiting.set(self.waiting.get() - 1);
    }
}

/// Returns the number of permits that represent at least `bytes` bytes.
fn permit_count(bytes: usize) -> u32 {
    bytes.div_ceil(BYTES_PER_PERMIT) as u32
}

#[cfg(test)]
mod tests;
