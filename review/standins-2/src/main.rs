//! `review-standins-2 CASE FOLDER` plays a case and writes `record.txt` into its folder. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod body_wait;
mod ceiling;
mod departed;
mod http;
mod pipeline;
mod rig;
mod stale_list;
mod term_download;

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = rig::Record::create(Path::new(folder));
    rig::end_after(Duration::from_secs(110));
    let play: fn(&rig::Record) -> Verdict = match case.as_str() {
        "ceiling" => ceiling::play,
        "body-wait" => body_wait::play,
        "term-download" => term_download::play,
        "departed" => departed::play,
        "pipeline" => pipeline::play,
        "stale-list" => stale_list::play,
        _ => |_| Verdict::NotRun,
    };
    // A panic of a stand-in is no verdict.
    let verdict = catch_unwind(AssertUnwindSafe(|| play(&record))).unwrap_or(Verdict::NotRun);
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.say(text);
    ExitCode::from(code)
}
