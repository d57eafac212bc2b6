//! The body of a client's request as it is sent to servers.

use crate::bodies::block_buffer::BlockBuffer;
use crate::bodies::buffering::PartiallyReadBody;
use crate::bodies::error::BodyError;
use crate::bodies::memory::{BodyMemory, Reservation};
use crate::bodies::replay_buffer::ReplayBuffer;
use crate::bodies::size::MAX_BUFFERED_BODY_BYTES;
use crate::bodies::stall::StallTimeoutBody;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

/// Maximum time without data from a client in the middle of its body. A client that stops there must get its answer
/// within 3 s, as must one that stops in a short request.
const STALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The memory for forwarding a body, and what the wait for it has meant for the client.
#[derive(Default)]
pub struct ForwardingMemory {
    /// The memory; `None` for a body that needs none.
    pub reservation: Option<Reservation>,
    /// Time from which the client may have been kept from sending because nothing was read; `None` if it was not.
    pub held_back_since: Option<Instant>,
}

/// The body of a client's request, which owns the part that the client is still sending. A body can be sent any
/// number of times for as long as all that was forwarded of it is kept, afterwards only once.
pub struct Upload {
    /// The part read before the first attempt.
    buffered: BlockBuffer,
    /// The part of a streamed body that has been forwarded after `buffered`; `None` once it is no longer kept.
    replay: RefCell<Option<ReplayBuffer>>,
    /// The part that the client is still sending; present while `state` is `Receiving` or `Forwarding`.
    remainder: RefCell<Option<StallTimeoutBody>>,
    /// The length of the body, where it is known.
    length: Option<u64>,
    state: Cell<UploadState>,
    /// Number of bytes of the body that have been read from the client.
    taken: Cell<u64>,
    /// Time at which an attempt last took data of the remainder, or the body was created.
    last_taken_at: Cell<Instant>,
    /// Time from which the client may have been kept from sending before the body was read; `None` if it was not.
    held_back_since: Option<Instant>,
    /// The newest attempt, the only one that may read the remainder.
    newest_attempt: Cell<AttemptNumber>,
    /// Called once all of a streamed body has been forwarded.
    on_forwarded: RefCell<Option<Box<dyn FnOnce()>>>,
    /// Reports whether the client has disconnected. The rest of a body whose client has gone is not forwarded.
    client_has_disconnected: Box<dyn Fn() -> bool>,
    /// The memory that all request bodies share; `None` if the body is not streamed.
    shared_memory: Option<BodyMemory>,
    /// The memory of `buffered`; `None` for a very short body.
    _buffer_memory: Option<Reservation>,
    /// The memory for forwarding a streamed body.
    _forwarding_memory: Option<Reservation>,
}

/// Number of an attempt among those that began to send the body.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptNumber(u32);

/// How much of a body has been read and forwarded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum UploadState {
    /// The whole body is kept.
    Complete,
    /// The body exceeds the buffer limit, and all that has been read of it is kept.
    Receiving,
    /// This attempt has forwarded part of the remainder, which is no longer available to others.
    Forwarding(AttemptNumber),
    /// This attempt has forwarded the remainder to its end.
    Forwarded(AttemptNumber),
    /// The client ended the body early, stalled, was too slow, or disconnected before its last part was forwarded.
    Failed,
}

impl Upload {
    /// Creates a body from its beginning and the memory for forwarding the rest, which is released if there is no rest.
    /// More of the body is kept in spare `memory`.
    pub fn new(
        body: PartiallyReadBody,
        length: Option<u64>,
        forwarding_memory: ForwardingMemory,
        memory: &BodyMemory,
        client_has_disconnected: impl Fn() -> bool + 'static,
    ) -> Upload {
        let replay = body.remainder.is_some().then(|| ReplayBuffer::new(memory.spare()));
        Upload {
            _forwarding_memory: forwarding_memory.reservation.filter(|_| body.remainder.is_some()),
            held_back_since: forwarding_memory.held_back_since,
            client_has_disconnected: Box::new(client_has_disconnected),
            shared_memory: replay.is_some().then(|| memory.clone()),
            ..Upload::with_replay(body, length, replay)
        }
    }

    /// Creates the body of a request that has none.
    pub fn empty() -> Upload {
        Upload::with_replay(PartiallyReadBody::empty(), None, None)
    }

