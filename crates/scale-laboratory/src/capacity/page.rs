//! Replacement of the tables in the capacity page, which stand between two markers.

use crate::error::{LaboratoryError, Result};
use std::fs;
use std::path::Path;

/// Line before the tables.
const BEGIN_MARKER: &str =
    "<!-- capacity tables: begin; computed by 'grebehook-scale capacity results --page docs/CAPACITY.md' -->";
/// Line after the tables.
const END_MARKER: &str = "<!-- capacity tables: end -->";

/// Replaces the text between the markers of a page with tables.
pub fn replace_tables(page: &Path, tables: &str) -> Result<()> {
    let failed = |error| LaboratoryError::io(page.display().to_string(), error);
    let missing_marker =
        |marker| LaboratoryError::results(page, format!("has no {marker} marker of the capacity tables"));
    let text = fs::read_to_string(page).map_err(failed)?;
    let (head, rest) = text.split_once(BEGIN_MARKER).ok_or_else(|| missing_marker("begin"))?;
    let (_, tail) = rest.split_once(END_MARKER).ok_or_else(|| missing_marker("end"))?;
    fs::write(page, format!("{head}{BEGIN_MARKER}\n\n{tables}\n{END_MARKER}{tail}")).map_err(failed)
}
