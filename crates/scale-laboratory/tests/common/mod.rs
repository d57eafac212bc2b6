//! Helpers that build and measure experiments and run the program.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use grebehook_scale_laboratory::error::LaboratoryError;
use grebehook_scale_laboratory::experiment::Experiment;
use grebehook_scale_laboratory::hollow;
use grebehook_scale_laboratory::metric::Metric;
use grebehook_scale_laboratory::progress::Progress;
use grebehook_scale_laboratory::results::Point;
use std::path::Path;
use std::process::{Command, Output};

/// Experiment file of a small hollow fleet: six gateways, two regions, no requests.
pub const FLEET: &str = r#"
name = "small"
description = "A small fleet."
mode = "hollow"
seed = 7

[fleet]
gateways = 6
servers_per_service = 24
tenants = 40
gateways_per_tenant = 2
regions = 2
zones_per_region = 2
racks_per_zone = 2

[load]
requests_per_second = 0.0
duration_seconds = 6.0
warm_up_seconds = 1.0
quota_rate = 50.0
quota_burst = 100.0
"#;

/// Returns the experiment file of the small fleet after text replacements and with text appended.
pub fn toml(replacements: &[(&str, &str)], appended: &str) -> String {
    let mut text = FLEET.to_owned();
    for (from, to) in replacements {
        assert!(text.contains(from), "the small fleet's file does not contain '{from}'");
        text = text.replace(from, to);
    }
    text + appended
}

/// Parses an experiment file.
pub fn parse(text: &str) -> Result<Experiment, LaboratoryError> {
    Experiment::parse(Path::new("small.toml"), text)
}

/// Measures a hollow experiment without a sweep.
pub fn measure_point(text: &str) -> Point {
    try_measure_point(text).expect("the hollow run succeeds")
}

/// Measures a hollow experiment without a sweep, which may fail.
pub fn try_measure_point(text: &str) -> Result<Point, LaboratoryError> {
    hollow::measure(&parse(text).expect("the experiment file is valid"), None, &Progress::default())
}

/// Returns the value of a metric; panics if it was not measured.
pub fn value(point: &Point, metric: Metric) -> f64 {
    point.metrics[&metric]
}

/// Runs `grebehook-scale` until it exits.
pub fn run_program(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_grebehook-scale"))
        .args(arguments)
        .output()
        .expect("grebehook-scale starts")
}

/// Returns what the program wrote to standard error.
pub fn standard_error(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}
