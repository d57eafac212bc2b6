//! Tests of the program `grebehook-scale`: exit codes, written files and termination of its child processes.

mod common;

use common::{run_program, standard_error, toml};
use grebehook_scale_laboratory::results::{Run, RunStatus};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Longest wait for an event; a passing test does not wait this long.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Writes an experiment file and returns its path.
fn write_experiment(folder: &TempDir, text: &str) -> String {
    let path = folder.path().join("small.toml");
    fs::write(&path, text).unwrap();
    path.to_string_lossy().into_owned()
}

/// Runs an experiment file, with results in the folder.
fn run_experiment(folder: &TempDir, file: &str) -> std::process::Output {
    run_program(&["run", file, "--results", &folder.path().to_string_lossy()])
}

#[test]
fn run_writes_results_tables_plots_and_metrics() {
    let folder = TempDir::new().unwrap();
    let sweep = "[sweep]\nparameter = \"gateways\"\nvalues = [2, 3, 4, 5, 6]\n";
    let file = write_experiment(
        &folder,
        &toml(&[("requests_per_second = 0.0", "requests_per_second = 100.0")], sweep),
    );
    let output = run_experiment(&folder, &file);
    assert!(output.status.success(), "{}", standard_error(&output));
    let results = folder.path().join("small");
    assert_eq!(Run::read_complete(&results).unwrap().points.len(), 5);
    let tables = fs::read_to_string(results.join("report.md")).unwrap();
    assert!(tables.contains("| discovery-calls (calls) | 20 | 30 | 40 | 50 | 60 |"), "{tables}");
    let report: serde_json::Value =
        serde_json::from_str(&fs::read_to_string(results.join("report.json")).unwrap()).unwrap();
    let fits = report["fits"].as_array().unwrap();
    let discovery_calls = fits.iter().find(|fit| fit["metric"] == "discovery-calls").unwrap();
    assert_eq!(discovery_calls["line"]["slope"], 10.0);
    assert!(fs::read_to_string(results.join("plots/discovery-calls.svg")).unwrap().starts_with("<svg"));
    let metrics = fs::read_to_string(results.join("metrics.prom")).unwrap();
    let line =
        "grebehook_scale_discovery_calls_calls{experiment=\"small\",parameter=\"gateways\",size=\"4\"} 40.0";
    assert!(metrics.contains(line), "{metrics}");
}

