//! Compares the retry decisions with a full copy of the retry table.

use cuminlead_retry::{
    CallKind, Decision, Evidence, Step, decide, decide_without_retry, may_have_run,
};
use strum::IntoEnumIterator;

/// Rows: call kind and step. Columns: evidence in the order of its definition (refused, draining,
/// connect failed, silent, timed out, new incarnation, engine failed, voided, still running,
/// outcome unknown, cancelled, stale lists).
///
/// Letters: E retry elsewhere, R resume, A ask owner, N report not run, U report unknown, S stop.
const TABLE: &str = "
model          route    N N N N N N N N N N S N
model          reserve  E E E E E E E E E E S E
model          prefill  E E E R E E E E R E S E
model          transfer E E E R E E E E R E S E
model          decode   E E E R E E E E R E S E
model          permit   U U U U U U U U U U S U
model          run      U U U U U U U U U U S U
model          ask      U U U U U U U U U U S U
idempotent     route    N N N N N N N N N N S N
idempotent     reserve  U U U U U U U U U U S U
idempotent     prefill  U U U U U U U U U U S U
idempotent     transfer U U U U U U U U U U S U
idempotent     decode   U U U U U U U U U U S U
idempotent     permit   U U U U U U U U U U S U
idempotent     run      E E E E E E E E E E S E
idempotent     ask      U U U U U U U U U U S U
non_idempotent route    N N N N N N N N N N S N
non_idempotent reserve  U U U U U U U U U U S U
non_idempotent prefill  U U U U U U U U U U S U
non_idempotent transfer U U U U U U U U U U S U
non_idempotent decode   U U U U U U U U U U S U
non_idempotent permit   E E E E E E E E U U S E
non_idempotent run      E E E A A U U E A U S E
non_idempotent ask      U A A A A U U E A U S U
";

fn decision(letter: &str) -> Decision {
    match letter {
        "E" => Decision::RetryElsewhere,
        "R" => Decision::Resume,
        "A" => Decision::QueryOwner,
        "N" => Decision::ReportNotRun,
        "U" => Decision::ReportUnknown,
        "S" => Decision::Stop,
        other => panic!("no decision {other}"),
    }
}

/// Guards against an unintended change of a decision, and against a combination of kind, step and
/// evidence that the table does not list.
#[test]
fn decisions_match_the_table() {
    let mut entries = 0;
    for line in TABLE.trim().lines() {
        let words: Vec<_> = line.split_whitespace().collect();
        let kind: CallKind = words[0].parse().unwrap();
        let step: Step = words[1].parse().unwrap();
        assert_eq!(words.len(), 2 + Evidence::iter().count());
        for (evidence, letter) in Evidence::iter().zip(&words[2..]) {
            let found = decide(kind, step, evidence);
            assert_eq!(found, decision(letter), "{kind} {step} {evidence}");
            entries += 1;
        }
    }
    let all = CallKind::iter().count() * Step::iter().count() * Evidence::iter().count();
    assert_eq!(entries, all);
}

/// Guards against retrying a non-idempotent call that may have run, and against reporting "not run"
/// for a call that may have run, including when no retry is left.
#[test]
fn no_unsafe_retry_and_no_false_not_run() {
    let proofs_at_run = [
        Evidence::RefusedNotRun,
        Evidence::Draining,
        Evidence::ConnectFailed,
        Evidence::Voided,
        Evidence::StaleLists,
    ];
    for (kind, step) in CallKind::iter().flat_map(|kind| Step::iter().map(move |s| (kind, s))) {
        for evidence in Evidence::iter().filter(|e| *e != Evidence::Cancelled) {
            let is_proof = match step {
                Step::Run => proofs_at_run.contains(&evidence),
                Step::QueryOutcome => evidence == Evidence::Voided,
                _ => kind == CallKind::Model || step == Step::Permit || step == Step::Route,
            };
            let without_retry = decide_without_retry(kind, step, evidence);
            let with_retry = decide(kind, step, evidence);
            if kind == CallKind::NonIdempotent && !is_proof {
                assert!(!matches!(
                    with_retry,
                    Decision::RetryElsewhere | Decision::RetrySame
                ));
            }
            if kind != CallKind::Model && !is_proof {
                assert_eq!(
                    without_retry,
                    Decision::ReportUnknown,
                    "{kind} {step} {evidence}"
                );
            }
            let is_final = matches!(
                without_retry,
                Decision::ReportNotRun | Decision::ReportUnknown
            );
            assert!(is_final, "{kind} {step} {evidence}");
            let is_sent = kind != CallKind::Model && matches!(step, Step::Run | Step::QueryOutcome);
            assert_eq!(may_have_run(kind, step, evidence), is_sent && !is_proof);
        }
    }
}
