//! The limits on the policy files, as continuous integration checks them.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Whether the script lets a list of files with these texts pass.
fn passes(name: &str, texts: &[String]) -> bool {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let files: Vec<PathBuf> =
        (0..texts.len()).map(|k| folder.join(format!("policy-{name}-{k}.rs"))).collect();
    for (file, text) in files.iter().zip(texts) {
        std::fs::write(file, text).expect("a file");
    }
    let list = folder.join(format!("policy-{name}.toml"));
    let quoted: Vec<String> = files.iter().map(|f| format!("\"{}\"", f.display())).collect();
    let text = format!("build = \"x\"\npolicy = [{}]\nnode = [\"y\"]\n", quoted.join(", "));
    std::fs::write(&list, text).expect("a file");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/policy-limits");
    Command::new("bash").args([&script, &list]).output().expect("the script runs").status.success()
}

#[test]
fn a_policy_file_of_four_hundred_lines_passes_and_no_longer_one() {
    let (line, blank) = ("let x = 1;\n", "  \n\n");
    assert!(passes("fits", &[line.repeat(400), blank.repeat(50) + &line.repeat(400), line.repeat(400)]));
    assert!(!passes("long", &[line.repeat(10), line.repeat(401)]));
    assert!(!passes("none", &[]));
}

#[test]
fn no_policy_line_is_past_110_columns() {
    let line = |width: usize| "x".repeat(width) + "\n";
    assert!(passes("width", &[line(110)]));
    assert!(!passes("wide", &[line(1), line(111)]));
}
