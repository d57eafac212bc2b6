//! Time units and the identifiers that events and actions share.

/// A time or a duration in microseconds, by the clock of the decision driver.
pub type Micros = u64;

/// A time other than zero; `Option<NonZeroMicros>` takes no more memory than [`Micros`].
pub type NonZeroMicros = std::num::NonZeroU64;

/// Defines a newtype for a numeric identifier.
macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(/** Identifies a client's request. Assigned by the decision driver, below 2^63, and never used twice. */
RequestId(u64));
id!(/** Identifies a server; every gateway must use the same number for the same server. */
ServerId(u64));
id!(/** Identifies a customer; every gateway must use the same number for the same customer. */
CustomerId(u64));
id!(/** Identifies a timer; opaque to the decision driver, which returns it unchanged. */
TimerId(u64));
id!(/** Identifies a key of the shared counter; the same number is the same key at every gateway. */
CounterId(u64));

impl TimerId {
    /// The timer of the gateway's periodic tick.
    pub const TICK: TimerId = TimerId(u64::MAX);
}
