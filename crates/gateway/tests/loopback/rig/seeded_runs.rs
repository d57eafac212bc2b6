//! Seeded tests: their seeds, and runs of them in parallel.

use std::ops::RangeInclusive;
use std::sync::Mutex;
use std::thread;

/// Returns the seeds to run from an environment variable (`7` or `1-50`), or the default seeds without it.
fn seeds(variable: &str, default: RangeInclusive<u64>) -> RangeInclusive<u64> {
    let Ok(text) = std::env::var(variable) else { return default };
    let (from, to) = text.split_once('-').unwrap_or((&text, &text));
    let number = |text: &str| text.parse().unwrap_or_else(|_| panic!("{variable} names no seed: {text}"));
    number(from)..=number(to)
}

/// Runs all seeds, a few in parallel, and panics with the violations that the runs return, if there are any.
pub fn check_seeds(
    variable: &str,
    default: RangeInclusive<u64>,
    parallel_runs: usize,
    run: impl Fn(u64) -> Vec<String> + Sync,
) {
    let seeds = Mutex::new(seeds(variable, default));
    let next_seed = || seeds.lock().unwrap().next();
    let all_violations = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..parallel_runs {
            scope.spawn(|| {
                while let Some(seed) = next_seed() {
                    let violations = run(seed);
                    let labeled = violations.into_iter().map(|violation| format!("seed {seed}: {violation}"));
                    all_violations.lock().unwrap().extend(labeled);
                }
            });
        }
    });
    let all_violations = all_violations.into_inner().unwrap();
    assert!(all_violations.is_empty(), "{}", all_violations.join("\n"));
}
