//! The tables within the capacity page, between markers.

use crate::error::{LaboratoryError, Result};
use std::fs;
use std::path::Path;

/// The line before the tables.
const BEGIN_MARKER: &str =
    "<!-- capacity tables: begin; computed by 'grebehook-scale capacity results --page docs/CAPACITY.md' -->";
/// The line after them.
const END_MARKER: &str = "<!-- capacity tables: end -->";

/// Replaces the tables of a page.
pub fn replace_tables(page: &Path, tables: &str) -> Result<()> {
    let failed = |error| LaboratoryError::io(page.display().to_string(), error);
    let lacks = |marker| LaboratoryError::results(page, format!("has no {marker} marker"));
    let text = fs::read_to_string(page).map_err(failed)?;
    let (head, rest) = text.split_once(BEGIN_MARKER).ok_or_else(|| lacks("begin"))?;
    let (_, tail) = rest.split_once(END_MARKER).ok_or_else(|| lacks("end"))?;
    fs::write(page, format!("{head}{BEGIN_MARKER}\n\n{tables}\n{END_MARKER}{tail}")).map_err(failed)
}