#[test]
fn invalid_input_exits_with_2_and_reports_the_field() {
    let folder = TempDir::new().unwrap();
    let cases = [
        (toml(&[("gateways = 6", "gateways = 0")], ""), "fleet.gateways"),
        (toml(&[("seed = 7", "seed = \"seven\"")], ""), "seed"),
        (
            toml(
                &[
                    ("gateways = 6", "gateways = 2800"),
                    ("servers_per_service = 24", "servers_per_service = 190000"),
                ],
                "",
            ),
            "MiB",
        ),
    ];
    for (text, reported) in cases {
        let output = run_experiment(&folder, &write_experiment(&folder, &text));
        assert_eq!(output.status.code(), Some(2), "{}", standard_error(&output));
        assert!(standard_error(&output).contains(reported), "{}", standard_error(&output));
    }
    assert_eq!(run_program(&["run", "no-such-file.toml"]).status.code(), Some(2));
    assert_eq!(run_program(&["fly"]).status.code(), Some(2));
    let real = write_experiment(&folder, &toml(&[("mode = \"hollow\"", "mode = \"real\"")], ""));
    let output = run_program(&["run", &real, "--gateway-program", "no-such-program"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(standard_error(&output).contains("--gateway-program"), "{}", standard_error(&output));
}

#[test]
fn missing_and_incomplete_results_exit_with_1() {
    let folder = TempDir::new().unwrap();
    let missing = folder.path().join("missing");
    assert_eq!(run_program(&["report", &missing.to_string_lossy()]).status.code(), Some(1));
    let fault = "[[fault]]\nkind = \"stop-answering\"\nat_seconds = 1.0\ngateway = 4\n\
                 [sweep]\nparameter = \"requests-per-second\"\nvalues = [0, 100]\n";
    let output = run_experiment(&folder, &write_experiment(&folder, &toml(&[], fault)));
    assert_eq!(output.status.code(), Some(1), "{}", standard_error(&output));
    assert!(standard_error(&output).contains("gateway 4 stopped answering"), "{}", standard_error(&output));
    // The results keep the point measured before the failure; a report on an incomplete run is refused.
    let results = folder.path().join("small");
    let kept = Run::read(&results).unwrap();
    assert_eq!((kept.status, kept.points.len()), (RunStatus::Failed, 1));
    let report = run_program(&["report", &results.to_string_lossy()]);
    assert_eq!(report.status.code(), Some(1));
    assert!(standard_error(&report).contains("half written"), "{}", standard_error(&report));
    fs::write(results.join("run.json"), "{\"format\": 1, \"sta").unwrap();
    assert_eq!(run_program(&["report", &results.to_string_lossy()]).status.code(), Some(1));
}

#[test]
fn list_prints_the_built_in_experiments() {
    let output = run_program(&["list"]);
    assert!(output.status.success());
    let names = String::from_utf8(output.stdout).unwrap();
    assert!(names.lines().any(|line| line.starts_with("quick ")), "{names}");
}

#[test]
fn json_log_format_writes_json_entries() {
    let output = run_program(&["--log-format", "json", "run", "no-such-file.toml"]);
    let line = standard_error(&output);
    let entry: serde_json::Value = serde_json::from_str(line.lines().next().unwrap()).unwrap();
    assert_eq!(entry["level"], "ERROR");
}

/// Builds the gateway program in the target folder of this test, unless it is up to date. Returns its path.
fn gateway_program() -> PathBuf {
    let status = Command::new(env!("CARGO"))
        .args(["build", "-p", "grebehook", "--bin", "grebehook", "--locked"])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .status()
        .unwrap();
    assert!(status.success());
    let laboratory = Path::new(env!("CARGO_BIN_EXE_grebehook-scale"));
    laboratory.parent().unwrap().parent().unwrap().join("debug/grebehook")
}

/// Replacements that turn the hollow experiment of `common::FLEET` into one in real mode.
const REAL_MODE: &[(&str, &str)] = &[
    ("mode = \"hollow\"", "mode = \"real\""),
    ("gateways = 6", "gateways = 2"),
    ("requests_per_second = 0.0", "requests_per_second = 60.0\nconnections = 4"),
    ("duration_seconds = 6.0", "duration_seconds = 3.0"),
];

#[test]
fn real_mode_measures_gateway_processes() {
    let folder = TempDir::new().unwrap();
    let faults = "[[fault]]\nkind = \"change-members\"\nat_seconds = 0.5\ncount = 2\n\
                  [[fault]]\nkind = \"change-configuration\"\nat_seconds = 1.0\n";
    let file = write_experiment(&folder, &toml(REAL_MODE, faults));
    let results = folder.path().to_string_lossy().into_owned();
    let gateway = gateway_program();
    let output =
        run_program(&["run", &file, "--results", &results, "--gateway-program", &gateway.to_string_lossy()]);
    assert!(output.status.success(), "{}", standard_error(&output));
    let run = Run::read_complete(&folder.path().join("small")).unwrap();
    let metric = |name: &str| {
        run.points[0]
            .metrics
            .iter()
            .find(|(metric, _)| metric.name() == name)
            .map_or(0.0, |(_, value)| *value)
    };
    assert!(metric("served") >= 0.9 * metric("arrivals") && metric("arrivals") > 100.0, "{run:?}");
    assert!(metric("counter-calls") > 0.0 && metric("discovery-calls") > 0.0, "{run:?}");
    assert!(metric("change-in-force") > 0.0 && metric("configuration-in-force") > 0.0, "{run:?}");
    assert!(metric("resident") > 1e6, "{run:?}");
}

/// Returns the ids of the processes whose parent, according to `/proc`, is the process `parent`.
fn child_pids(parent: u32) -> Vec<u32> {
    let is_child = |pid: &u32| {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        fields.get(1) == Some(&parent.to_string().as_str())
    };
    let processes = fs::read_dir("/proc").unwrap();
    processes.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok()).filter(is_child).collect()
}

/// Polls until the value is present and returns it; panics after `EVENT_TIMEOUT`.
fn wait_for<T>(event: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(started.elapsed() < EVENT_TIMEOUT, "no {event} within {EVENT_TIMEOUT:?}");
        sleep(Duration::from_millis(50));
    }
}

/// Sends SIGINT to a process, as a terminal does on Ctrl-C.
fn interrupt(child: &Child) {
    assert!(Command::new("kill").args(["-INT", &child.id().to_string()]).status().unwrap().success());
}

#[test]
fn interrupted_run_leaves_no_process_and_keeps_its_results() {
    let folder = TempDir::new().unwrap();
    let long_run = [REAL_MODE, &[("duration_seconds = 3.0", "duration_seconds = 300.0")]].concat();
    let file = write_experiment(&folder, &toml(&long_run, ""));
    let mut laboratory = Command::new(env!("CARGO_BIN_EXE_grebehook-scale"))
        .args(["run", &file, "--results", &folder.path().to_string_lossy(), "--gateway-program"])
        .arg(gateway_program())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let gateway_pids = wait_for("start of both gateways", || {
        Some(child_pids(laboratory.id())).filter(|pids| pids.len() == 2)
    });
    interrupt(&laboratory);
    let status = wait_for("end of the program", || laboratory.try_wait().unwrap());
    assert_eq!(status.code(), Some(1));
    for pid in gateway_pids {
        assert!(!Path::new(&format!("/proc/{pid}")).exists(), "gateway {pid} still runs");
    }
    let kept = Run::read(&folder.path().join("small")).unwrap();
    assert_eq!(kept.status, RunStatus::Failed);
    assert!(kept.error.unwrap().contains("interrupted"));
}
