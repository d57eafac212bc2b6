//! Tests of the command line: output and exit codes.

use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A valid configuration.
const EXAMPLE: &str = include_str!("../src/config/example.json");

/// Number of files written so far, which makes their names unique.
static FILE_COUNT: AtomicUsize = AtomicUsize::new(0);

/// Writes a configuration file and returns its path.
fn write_config(text: &str) -> PathBuf {
    let number = FILE_COUNT.fetch_add(1, Ordering::SeqCst);
    let name = format!("command-line-{}-{number}.json", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Runs the gateway program without `GW_CONFIG` in its environment.
fn run_gateway(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_grebehook"));
    command.args(arguments).env_remove("GW_CONFIG").stdin(Stdio::null()).output().unwrap()
}

fn utf8(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

/// Outcome of `--check` for a configuration.
struct CheckResult {
    exit_code: i32,
    lines: Vec<String>,
}

/// Runs `--check` on a configuration.
fn check(config: &str) -> CheckResult {
    let output = run_gateway(&["--check", write_config(config).to_str().unwrap()]);
    assert_eq!(utf8(&output.stderr), "");
    let lines = utf8(&output.stdout).lines().map(str::to_owned).collect();
    CheckResult { exit_code: output.status.code().unwrap(), lines }
}

/// Returns the example configuration with a change applied.
fn changed_example(change: impl FnOnce(&mut Value)) -> String {
    let mut config = serde_json::from_str(EXAMPLE).unwrap();
    change(&mut config);
    config.to_string()
}

#[test]
fn check_of_a_valid_configuration_prints_nothing() {
    let result = check(EXAMPLE);
    assert_eq!(result.exit_code, 0);
    assert_eq!(result.lines, Vec::<String>::new());
}

#[test]
fn check_prints_a_line_with_its_field_for_every_error() {
    let CheckResult { exit_code, lines } = check(&changed_example(|config| {
        config.as_object_mut().unwrap().remove("discovery");
        config["listen"] = json!("nowhere");
        config["seed"] = json!(12);
        config["known"]["endpoints"] = json!([{"name": "s-1", "address": "10.1.0.1:7000", "status": "odd"}]);
        config["settings"]["classes"][0]["aimUs"] = json!("soon");
        config["settings"]["plans"][0].as_object_mut().unwrap().remove("rate");
        config["settings"]["limits"].as_object_mut().unwrap().remove("connIdleUs");
        config["settings"]["limits"]["connectTimeoutUs"] = json!(0);
        config["settings"]["zones"] = json!([7]);
        config["settings"]["tickUs"] = json!(0);
    }));
    let expected = [
        "listen is not valid: ",
        "discovery is missing",
        "seed is not a string of up to 16 hexadecimal digits",
        "known.endpoints[0].status is not valid: ",
        "settings.classes[0].aimUs is no number",
        "settings.plans[0].rate is missing",
        "settings.limits.connectTimeoutUs is not between 1 and 1e12 microseconds",
        "settings.limits.connIdleUs is missing",
        "settings.zones[0] has no name",
        "settings: tickUs is zero",
    ];
    for error in expected {
        assert!(lines.iter().any(|line| line.starts_with(error)), "no '{error}' among {lines:#?}");
    }
    assert_eq!((exit_code, lines.len()), (2, expected.len()), "{lines:#?}");
}

/// Returns the JSON pointers of all values nested in a value, the innermost first.
fn nested_pointers(value: &Value, pointer: &str) -> Vec<String> {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(object) => {
            object.iter().map(|(key, child)| (format!("{pointer}/{key}"), child)).collect()
        }
        Value::Array(list) => {
            list.iter().enumerate().map(|(index, child)| (format!("{pointer}/{index}"), child)).collect()
        }
        _ => Vec::new(),
    };
    let mut pointers = Vec::new();
    for (child_pointer, child) in children {
        pointers.extend(nested_pointers(child, &child_pointer));
        pointers.push(child_pointer);
    }
    pointers
}

#[test]
fn check_names_every_required_field_of_the_wrong_type() {
    let example = serde_json::from_str(EXAMPLE).unwrap();
    for pointer in nested_pointers(&example, "") {
        let set_wrong_type = |config: &mut Value| *config.pointer_mut(&pointer).unwrap() = json!([[-1]]);
        let CheckResult { exit_code, lines } = check(&changed_example(set_wrong_type));
        let field = pointer.rsplit('/').find(|segment| segment.parse::<usize>().is_err()).unwrap();
        match exit_code {
            0 => assert_eq!(lines, Vec::<String>::new()),
            2 => assert!(lines[0].contains(field), "{pointer}: {lines:?}"),
            code => panic!("{pointer}: exit code {code}"),
        }
    }
}

#[test]
fn check_reports_documents_that_are_not_a_configuration() {
    for config in ["{", "", "null", "[]", "7", "{}"] {
        let CheckResult { exit_code, lines } = check(config);
        assert!(exit_code == 2 && !lines.is_empty(), "{config}: {lines:?}");
    }
    let CheckResult { lines, .. } = check("{\"name\": \"n3\",\n \"listen\" 7}");
    assert!(lines.len() == 1 && lines[0].contains("line 2 column"), "{lines:?}");
    let missing = run_gateway(&["--check", "no-such-file.json"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(utf8(&missing.stdout).starts_with("no-such-file.json cannot be read: "));
}

#[test]
fn start_reads_the_configuration_named_by_option_or_environment() {
    let invalid = write_config(&changed_example(|config| config["listen"] = json!("nowhere")));
    let by_flag = run_gateway(&["--config", invalid.to_str().unwrap()]);
    let by_variable =
        Command::new(env!("CARGO_BIN_EXE_grebehook")).env("GW_CONFIG", &invalid).output().unwrap();
    for output in [by_flag, by_variable] {
        assert_eq!(output.status.code(), Some(2));
        let log = utf8(&output.stderr);
        assert_eq!(log.lines().count(), 1, "{log}");
        assert!(log.contains(" ERROR the configuration cannot be used; exiting file="), "{log}");
        assert!(log.contains(" error=listen is not valid: "), "{log}");
    }
    let neither = run_gateway(&[]);
    assert_eq!(neither.status.code(), Some(2));
    assert!(utf8(&neither.stderr).contains("GW_CONFIG is not set"));
}

#[test]
fn version_and_help_are_printed_and_other_arguments_rejected() {
    let version = run_gateway(&["--version"]);
    assert!(version.status.success());
    assert_eq!(utf8(&version.stdout), concat!("grebehook ", env!("CARGO_PKG_VERSION"), "\n"));
    let help = run_gateway(&["--help"]);
    assert!(help.status.success());
    for option in ["--config <FILE>", "--check <FILE>", "--version", "--help"] {
        assert!(utf8(&help.stdout).contains(option), "no {option}");
    }
    assert_eq!(run_gateway(&["--chekc"]).status.code(), Some(2));
    assert_eq!(run_gateway(&["--check"]).status.code(), Some(2));
    assert_eq!(run_gateway(&["--check", "a", "--config", "b"]).status.code(), Some(2));
}
