//! Calls with prompt parts that crash engines.

mod support;

use cuminlead_direct_core::{Action, Call, RefusalReason, RequestKind, StepOutcome};
use cuminlead_quarantine::{CrashReport, QuarantineState, QuarantinedPart};
use cuminlead_types::{DurationUs, PromptPartId};
use support::{model_spec, ms, publish, serving};

fn parts(text: &str) -> Vec<PromptPartId> {
    let parts = text.split_whitespace();
    parts
        .map(|part| part.parse().expect("a valid fixture"))
        .collect()
}

/// Guards against an entry that sends requests with a part that other entries know to crash
/// engines, and against an unknown outcome for a request that no server has got.
#[test]
fn call_with_a_quarantined_part_is_refused_as_not_run() {
    let mut serving = serving();
    publish(&mut serving, &["p1 notes a1 prefill", "d1 notes a1 decode"]);
    let mut spec = model_spec(RequestKind::Stream { resumable: false }, 1);
    spec.prompt_parts = parts("guide x");
    let mut call = Call::new(spec);
    let learned = QuarantineState {
        quarantined: vec![QuarantinedPart {
            part: "x".parse().expect("a valid fixture"),
            remaining: DurationUs::from_ms(9_000),
        }],
        suspected: Vec::new(),
    };
    assert!(matches!(
        call.next(ms(0), &mut serving),
        Action::Reserve { .. }
    ));
    assert_eq!(serving.quarantine.learn(ms(0), learned), parts("x"));
    let Action::Refuse(refusal) = call.next(ms(1_000), &mut serving) else {
        panic!("the request is not refused");
    };
    assert_eq!(refusal.reason, RefusalReason::Quarantined);
    assert!(refusal.is_not_run);
    assert_eq!(refusal.retry_after, DurationUs::from_ms(8_000));
}

/// Guards against resuming a stream at one engine after another that crashes on its prompt.
#[test]
fn quarantine_ends_the_retries_of_a_running_request() {
    let mut serving = serving();
    publish(&mut serving, &["d1 notes a1 decode", "d2 notes a1 decode"]);
    let mut spec = model_spec(RequestKind::Stream { resumable: true }, 3);
    spec.prompt_parts = parts("x");
    spec.model
        .as_mut()
        .expect("a valid fixture")
        .reservation_max = None;
    let mut call = Call::new(spec);
    let Action::Run { server, .. } = call.next(ms(0), &mut serving) else {
        panic!("no run");
    };
    call.run_failed(ms(10), &mut serving, server, StepOutcome::Lost);
    for (at_ms, engine) in [(0, "d1"), (400, "d2"), (800, "d3")] {
        let report = CrashReport {
            server: engine.parse().expect("a valid fixture"),
            request: None,
            parts: parts("x"),
        };
        serving.quarantine.record_crash(ms(at_ms), &report);
    }
    let Action::Refuse(refusal) = call.next(ms(900), &mut serving) else {
        panic!("the request is sent again");
    };
    assert!(!refusal.is_not_run, "the first engine may have run it");
}
