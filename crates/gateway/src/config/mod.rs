//! Command line, configuration file and validation.

pub mod check;
pub mod command_line;
pub mod document;
pub mod file;
pub mod names;
