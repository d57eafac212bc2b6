//! The capacity page's tables, computed from committed results: what each role needs at the target size, beside its
//! budget; the slopes that this rests on; and what faults cost.

mod cells;
mod fault_table;
mod need;
mod need_table;
mod needs;
mod page;
mod probe_table;
mod run_set;
mod slope_table;
mod target;

use crate::error::Result;
use run_set::RunSets;
use std::path::Path;

/// All tables as Markdown.
pub fn tables(folder: &Path) -> Result<String> {
    let sets = RunSets::read(folder)?;
    let parts = [
        need_table::markdown(&sets)?,
        probe_table::markdown(&sets),
        fault_table::markdown(&sets),
        fault_table::quota_markdown(&sets),
        slope_table::markdown(&sets),
    ];
    Ok(parts.join("\n"))
}

/// Replaces the tables of a page by those of the results.
pub fn update_page(folder: &Path, page: &Path) -> Result<()> {
    page::replace_tables(page, &tables(folder)?)
}
