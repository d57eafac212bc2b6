//! The servers of the back end: the endpoint list, what is known of each server, and their order.

mod load_report;
mod membership;
pub(crate) mod ranked_tree;
pub(crate) mod server;
pub(crate) mod server_index;
pub(crate) mod start_times;
