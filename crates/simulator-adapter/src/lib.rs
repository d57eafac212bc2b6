//! The simulator's wire to grebehook-core's interface and back; nothing is decided here.
//!
//! The wire's names are replaced by the decision core's terms in one place each: `events` (read), `actions`
//! (written), [`settings`] (read, also by the gateway program).

mod actions;
mod batch;
mod events;
pub mod fields;
mod host;
mod instance;
mod names;
mod row;
pub mod settings;

pub use batch::BatchError;
pub use host::Host;
pub use row::ColumnError;
