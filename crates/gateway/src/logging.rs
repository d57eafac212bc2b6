//! The log, on standard error: one line for each event, as text or, on demand, as JSON.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use tracing::level_filters::LevelFilter;
use tracing::warn;

/// The environment variable that names the format of the log.
const FORMAT_VARIABLE: &str = "GW_LOG_FORMAT";

/// Starts the log in the format that the environment names: `json`, or else text.
pub fn start() {
    // By default the library reports a log that cannot be written on standard error, and panics if that fails too.
    let log = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(LevelFilter::INFO)
        .with_ansi(false)
        .with_target(false)
        .log_internal_errors(false);
    let format = std::env::var(FORMAT_VARIABLE).unwrap_or_default();
    if format == "json" {
        log.json().flatten_event(true).init();
        return;
    }
    log.init();
    if !matches!(format.as_str(), "" | "text") {
        warn!(format, "{FORMAT_VARIABLE} is neither 'text' nor 'json'; the log is text");
    }
}

/// Displays an error with all of its sources, separated by colons.
pub struct ErrorChain<'a>(pub &'a dyn Error);

impl Display for ErrorChain<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(self.0, f)?;
        let mut source = self.0.source();
        while let Some(error) = source {
            write!(f, ": {error}")?;
            source = error.source();
        }
        Ok(())
    }
}