    /// Creates a body with the buffer for what is kept of its remainder.
    fn with_replay(body: PartiallyReadBody, length: Option<u64>, replay: Option<ReplayBuffer>) -> Upload {
        let is_streamed = body.remainder.is_some();
        let buffered_length = body.buffered.len() as u64;
        let length = if is_streamed { length } else { Some(buffered_length) };
        let state = if is_streamed { UploadState::Receiving } else { UploadState::Complete };
        Upload {
            buffered: body.buffered,
            replay: RefCell::new(replay),
            remainder: RefCell::new(
                body.remainder.map(|remainder| StallTimeoutBody::new(remainder, STALL_TIMEOUT)),
            ),
            length,
            state: Cell::new(state),
            taken: Cell::new(buffered_length),
            last_taken_at: Cell::new(Instant::now()),
            held_back_since: None,
            newest_attempt: Cell::default(),
            on_forwarded: RefCell::default(),
            client_has_disconnected: Box::new(|| false),
            shared_memory: None,
            _buffer_memory: body.reservation,
            _forwarding_memory: None,
        }
    }

    /// Returns the length of the body, where it is known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns whether the body can no longer be sent completely by a further attempt.
    pub fn is_consumed(&self) -> bool {
        match self.state.get() {
            UploadState::Complete | UploadState::Receiving => false,
            UploadState::Forwarding(_) | UploadState::Forwarded(_) | UploadState::Failed => true,
        }
    }

    /// Returns whether the client ended the body early, stalled, was too slow, or disconnected before its last part was
    /// forwarded.
    pub fn has_failed(&self) -> bool {
        self.state.get() == UploadState::Failed
    }

    /// Registers a callback for when all of a streamed body has been forwarded. Returns false, and never
    /// calls it, if the body is completely buffered.
    pub fn on_forwarded(&self, callback: impl FnOnce() + 'static) -> bool {
        let is_streamed = self.state.get() != UploadState::Complete;
        if is_streamed {
            self.on_forwarded.replace(Some(Box::new(callback)));
        }
        is_streamed
    }

    /// Returns whether the body is streamed, has not been forwarded completely, and has not failed.
    pub fn is_incomplete(&self) -> bool {
        self.on_forwarded.borrow().is_some() && !self.has_failed()
    }

    /// Returns whether the client's connection has been read to the end of the body.
    pub fn is_read_to_end(&self) -> bool {
        match self.state.get() {
            UploadState::Complete | UploadState::Forwarded(_) => true,
            UploadState::Receiving | UploadState::Forwarding(_) | UploadState::Failed => false,
        }
    }

    /// Returns whether an attempt has forwarded all that the client has sent so far and awaits the client's next
    /// data. Otherwise the rest of the body is held back by a server, or by the lack of one, and may have reached
    /// this machine completely.
    pub fn awaits_client(&self) -> bool {
        self.remainder.borrow().as_ref().is_some_and(StallTimeoutBody::awaits_sender)
    }

    /// Returns the number of bytes of the body that have been read from the client.
    pub fn taken(&self) -> u64 {
        self.taken.get()
    }

    /// Returns for how long no data has been taken of a body that is held back; `None` while the client's next
    /// data is awaited.
    pub fn held_back_for(&self) -> Option<Duration> {
        (!self.awaits_client()).then(|| self.last_taken_at.get().elapsed())
    }

    /// Returns the time from which the client may have been kept from sending before the body was read; `None` if it was
    /// not.
    pub fn held_back_since(&self) -> Option<Instant> {
        self.held_back_since
    }

    /// Begins an attempt. Earlier attempts can no longer read the remainder.
    pub fn begin_attempt(&self) -> AttemptNumber {
        self.stop_waiting();
        let AttemptNumber(previous) = self.newest_attempt.get();
        let attempt = AttemptNumber(previous + 1);
        self.newest_attempt.set(attempt);
        attempt
    }

    /// Ends an attempt, which no longer awaits the client's data.
    pub fn end_attempt(&self, attempt: AttemptNumber) {
        if attempt == self.newest_attempt.get() {
            self.stop_waiting();
        }
    }

    /// Records that no attempt awaits the client's data.
    fn stop_waiting(&self) {
        if let Some(remainder) = self.remainder.borrow_mut().as_mut() {
            remainder.stop_waiting();
        }
    }

    /// Returns the next part of the body from a position, as far as it is kept.
    pub fn kept_part_from(&self, position: usize) -> Option<Bytes> {
        if position < self.buffered.len() {
            return self.buffered.part_from(position);
        }
        self.replay.borrow().as_ref()?.part_from(position - self.buffered.len())
    }

    /// Returns whether the next data of the client can be kept, or nothing more has to be.
    pub fn keeps_next_data(&self) -> bool {
        let mut replay = self.replay.borrow_mut();
        self.state.get() != UploadState::Receiving || replay.as_mut().is_some_and(ReplayBuffer::has_room)
    }

