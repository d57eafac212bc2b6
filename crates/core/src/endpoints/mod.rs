//! The servers of the back end: updates of the endpoint list, the record of each server, and the index over
//! the records.

mod load_report;
mod membership;
pub(crate) mod ranked_tree;
pub(crate) mod server;
pub(crate) mod server_index;
pub(crate) mod start_times;
