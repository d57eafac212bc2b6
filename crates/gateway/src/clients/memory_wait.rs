//! The wait of a request for the memory in which its body is forwarded. Nothing of the body is read meanwhile, but it
//! may have arrived completely, and the client's time counts from its last byte.

use crate::bodies::memory::{BodyMemory, Reservation};
use crate::bodies::size::{FORWARDING_BYTES, MAX_BUFFERED_BODY_BYTES};
use crate::bodies::upload::ForwardingMemory;
use crate::clients::connection::ClientConnection;
use crate::driver::decision_driver::DecisionDriver;
use crate::driver::request::ClientInput;
use std::future::{ready, Future};
use std::pin::{pin, Pin};
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Interval at which the arrival of a body is looked at.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A request waits for at most 1 / `MAX_WAIT_DIVISOR` of its client's time: the rest is for its attempts, and a client
/// that is refused by then may try again.
const MAX_WAIT_DIVISOR: u32 = 2;
/// Number of unread bytes for which the system has room in any case, so that it keeps no client from sending.
const UNREAD_ROOM_BYTES: u64 = MAX_BUFFERED_BODY_BYTES as u64;

/// A request whose body waits for memory.
pub struct MemoryWait<'a> {
    client: &'a ClientConnection,
    driver: &'a DecisionDriver,
    /// Length of the body, where it is known.
    length: Option<u64>,
    /// Time for which the client waits after the arrival of the request's last byte.
    client_timeout: Duration,
    held_back_since: Option<Instant>,
}

impl<'a> MemoryWait<'a> {
    /// Creates the wait of a request of which the head has been read.
    pub fn new(
        client: &'a ClientConnection,
        driver: &'a DecisionDriver,
        length: Option<u64>,
        client_timeout: Duration,
    ) -> MemoryWait<'a> {
        MemoryWait { client, driver, length, client_timeout, held_back_since: None }
    }

    /// Reserves the memory. Returns `None` if it is not available in time.
    pub async fn reserve(self, memory: &BodyMemory) -> Option<ForwardingMemory> {
        let mut reserve = pin!(memory.reserve(FORWARDING_BYTES));
        tokio::select! {
            biased;
            reservation = reserve.as_mut() => Some(ForwardingMemory { reservation, held_back_since: None }),
            // On the heap, since the task of each connection has room for this future.
            () = ready(()) => Box::pin(self.reserve_in_time(reserve)).await,
        }
    }

    /// Waits for the reservation until the request has to be refused.
    async fn reserve_in_time(
        mut self,
        mut reserve: Pin<&mut impl Future<Output = Option<Reservation>>>,
    ) -> Option<ForwardingMemory> {
        loop {
            let deadline = self.deadline();
            let check_at = deadline.min(Instant::now() + ARRIVAL_CHECK_INTERVAL);
            if let Ok(reservation) = timeout_at(check_at.into(), reserve.as_mut()).await {
                self.observe_arrival();
                return Some(ForwardingMemory { reservation, held_back_since: self.held_back_since });
            }
            if Instant::now() >= deadline {
                return None;
            }
        }
    }

    /// Returns the time by which the request is refused, as far as that is known now.
    fn deadline(&mut self) -> Instant {
        self.observe_arrival();
        let reception_deadline = self.client.request_deadline();
        let max_wait = self.client_timeout / MAX_WAIT_DIVISOR;
        let answer_deadline = self.earliest_arrival().map(|arrived_at| arrived_at + max_wait);
        let deadlines = answer_deadline.into_iter().chain(self.driver.shutdown_deadline());
        deadlines.fold(reception_deadline, Instant::min)
    }

    /// Records whether the client may be kept from sending.
    fn observe_arrival(&mut self) {
        if self.held_back_since.is_none() && self.client.stream.unread_bytes() >= UNREAD_ROOM_BYTES {
            self.held_back_since = Some(self.newest_byte_at());
        }
    }

    /// Returns the earliest time at which the request's last byte can have been written; `None` if it has not been.
    fn earliest_arrival(&self) -> Option<Instant> {
        if self.held_back_since.is_some() {
            return self.held_back_since;
        }
        let arrived = self.client.stream.arrived_body_bytes();
        let is_incomplete = self.length.zip(arrived).is_some_and(|(length, arrived)| arrived < length);
        (!is_incomplete).then(|| self.newest_byte_at())
    }

    /// Returns the time at which the newest byte of the client reached this machine.
    fn newest_byte_at(&self) -> Instant {
        let now = Instant::now();
        now.checked_sub(self.client.stream.newest_byte_age().estimate).unwrap_or(now)
    }
}
