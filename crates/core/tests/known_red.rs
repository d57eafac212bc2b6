//! Tests of `.ci/known-red`, the continuous integration script that reads the list of known failing tests.

use std::io::Write;
use std::path::Path;
use std::process::{Command, Output, Stdio};

/// Runs the script on a list, with `a::first` and `second` as the only existing tests.
fn run_script(name: &str, list: &str) -> Output {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join(format!("known-red-{name}.txt"));
    std::fs::write(&file, list).expect("the list is written");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let mut child = Command::new("bash")
        .args([&script, &file])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("bash starts the script");
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(b"a::first\nsecond\n")
        .expect("the script reads the test names");
    child.wait_with_output().expect("the script exits")
}

#[test]
fn listed_tests_are_skipped_and_printed() {
    let output = run_script("valid", "a::first, it is slow, issue 14\n\nsecond, a race, issue 7");
    assert!(output.status.success());
    assert_eq!(output.stdout, b"a::first\nsecond\n");
    let printed = String::from_utf8_lossy(&output.stderr);
    assert!(
        printed.contains("a::first, it is slow, issue 14") && printed.contains("second, a race, issue 7")
    );
}

#[test]
fn list_with_a_fourth_entry_an_unknown_test_or_a_missing_cause_or_issue_is_rejected() {
    let line = "second, a race, issue 7\n";
    for (name, list) in [
        ("four-entries", line.repeat(4)),
        ("unknown-test", "first, not its whole name, issue 7\n".to_owned()),
        ("name-only", "second\n".to_owned()),
        ("missing-cause", "second, , issue 7\n".to_owned()),
    ] {
        let output = run_script(name, &list);
        assert!(
            !output.status.success() && !output.stderr.is_empty(),
            "{name}: the list was accepted, or rejected without a message"
        );
    }
    assert!(run_script("three-entries", &line.repeat(3)).status.success());
}
