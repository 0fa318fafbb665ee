//! The fault matrix: every fault at every injection point of every path, single and in pairs.
//!
//! One case with its record, and all pairs:
//!
//! ```text
//! MATRIX_CELL="model first_chunk:agent_death" \
//!     cargo test -p cuminlead-matrix --test matrix one_cell -- --nocapture
//! cargo test -p cuminlead-matrix --release --test matrix -- --ignored all_pairs --nocapture
//! ```

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use cuminlead_matrix::FaultCase;
use cuminlead_matrix::fault_case::{EXACT_SEED, not_applicable, pairs, run_case, singles};
use cuminlead_matrix::guard_hooks::NoGuardHooks;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

/// Seed from `MATRIX_SEED`. Seeds other than the default add jitter and delay the injections.
fn seed() -> u64 {
    let text = std::env::var("MATRIX_SEED").ok();
    let seed = text.map(|text| text.parse().expect("MATRIX_SEED is a number"));
    seed.unwrap_or(EXACT_SEED)
}

/// Pairs that run in every test run; they must finish within about 60 s in a debug build.
const PAIRS_SAMPLE_COUNT: usize = 500;
/// Most failed cases whose findings are printed.
const PRINTED_MAX_COUNT: usize = 40;
/// Limit that leaves cores to the tests that run at the same time.
const THREADS_MAX_COUNT: usize = 6;

/// Results of many cases.
#[derive(Debug, Default)]
struct Summary {
    run_count: usize,
    passed_count: usize,
    not_reached: Vec<String>,
    failed: BTreeMap<String, Vec<String>>,
    /// Number of cases by the ending of their request.
    endings: BTreeMap<String, usize>,
}

impl Summary {
    fn add(&mut self, case: &FaultCase) {
        let report = run_case(case, seed(), Box::new(NoGuardHooks));
        self.run_count += 1;
        if std::env::var("MATRIX_ENDINGS").is_ok() {
            println!("  {case} ended {}", report.ending);
        }
        *self.endings.entry(report.ending).or_default() += 1;
        if report.injected_count < case.injections.len() {
            self.not_reached.push(case.to_string());
        }
        if report.findings.is_empty() {
            self.passed_count += 1;
        } else {
            self.failed.insert(case.to_string(), report.findings);
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
            "{title}: {} cases run, {} passed, {} failed, {} with an injection point not reached",
            self.run_count,
            self.passed_count,
            self.failed.len(),
            self.not_reached.len(),
        );
        println!("  endings of the requests: {:?}", self.endings);
        for (case, findings) in self.failed.iter().take(PRINTED_MAX_COUNT) {
            println!("  failed {case}");
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
            "{} cases failed: {failed:#?}",
            failed.len()
        );
    }
}

fn run(cases: &[FaultCase]) -> Summary {
    let next = AtomicUsize::new(0);
    let total = Mutex::new(Summary::default());
    let threads_count = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        for _ in 0..threads_count.min(THREADS_MAX_COUNT) {
            scope.spawn(|| {
                let mut summary = Summary::default();
                while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                    summary.add(case);
                }
                let mut total = total.lock().unwrap_or_else(PoisonError::into_inner);
                total.merge(summary);
            });
        }
    });
    total.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// Guards against a promise that is broken by one fault at some injection point.
#[test]
fn single_faults() {
    let mut summary = run(&singles());
    summary.print("single faults");
    summary.print_not_covered();
    summary.assert_passed();
}

/// Guards against a promise that is broken by two faults together, on a sample of pairs that
/// depends only on the seed.
#[test]
fn sampled_pairs() {
    let all = pairs();
    let mut rng = StdRng::seed_from_u64(seed());
    let sample: Vec<FaultCase> = all.sample(&mut rng, PAIRS_SAMPLE_COUNT).cloned().collect();
    let mut summary = run(&sample);
    summary.print(&format!("sample of {} pairs", all.len()));
    summary.assert_passed();
}

/// Guards against a promise that is broken by any two faults together.
#[test]
#[ignore = "runs for minutes"]
fn all_pairs() {
    let mut summary = run(&pairs());
    summary.print("all pairs");
    summary.assert_passed();
}

/// Runs the case that `MATRIX_CELL` names, to debug a failure.
#[test]
fn one_cell() {
    let Ok(text) = std::env::var("MATRIX_CELL") else {
        return;
    };
    let case: FaultCase = text.parse().expect("MATRIX_CELL names a fault-matrix case");
    let report = run_case(&case, seed(), Box::new(NoGuardHooks));
    println!("{}{} faults injected", report.record, report.injected_count);
    assert!(report.findings.is_empty(), "{:#?}", report.findings);
}
