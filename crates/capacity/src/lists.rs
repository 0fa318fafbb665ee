//! Measures parsing, validation and memory of lists.

use cuminlead_lists::{Delta, InstallOutcome, ListStore};
use cuminlead_types::Revision;

use crate::Report;
use crate::fixture::{CUSTOMERS_COUNT, ENGINES_COUNT, ListSize, group_part, snapshot};
use crate::measure::{Timings, measure_heap};

const CUSTOMER_COUNTS: [usize; 3] = [440, 1_100, CUSTOMERS_COUNT];
const PART_COUNTS: [usize; 3] = [1, 44, 440];
const ENGINE_COUNTS: [usize; 3] = [23, 230, ENGINES_COUNT];
const REPEATS: u64 = 7;

pub(crate) fn run(report: &mut Report) {
    for parts in PART_COUNTS {
        for customers in CUSTOMER_COUNTS {
            let size = ListSize {
                customers,
                parts,
                engines: ENGINES_COUNT,
            };
            measure(
                report,
                size,
                &format!("by_customers_in_{parts}_parts"),
                customers,
            );
        }
    }
    for engines in ENGINE_COUNTS {
        let size = ListSize {
            customers: 440,
            parts: 44,
            engines,
        };
        measure(report, size, "by_servers_with_440_customers", engines);
    }
    memory_by_parts(report);
}

fn measure(report: &mut Report, size: ListSize, suffix: &str, at: usize) {
    let full = full_times(size);
    report.add(
        &format!("lists_full_apply_{suffix}"),
        "us",
        at,
        full.median(),
    );
    let mut store = installed(size);
    let changed = changed_times(&mut store, size);
    report.add(
        &format!("lists_part_apply_{suffix}"),
        "us",
        at,
        changed.median(),
    );
    let heap = measure_heap(|| installed(size));
    report.add(&format!("lists_heap_{suffix}"), "bytes", at, heap.bytes);
    let text: usize = snapshot(size, 1).parts().map(|part| part.text.len()).sum();
    report.add(&format!("lists_text_{suffix}"), "bytes", at, text as f64);
}

fn memory_by_parts(report: &mut Report) {
    for parts in PART_COUNTS {
        let size = ListSize {
            customers: CUSTOMERS_COUNT,
            parts,
            engines: ENGINES_COUNT,
        };
        let heap = measure_heap(|| installed(size));
        report.add("lists_heap_by_parts", "bytes", parts, heap.bytes);
    }
}

fn installed(size: ListSize) -> ListStore {
    let mut store = ListStore::new();
    assert_eq!(
        store.install_if_newer(snapshot(size, 1)),
        InstallOutcome::Applied
    );
    store
}

fn full_times(size: ListSize) -> Timings {
    let mut times = Timings::default();
    for _ in 0..REPEATS {
        let candidate = snapshot(size, 1);
        let mut store = ListStore::new();
        let outcome = times.time(|| store.install_if_newer(candidate));
        assert_eq!(outcome, InstallOutcome::Applied);
    }
    times
}

/// Times installing changes of one group of customers after another, as in a process that follows a
/// reader.
fn changed_times(store: &mut ListStore, size: ListSize) -> Timings {
    let mut times = Timings::default();
    for repeat in 0..REPEATS {
        let from = store.revision();
        let revision = from.0 + 1;
        let group = usize::try_from(repeat).unwrap_or(0) % size.parts;
        let delta = Delta {
            from_revision: from,
            revision: Revision(revision),
            parts: vec![group_part(size, group, revision)],
            ..Delta::default()
        };
        let outcome = times.time(|| {
            let next = store.snapshot().map(|snapshot| snapshot.apply(&delta));
            store.install_if_newer(next.expect("lists").expect("matching delta"))
        });
        assert_eq!(outcome, InstallOutcome::Applied);
    }
    times
}
