//! Cells of the tables that may be empty.

/// A cell of something that was not measured.
pub const MISSING: &str = "–";

/// A cell of something that may not have been measured.
pub fn or_missing(cell: Option<String>) -> String {
    cell.unwrap_or_else(|| MISSING.to_owned())
}
