//! Experiments and runs of the program for the tests.
#![allow(dead_code, reason = "each test file uses its own part")]

use grebehook_scale_laboratory::error::LaboratoryError;
use grebehook_scale_laboratory::experiment::Experiment;
use grebehook_scale_laboratory::hollow;
use grebehook_scale_laboratory::metric::Metric;
use grebehook_scale_laboratory::progress::Progress;
use grebehook_scale_laboratory::results::Point;
use std::path::Path;
use std::process::{Command, Output};

/// A small hollow fleet: six gateways, two regions, no requests.
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

/// The small fleet with other lines in place of some of its own, and more at its end.
pub fn text(changes: &[(&str, &str)], more: &str) -> String {
    let mut text = FLEET.to_owned();
    for (from, to) in changes {
        assert!(text.contains(from), "the fleet has no line '{from}'");
        text = text.replace(from, to);
    }
    text + more
}

/// Reads an experiment.
pub fn parse(text: &str) -> Result<Experiment, LaboratoryError> {
    Experiment::parse(Path::new("small.toml"), text)
}

/// Plays a hollow experiment of one size.
pub fn play(text: &str) -> Point {
    try_play(text).expect("the run succeeds")
}

/// The same where it may fail.
pub fn try_play(text: &str) -> Result<Point, LaboratoryError> {
    hollow::measure(&parse(text).expect("a sound experiment"), None, &Progress::default())
}

/// The value of a metric that was measured.
pub fn value(point: &Point, metric: Metric) -> f64 {
    point.metrics[&metric]
}

/// Runs the program.
pub fn program(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_grebehook-scale")).args(arguments).output().expect("the program starts")
}

/// What the program wrote to standard error.
pub fn standard_error(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}