    /// Returns whether an attempt that has sent `position` bytes has sent the last of a body whose length is
    /// known, after which hyper asks for no more.
    pub fn is_forwarded_by(&self, attempt: AttemptNumber, position: usize) -> bool {
        match self.state.get() {
            UploadState::Complete => self.length == Some(position as u64),
            UploadState::Forwarded(by) => by == attempt,
            UploadState::Receiving | UploadState::Forwarding(_) | UploadState::Failed => false,
        }
    }

    /// Polls for the next data after what is kept on behalf of an attempt; `None` marks the end of the body.
    pub fn poll_remainder(
        &self,
        attempt: AttemptNumber,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        if attempt != self.newest_attempt.get() {
            return Poll::Ready(Some(Err(BodyError::AttemptEnded)));
        }
        match self.state.get() {
            UploadState::Complete => return Poll::Ready(None),
            UploadState::Forwarded(by) if by == attempt => return Poll::Ready(None),
            UploadState::Forwarding(by) if by == attempt => {}
            UploadState::Receiving => {}
            UploadState::Forwarding(_) | UploadState::Forwarded(_) | UploadState::Failed => {
                return Poll::Ready(Some(Err(BodyError::AlreadyForwarded)));
            }
        }
        self.poll_client(attempt, cx)
    }

    /// Polls for the next data that the client sends, and records that this attempt forwards it.
    fn poll_client(
        &self,
        attempt: AttemptNumber,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        let mut guard = self.remainder.borrow_mut();
        let Some(remainder) = guard.as_mut() else {
            return Poll::Ready(Some(Err(BodyError::AlreadyForwarded)));
        };
        let mut data = loop {
            match ready!(remainder.poll_frame(cx)) {
                // Trailers are not forwarded.
                Ok(Some(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        break Some(Ok(data));
                    }
                }
                Ok(None) => break None,
                Err(error) => break Some(Err(error)),
            }
        };
        let mut is_end = match &data {
            // hyper stops reading at the announced length, so the last data frame must be recognized as the end.
            Some(Ok(_)) => remainder.is_end_stream(),
            Some(Err(_)) | None => true,
        };
        // The client's end can be seen only now that the body before it has been read.
        if is_end && (self.client_has_disconnected)() {
            data = Some(Err(BodyError::ClientDisconnected));
        } else if !is_end && self.must_make_room(remainder.waited()) {
            data = Some(Err(BodyError::TooSlow));
            is_end = true;
        }
        self.state.set(match &data {
            Some(Err(_)) => UploadState::Failed,
            Some(Ok(data)) => self.state_after(data, is_end, attempt),
            None => self.state_after(&Bytes::new(), is_end, attempt),
        });
        if is_end {
            guard.take();
        }
        if let Some(Ok(data)) = &data {
            self.taken.set(self.taken.get() + data.len() as u64);
        }
        self.last_taken_at.set(Instant::now());
        Poll::Ready(data)
    }

    /// Returns whether others wait for memory, and the client has been `waited` for longer than one that needs all of
    /// the time for a short body, again and again.
    fn must_make_room(&self, waited: Duration) -> bool {
        let parts = 1.0 + self.taken.get() as f64 / MAX_BUFFERED_BODY_BYTES as f64;
        let is_slow = waited > STALL_TIMEOUT.mul_f64(parts);
        is_slow && self.shared_memory.as_ref().is_some_and(BodyMemory::is_awaited)
    }

    /// Returns the state after an attempt has read data, which may be the last, from the client. Keeps the data
    /// if all before it is kept and there is room.
    fn state_after(&self, data: &Bytes, is_end: bool, attempt: AttemptNumber) -> UploadState {
        let mut replay = self.replay.borrow_mut();
        let is_kept = self.state.get() == UploadState::Receiving
            && replay.as_mut().is_some_and(|replay| replay.append(data));
        if !is_kept {
            replay.take();
        }
        match (is_kept, is_end) {
            (true, true) => UploadState::Complete,
            (true, false) => UploadState::Receiving,
            (false, true) => UploadState::Forwarded(attempt),
            (false, false) => UploadState::Forwarding(attempt),
        }
    }

    /// Calls the callback for the end of a streamed body, once.
    pub fn notify_forwarded(&self) {
        let on_forwarded = self.on_forwarded.borrow_mut().take();
        if let Some(on_forwarded) = on_forwarded {
            on_forwarded();
        }
    }
}
