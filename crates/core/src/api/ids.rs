//! Times and the numbers by which events and actions name things.

/// A time or a span, in microseconds on the clock of whoever drives the gateway.
pub type Micros = u64;

/// A time that is not zero, so that an unknown one takes no more memory.
pub type NonZeroMicros = std::num::NonZeroU64;

/// Defines a number that names something.
macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(/** A client's request, as this gateway's host numbers them, below 2^63. Never used twice. */
RequestId(u64));
id!(/** A server; every gateway must use the same number for the same server. */
ServerId(u64));
id!(/** A customer; every gateway must use the same number for the same customer. */
CustomerId(u64));
id!(/** A timer, opaque to the host, which hands it back as it was set. */
TimerId(u64));
id!(/** A key of the shared counter; the same number means the same key at every gateway. */
CounterId(u64));

impl TimerId {
    /// The timer of the gateway's regular tick.
    pub const TICK: TimerId = TimerId(u64::MAX);
}
