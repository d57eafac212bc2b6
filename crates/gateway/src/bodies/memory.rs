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
    size: Rc<MemorySize>,
    /// Number of reservations that wait for memory.
    waiting: Rc<Cell<usize>>,
    /// Whether a reservation which does not wait leaves half of all permits to others.
    leaves_half: bool,
}

/// The size of a memory, in permits.
struct MemorySize {
    /// Number of permits while nothing is reserved.
    total: Cell<usize>,
    /// Number to which `total` falls as permits are released.
    wanted: Cell<usize>,
}

impl MemorySize {
    /// Returns the number of permits that have to go.
    fn surplus(&self) -> usize {
        self.total.get().saturating_sub(self.wanted.get())
    }

    /// Records that permits have gone.
    fn shrink(&self, permits: usize) {
        self.total.set(self.total.get() - permits);
    }
}

/// A part of the memory, reserved until it is dropped.
pub struct Reservation {
    permits: OwnedSemaphorePermit,
    size: Rc<MemorySize>,
}

impl Reservation {
    /// Adds another part of the same memory.
    pub fn extend(&mut self, mut other: Reservation) {
        if let Some(added) = other.permits.split(other.permits.num_permits()) {
            self.permits.merge(added);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let surplus = self.size.surplus().min(self.permits.num_permits());
        if let Some(permits) = self.permits.split(surplus) {
            permits.forget();
            self.size.shrink(surplus);
        }
    }
}

impl BodyMemory {
    /// Creates a memory of `bytes` bytes.
    pub fn new(bytes: usize) -> BodyMemory {
        let total = bytes / BYTES_PER_PERMIT;
        BodyMemory {
            permits: Arc::new(Semaphore::new(total)),
            size: Rc::new(MemorySize { total: Cell::new(total), wanted: Cell::new(total) }),
            waiting: Rc::default(),
            leaves_half: false,
        }
    }

    /// Changes the size to `bytes` bytes. What is reserved stays reserved; the memory shrinks as it is released.
    pub fn resize(&self, bytes: usize) {
        let wanted = bytes / BYTES_PER_PERMIT;
        self.size.wanted.set(wanted);
        self.size.shrink(self.permits.forget_permits(self.size.surplus()));
        let growth = wanted.saturating_sub(self.size.total.get());
        self.permits.add_permits(growth);
        self.size.total.set(self.size.total.get() + growth);
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
        permits.ok().map(|permits| self.reservation(permits))
    }

    /// Reserves memory if it is available.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let wanted = permit_count(bytes);
        let kept_free = if self.leaves_half { self.size.total.get() / 2 } else { 0 };
        if self.permits.available_permits() < kept_free + wanted as usize {
            return None;
        }
        let permits = self.permits.clone().try_acquire_many_owned(wanted);
        permits.ok().map(|permits| self.reservation(permits))
    }

    fn reservation(&self, permits: OwnedSemaphorePermit) -> Reservation {
        Reservation { permits, size: self.size.clone() }
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
