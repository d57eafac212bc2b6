//! Capacity page: its tables are those of the committed results.

mod common;

use common::{run_program, standard_error};
use std::fs;
use std::path::PathBuf;
use tempfile::TempDir;

/// Returns the root of the repository.
fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn capacity_page_has_the_tables_of_the_committed_results() {
    let folder = TempDir::new().unwrap();
    let page = fs::read_to_string(root().join("docs/CAPACITY.md")).unwrap();
    let copy = folder.path().join("CAPACITY.md");
    fs::write(&copy, &page).unwrap();
    let results = root().join("results");
    let arguments = ["capacity", &results.to_string_lossy(), "--page", &copy.to_string_lossy()];
    let output = run_program(&arguments);
    assert!(output.status.success(), "{}", standard_error(&output));
    assert_eq!(fs::read_to_string(&copy).unwrap(), page, "docs/CAPACITY.md differs from the results");
}

#[test]
fn page_without_markers_and_results_without_runs_are_rejected() {
    let folder = TempDir::new().unwrap();
    let page = folder.path().join("page.md");
    fs::write(&page, "no tables here\n").unwrap();
    let results = root().join("results");
    let without_markers =
        run_program(&["capacity", &results.to_string_lossy(), "--page", &page.to_string_lossy()]);
    assert_eq!(without_markers.status.code(), Some(1), "{}", standard_error(&without_markers));
    assert_eq!(fs::read_to_string(&page).unwrap(), "no tables here\n");
    let without_runs = run_program(&["capacity", &folder.path().to_string_lossy()]);
    assert_eq!(without_runs.status.code(), Some(1), "{}", standard_error(&without_runs));
}
