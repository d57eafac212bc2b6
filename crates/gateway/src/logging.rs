//! Logging to standard error, one line per event, as text or JSON.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use tracing::level_filters::LevelFilter;
use tracing::warn;

/// Environment variable that selects the log format.
const FORMAT_VARIABLE: &str = "GW_LOG_FORMAT";

/// Initializes logging in the format selected by the environment: `json`, or text for any other value.
pub fn init() {
    // Internal errors are off: by default tracing-subscriber reports a failed write to standard error, and
    // panics if that fails too.
    let subscriber = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(LevelFilter::INFO)
        .with_ansi(false)
        .with_target(false)
        .log_internal_errors(false);
    let format = std::env::var(FORMAT_VARIABLE).unwrap_or_default();
    if format == "json" {
        subscriber.json().flatten_event(true).init();
        return;
    }
    subscriber.init();
    if !matches!(format.as_str(), "" | "text") {
        warn!(format, "{FORMAT_VARIABLE} is neither 'text' nor 'json'; logging as text");
    }
}

/// Displays an error and its chain of sources, separated by colons.
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
