//! Load balancing: selection of the server for an attempt.

pub(crate) mod selection;
mod subset;
