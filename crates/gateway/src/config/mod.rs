//! The command line and the configuration.

pub mod check;
pub mod command_line;
pub mod document;
pub mod file;
pub mod names;
