//! Integration tests that run the gateway as a process against scripted peers on loopback sockets.

mod broken_answers;
mod client_disconnects;
mod clients;
mod counter;
mod discovery;
mod endpoint_handover;
mod faults;
mod floods;
mod held_back_uploads;
mod late_reads;
mod lifecycle;
mod long_bodies;
mod memory;
mod memory_waits;
mod ops;
mod pausing_answers;
mod replacement_soak;
mod rig;
mod servers;
mod shutdown_deliveries;
mod slow_answers;
mod soak;
mod takeover;
mod upload_attempts;
