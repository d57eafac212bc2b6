//! Tests of `.ci/policy-limits`, the continuous integration script that checks the limits on policy files.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Returns whether the script accepts files with the given texts.
fn accepts(name: &str, texts: &[String]) -> bool {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let files: Vec<PathBuf> =
        (0..texts.len()).map(|k| folder.join(format!("policy-{name}-{k}.rs"))).collect();
    for (file, text) in files.iter().zip(texts) {
        std::fs::write(file, text).expect("the policy file is written");
    }
    let list = folder.join(format!("policy-{name}.toml"));
    let quoted: Vec<String> = files.iter().map(|file| format!("\"{}\"", file.display())).collect();
    let text = format!("build = \"x\"\npolicy = [{}]\nnode = [\"y\"]\n", quoted.join(", "));
    std::fs::write(&list, text).expect("the list of files is written");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/policy-limits");
    Command::new("bash").args([&script, &list]).output().expect("bash starts the script").status.success()
}

#[test]
fn policy_files_of_400_lines_pass_and_a_longer_one_or_an_empty_list_fails() {
    let (line, blank) = ("let x = 1;\n", "  \n\n");
    assert!(accepts("fits", &[line.repeat(400), blank.repeat(50) + &line.repeat(400), line.repeat(400)]));
    assert!(!accepts("long", &[line.repeat(10), line.repeat(401)]));
    assert!(!accepts("none", &[]));
}

#[test]
fn policy_line_of_110_columns_passes_and_a_wider_one_fails() {
    let line = |width: usize| "x".repeat(width) + "\n";
    assert!(accepts("width", &[line(110)]));
    assert!(!accepts("wide", &[line(1), line(111)]));
}
