//! Support for tests that pass events to the decision core and check its actions: default settings and
//! events, test drivers, and queries on actions.
#![allow(dead_code, reason = "each test file is a separate crate and uses only part of this module")]

pub mod actions;
pub mod counter_fleet;
pub mod events;
pub mod fleet_gateway;
pub mod settings;
pub mod test_gateway;

use grebehook_core::Micros;

/// One millisecond of the gateway's clock, in microseconds.
pub const MILLISECOND: Micros = 1_000;
/// One second of the gateway's clock, in microseconds.
pub const SECOND: Micros = 1_000_000;
