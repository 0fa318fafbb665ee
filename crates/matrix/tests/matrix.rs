//! The fault matrix: every step of every path with every fault, single and in pairs.
//!
//! `MATRIX_CELL="model first_chunk:agent_death" cargo test -p cuminlead-matrix --test matrix one_cell --
//! --nocapture` runs one cell and prints its record. All pairs run with
//! `cargo test -p cuminlead-matrix --release --test matrix -- --ignored all_pairs --nocapture`.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use cuminlead_matrix::Cell;
use cuminlead_matrix::cell::{EXACT_SEED, not_applicable, pairs, run_cell, singles};
use cuminlead_matrix::guard_hooks::NoGuardHooks;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

/// Seed of `MATRIX_SEED`; other seeds than the default add jitter and inject a little later.
fn seed() -> u64 {
    let text = std::env::var("MATRIX_SEED").ok();
    let seed = text.map(|text| text.parse().expect("MATRIX_SEED is a number"));
    seed.unwrap_or(EXACT_SEED)
}

/// Pairs that run with every test; the run must stay within about 60 s in a debug build.
const PAIRS_SAMPLE_COUNT: usize = 500;
/// Failed cells that are printed in full.
const PRINTED_MAX_COUNT: usize = 40;
/// Leaves cores for the tests beside this one.
const THREADS_MAX_COUNT: usize = 6;

/// What came of many cells.
#[derive(Debug, Default)]
struct Summary {
    run_count: usize,
    passed_count: usize,
    not_reached: Vec<String>,
    failed: BTreeMap<String, Vec<String>>,
    /// Cells by the ending of their request.
    endings: BTreeMap<String, usize>,
}

impl Summary {
    fn add(&mut self, cell: &Cell) {
        let report = run_cell(cell, seed(), Box::new(NoGuardHooks));
        self.run_count += 1;
        if std::env::var("MATRIX_ENDINGS").is_ok() {
            println!("  {cell} ended {}", report.ending);
        }
        *self.endings.entry(report.ending).or_default() += 1;
        if report.injected_count < cell.injections.len() {
            self.not_reached.push(cell.to_string());
        }
        if report.findings.is_empty() {
            self.passed_count += 1;
        } else {
            self.failed.insert(cell.to_string(), report.findings);
        }
    }

    fn merge(&mut self, other: Summary) {
        self.run_count += other.run_count;
        self.passed_count += other.passed_count;
        self.not_reached.extend(other.not_reached);
        self.failed.extend(other.failed);
        for (ending, count) in other.endings {
            *self.endings.entry(ending).or_default() += count;
        }
    }

    fn print(&mut self, title: &str) {
        self.not_reached.sort_unstable();
        println!(
            "{title}: {} cells run, {} passed, {} failed, {} with a step that did not occur",
            self.run_count,
            self.passed_count,
            self.failed.len(),
            self.not_reached.len(),
        );
        println!("  endings of the requests: {:?}", self.endings);
        for (cell, findings) in self.failed.iter().take(PRINTED_MAX_COUNT) {
            println!("  failed {cell}");
            for finding in findings.iter().take(3) {
                println!("    {finding}");
            }
        }
    }

    fn print_not_covered(&self) {
        for name in &self.not_reached {
            println!("  not reached {name}");
        }
        println!("  not applicable: {}", not_applicable().join(" "));
    }

    fn assert_passed(&self) {
        let failed: Vec<&String> = self.failed.keys().collect();
        assert!(
            failed.is_empty(),
            "{} cells failed: {failed:#?}",
            failed.len()
        );
    }
}

fn run(cells: &[Cell]) -> Summary {
    let next = AtomicUsize::new(0);
    let total = Mutex::new(Summary::default());
    let threads_count = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        for _ in 0..threads_count.min(THREADS_MAX_COUNT) {
            scope.spawn(|| {
                let mut summary = Summary::default();
                while let Some(cell) = cells.get(next.fetch_add(1, Ordering::Relaxed)) {
                    summary.add(cell);
                }
                let mut total = total.lock().unwrap_or_else(PoisonError::into_inner);
                total.merge(summary);
            });
        }
    });
    total.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// Guards against a promise that one fault at any step of any path breaks.
#[test]
fn single_faults() {
    let mut summary = run(&singles());
    summary.print("single faults");
    summary.print_not_covered();
    summary.assert_passed();
}

/// Guards against a promise that two faults together break, on a fixed sample of pairs.
#[test]
fn sampled_pairs() {
    let all = pairs();
    let mut rng = StdRng::seed_from_u64(seed());
    let sample: Vec<Cell> = all.sample(&mut rng, PAIRS_SAMPLE_COUNT).cloned().collect();
    let mut summary = run(&sample);
    summary.print(&format!("sample of {} pairs", all.len()));
    summary.assert_passed();
}

/// Guards against a promise that any two faults together break.
#[test]
#[ignore = "runs for minutes"]
fn all_pairs() {
    let mut summary = run(&pairs());
    summary.print("all pairs");
    summary.assert_passed();
}

/// Runs the cell that `MATRIX_CELL` names, to look into a failure.
#[test]
fn one_cell() {
    let Ok(text) = std::env::var("MATRIX_CELL") else {
        return;
    };
    let cell: Cell = text.parse().expect("MATRIX_CELL names a cell");
    let report = run_cell(&cell, seed(), Box::new(NoGuardHooks));
    println!("{}{} faults injected", report.record, report.injected_count);
    assert!(report.findings.is_empty(), "{:#?}", report.findings);
}
