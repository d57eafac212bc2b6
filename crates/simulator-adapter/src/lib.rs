//! Translates between the simulator's protocol and the events and actions of `grebehook-core`. This crate
//! makes no decisions about requests.
//!
//! A wire name is a name in the protocol's messages. The mapping from wire names to the terms of the decision
//! core is confined to `events` (decoding), `actions` (encoding) and [`settings`], which the gateway program
//! shares.

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
pub use host::InstanceHost;
pub use row::ColumnError;
