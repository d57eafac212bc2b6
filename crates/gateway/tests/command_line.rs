//! The command line: what is printed, and with which code the program ends.

use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

const EXAMPLE: &str = include_str!("../src/config/example.json");

static FILES: AtomicUsize = AtomicUsize::new(0);

fn file(text: &str) -> PathBuf {
    let name = format!("command-line-{}-{}.json", std::process::id(), FILES.fetch_add(1, Ordering::SeqCst));
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn program(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_grebehook"));
    command.args(arguments).env_remove("GW_CONFIG").stdin(Stdio::null()).output().unwrap()
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

/// The exit code of `--check` on a configuration, and the lines it prints.
fn check(config: &str) -> (i32, Vec<String>) {
    let done = program(&["--check", file(config).to_str().unwrap()]);
    assert_eq!(text(&done.stderr), "");
    (done.status.code().unwrap(), text(&done.stdout).lines().map(str::to_owned).collect())
}

/// The example, changed.
fn changed(change: impl FnOnce(&mut Value)) -> String {
    let mut config = serde_json::from_str(EXAMPLE).unwrap();
    change(&mut config);
    config.to_string()
}

#[test]
fn a_sound_configuration_passes_the_check_in_silence() {
    assert_eq!(check(EXAMPLE), (0, vec![]));
}

#[test]
fn every_fault_gets_a_line_with_its_field() {
    let (code, lines) = check(&changed(|config| {
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
        "seed is no text of up to 16 hexadecimal digits",
        "known.endpoints[0].status is not valid: ",
        "settings.classes[0].aimUs is no number",
        "settings.plans[0].rate is missing",
        "settings.limits.connectTimeoutUs is not between 1 and 1e12 microseconds",
        "settings.limits.connIdleUs is missing",
        "settings.zones[0] has no name",
        "settings: batch_interval is zero",
    ];
    for fault in expected {
        assert!(lines.iter().any(|line| line.starts_with(fault)), "no '{fault}' among {lines:#?}");
    }
    assert_eq!((code, lines.len()), (2, expected.len()), "{lines:#?}");
}

#[test]
fn every_field_left_out_or_of_another_type_is_named_or_optional() {
    fn paths(value: &Value, at: &str, found: &mut Vec<String>) {
        let below: Vec<(String, &Value)> = match value {
            Value::Object(object) => object.iter().map(|(k, v)| (format!("{at}/{k}"), v)).collect(),
            Value::Array(list) => list.iter().enumerate().map(|(k, v)| (format!("{at}/{k}"), v)).collect(),
            _ => Vec::new(),
        };
        for (path, value) in below {
            paths(value, &path, found);
            found.push(path);
        }
    }
    let example = serde_json::from_str(EXAMPLE).unwrap();
    let mut found = Vec::new();
    paths(&example, "", &mut found);
    for path in found {
        let (code, lines) = check(&changed(|config| *config.pointer_mut(&path).unwrap() = json!([[-1]])));
        let field = path.rsplit('/').find(|step| step.parse::<usize>().is_err()).unwrap();
        match code {
            0 => assert_eq!(lines, Vec::<String>::new()),
            2 => assert!(lines[0].contains(field), "{path}: {lines:?}"),
            code => panic!("{path}: ended with {code}"),
        }
    }
}

#[test]
fn what_is_no_configuration_gets_one_line() {
    for config in ["{", "", "null", "[]", "7", "{}"] {
        let (code, lines) = check(config);
        assert!(code == 2 && !lines.is_empty(), "{config}: {lines:?}");
    }
    let (_, lines) = check("{\"name\": \"n3\",\n \"listen\" 7}");
    assert!(lines.len() == 1 && lines[0].contains("line 2 column"), "{lines:?}");
    let missing = program(&["--check", "no-such-file.json"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(text(&missing.stdout).starts_with("no-such-file.json cannot be read: "));
}

#[test]
fn a_start_takes_its_configuration_from_the_command_line_or_the_environment() {
    let bad = file(&changed(|config| config["listen"] = json!("nowhere")));
    let by_flag = program(&["--config", bad.to_str().unwrap()]);
    let by_variable = Command::new(env!("CARGO_BIN_EXE_grebehook")).env("GW_CONFIG", &bad).output().unwrap();
    for done in [by_flag, by_variable] {
        assert_eq!(done.status.code(), Some(2));
        let log = text(&done.stderr);
        assert!(log.lines().count() == 1 && log.contains("configuration: listen is not valid"), "{log}");
    }
    let neither = program(&[]);
    assert_eq!(neither.status.code(), Some(2));
    assert!(text(&neither.stderr).contains("GW_CONFIG is not set"));
}

#[test]
fn version_and_help_are_printed_and_other_arguments_refused() {
    let version = program(&["--version"]);
    assert!(version.status.success());
    assert_eq!(text(&version.stdout), concat!("grebehook ", env!("CARGO_PKG_VERSION"), "\n"));
    let help = program(&["--help"]);
    assert!(help.status.success());
    for option in ["--config <FILE>", "--check <FILE>", "--version", "--help"] {
        assert!(text(&help.stdout).contains(option), "no {option}");
    }
    assert_eq!(program(&["--chekc"]).status.code(), Some(2));
    assert_eq!(program(&["--check"]).status.code(), Some(2));
    assert_eq!(program(&["--check", "a", "--config", "b"]).status.code(), Some(2));
}
