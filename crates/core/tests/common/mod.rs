//! Drivers, defaults and queries for tests that hand events to the decision core and check its actions.
#![allow(dead_code, reason = "each test file is a crate of its own and uses only part of this module")]

pub mod actions;
pub mod counter_fleet;
pub mod events;
pub mod fleet_gateway;
pub mod settings;
pub mod test_gateway;

use grebehook_core::Micros;

/// A millisecond of the gateway's clock.
pub const MILLISECOND: Micros = 1_000;
/// A second of the gateway's clock.
pub const SECOND: Micros = 1_000_000;
