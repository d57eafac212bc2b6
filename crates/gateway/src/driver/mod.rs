//! Decision driver: passes events to the decision core and carries out its actions. Contains the clock, the
//! timers and the table of pending requests.

mod arrival_history;
pub mod clock;
pub mod decision_driver;
pub mod decision_log;
pub mod id_exchange;
pub mod pending_request;
pub mod recent_ids;
pub mod request;
pub mod request_table;
pub mod timers;
