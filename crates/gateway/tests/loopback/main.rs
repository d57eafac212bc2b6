//! Integration tests that run the gateway as a process against scripted peers on loopback sockets.

mod clients;
mod counter;
mod departures;
mod discovery;
mod faults;
mod late_reads;
mod lifecycle;
mod ops;
mod rig;
mod servers;
mod size;
mod soak;
mod takeover;
