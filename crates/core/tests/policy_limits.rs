//! The script of continuous integration that checks the limits on policy files.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Whether the script accepts files with these texts.
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
fn policy_files_of_400_lines_pass_and_a_longer_one_or_an_empty_list_fails() {
    let (line, blank) = ("let x = 1;\n", "  \n\n");
    assert!(passes("fits", &[line.repeat(400), blank.repeat(50) + &line.repeat(400), line.repeat(400)]));
    assert!(!passes("long", &[line.repeat(10), line.repeat(401)]));
    assert!(!passes("none", &[]));
}

#[test]
fn policy_line_of_110_columns_passes_and_a_wider_one_fails() {
    let line = |width: usize| "x".repeat(width) + "\n";
    assert!(passes("width", &[line(110)]));
    assert!(!passes("wide", &[line(1), line(111)]));
}
