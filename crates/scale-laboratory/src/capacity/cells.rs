//! Table cells of values that may be missing.

/// Content of the cell of a value that was not measured.
pub const MISSING: &str = "–";

/// Returns the content of a cell, or [`MISSING`] if the value was not measured.
pub fn or_missing(cell: Option<String>) -> String {
    cell.unwrap_or_else(|| MISSING.to_owned())
}
