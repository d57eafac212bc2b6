//! Load balancing: which server an attempt goes to.

pub(crate) mod selection;
mod subset;
