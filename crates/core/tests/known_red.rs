//! The script of continuous integration that reads the list of known failing tests.

use std::io::Write;
use std::path::Path;
use std::process::{Command, Output, Stdio};

/// Runs the script on a list, where only the tests `a::first` and `second` exist.
fn read_list(name: &str, list: &str) -> Output {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join(format!("known-red-{name}.txt"));
    std::fs::write(&file, list).expect("a file");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let mut child = Command::new("bash")
        .args([&script, &file])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the script runs");
    child.stdin.take().expect("its input").write_all(b"a::first\nsecond\n").expect("it reads");
    child.wait_with_output().expect("it ends")
}

#[test]
fn listed_tests_are_skipped_and_printed() {
    let read = read_list("good", "a::first, it is slow, issue 14\n\nsecond, a race, issue 7");
    assert!(read.status.success());
    assert_eq!(read.stdout, b"a::first\nsecond\n");
    let printed = String::from_utf8_lossy(&read.stderr);
    assert!(
        printed.contains("a::first, it is slow, issue 14") && printed.contains("second, a race, issue 7")
    );
}

#[test]
fn list_with_a_fourth_entry_an_unknown_test_or_a_missing_cause_or_issue_is_refused() {
    let line = "second, a race, issue 7\n";
    for (name, list) in [
        ("four", line.repeat(4)),
        ("unknown", "first, not its whole name, issue 7\n".to_owned()),
        ("bare", "second\n".to_owned()),
        ("causeless", "second, , issue 7\n".to_owned()),
    ] {
        let read = read_list(name, &list);
        assert!(!read.status.success() && !read.stderr.is_empty(), "{name}");
    }
    assert!(read_list("three", &line.repeat(3)).status.success());
}
