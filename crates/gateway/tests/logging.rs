//! Tests of the log: its two formats, and the rate limit on repeated errors.

#[path = "../src/network/repeat_limiter.rs"]
mod repeat_limiter;

use repeat_limiter::{RepeatLimiter, REPEAT_INTERVAL};
use serde_json::Value;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Returns the log of a gateway started without a configuration, with `GW_LOG_FORMAT` set to `format`.
fn startup_log(format: Option<&str>) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_grebehook"));
    command
        .env_remove("GW_CONFIG")
        .env_remove("GW_LOG_FORMAT")
        .envs(format.map(|format| ("GW_LOG_FORMAT", format)));
    let output = command.stdin(Stdio::null()).output().unwrap();
    assert!(output.stdout.is_empty());
    String::from_utf8(output.stderr).unwrap()
}

#[test]
fn text_line_has_timestamp_level_and_message() {
    for format in [None, Some("text"), Some("")] {
        let log = startup_log(format);
        let line: Vec<&str> = log.trim_end().splitn(3, ' ').collect();
        assert!(line[0].starts_with("20") && line[0].ends_with('Z'), "{log}");
        assert_eq!(line[1], "ERROR");
        assert_eq!(line[2], "configuration: GW_CONFIG is not set, and there is no --config");
    }
}

#[test]
fn json_line_has_timestamp_level_and_message() {
    let log = startup_log(Some("json"));
    assert_eq!(log.lines().count(), 1);
    let line: Value = serde_json::from_str(&log).unwrap();
    assert_eq!(line["level"], "ERROR");
    assert_eq!(line["message"], "configuration: GW_CONFIG is not set, and there is no --config");
    assert!(line["timestamp"].as_str().unwrap().starts_with("20"));
}

#[test]
fn unknown_format_is_reported_and_the_log_is_text() {
    let log = startup_log(Some("xml"));
    assert_eq!(log.lines().count(), 2, "{log}");
    assert!(log.lines().next().unwrap().contains("WARN GW_LOG_FORMAT is neither"), "{log}");
}

#[test]
fn closed_log_does_not_change_the_exit_code() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let mut command = Command::new(env!("CARGO_BIN_EXE_grebehook"));
    let status = command.env_remove("GW_CONFIG").stdin(Stdio::null()).stderr(writer).status().unwrap();
    assert_eq!(status.code(), Some(2));
}

#[test]
fn repeated_error_is_logged_once_per_interval_with_the_number_suppressed() {
    let (limiter, start) = (RepeatLimiter::default(), Instant::now());
    assert_eq!(limiter.admit(start), Some(0));
    for millisecond in 1..=7 {
        assert_eq!(limiter.admit(start + Duration::from_millis(millisecond)), None);
    }
    assert_eq!(limiter.admit(start + REPEAT_INTERVAL), Some(7));
    assert_eq!(limiter.admit(start + REPEAT_INTERVAL * 2), Some(0));
}
