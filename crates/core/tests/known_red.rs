//! Tests of `.ci/known-red`, the continuous integration script that reads the list of known failing tests.

use std::io::Write;
use std::path::Path;
use std::process::{Command, Output, Stdio};

/// Runs the script on a list, with `a::first`, `second`, `third` and `fourth` as the only existing tests.
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
        .write_all(b"a::first\nsecond\nthird\nfourth\n")
        .expect("the script reads the test names");
    child.wait_with_output().expect("the script exits")
}

#[test]
fn listed_tests_are_skipped_and_printed() {
    let first = "a::first, cargo test a seed 3, it is slow, issue 14";
    let second = "second, cargo test second, a race, issue 7";
    let output = run_script("valid", &format!("{first}\n\n{second}"));
    assert!(output.status.success());
    assert_eq!(output.stdout, b"a::first\nsecond\n");
    let printed = String::from_utf8_lossy(&output.stderr);
    assert!(printed.contains(first) && printed.contains(second));
}

#[test]
fn list_with_a_fourth_entry_an_unknown_or_repeated_test_or_a_missing_part_is_rejected() {
    let entry = |test: &str| format!("{test}, cargo test, a race, issue 7\n");
    let names = ["a::first", "second", "third", "fourth"];
    let list = |count: usize| names[..count].iter().map(|name| entry(name)).collect::<String>();
    for (name, list) in [
        ("four-entries", list(4)),
        ("repeated-test", entry("second").repeat(2)),
        ("unknown-test", entry("first")),
        ("name-only", "second\n".to_owned()),
        ("missing-command", "second, , a race, issue 7\n".to_owned()),
        ("missing-observation", "second, cargo test, , issue 7\n".to_owned()),
        ("missing-issue", "second, cargo test, a race\n".to_owned()),
        ("issue-without-number", "second, cargo test, a race, issue\n".to_owned()),
        ("former-form", "second, a race, issue 7\n".to_owned()),
    ] {
        let output = run_script(name, &list);
        assert!(
            !output.status.success() && !output.stderr.is_empty(),
            "{name}: the list was accepted, or rejected without a message"
        );
    }
    assert!(run_script("three-entries", &list(3)).status.success());
}
