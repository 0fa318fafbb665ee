//! Plays one request and checks what callers and servers are promised.
//!
//! The checker sees only what reached servers and what the caller was told; it knows nothing of the
//! state of the call.

use std::collections::HashSet;

use cuminlead_direct_core::{
    Action, CacheRef, Call, Outcome, RequestKind, Reservation, ServerKey, Serving,
};
use cuminlead_types::DurationUs;

use super::{model_spec, ms, plain_spec};

/// Time that each step takes.
const STEP_TIME: DurationUs = DurationUs::from_ms(20);

pub(crate) const KINDS: [RequestKind; 4] = [
    RequestKind::Idempotent,
    RequestKind::NonIdempotent,
    RequestKind::Stream { resumable: false },
    RequestKind::Stream { resumable: true },
];

pub(crate) const OUTCOMES: [Outcome; 8] = [
    Outcome::Unreachable,
    Outcome::TurnedAway,
    Outcome::OtherIncarnation,
    Outcome::CacheGone,
    Outcome::Failed,
    Outcome::Lost,
    Outcome::Garbled,
    Outcome::TimedOut,
];

/// Steps after which a call that goes on is taken for endless.
const STEPS_MAX: usize = 500;

/// What a request did, as servers and the caller saw it.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    /// Sends to run, with whether the server may have run the request.
    pub(crate) sends: Vec<(ServerKey, bool)>,
    /// Whether the caller was told that the request never runs.
    pub(crate) told_not_run: bool,
    /// Whether the call ended before its steps ran out.
    pub(crate) has_ended: bool,
    /// Whether a prefill was asked for before a place was held, and of whom.
    pub(crate) early_prefill: bool,
    /// Names of caches that were offered to more than one run that may have taken them.
    pub(crate) reused_cache: bool,
}

/// Whether a server may have run a request after an outcome, worked out apart from the product.
fn may_run(outcome: Outcome) -> bool {
    use Outcome::{CacheGone, OtherIncarnation, TurnedAway, Unreachable};
    ![Unreachable, TurnedAway, OtherIncarnation, CacheGone].contains(&outcome)
}

/// Promises that a trace breaks.
pub(crate) fn findings(kind: RequestKind, attempts: u32, trace: &Trace) -> Vec<&'static str> {
    let mut findings = Vec::new();
    let runs = trace.sends.iter().filter(|(_, may_run)| *may_run).count();
    let is_repeatable = matches!(
        kind,
        RequestKind::Idempotent | RequestKind::Stream { resumable: true }
    );
    if !is_repeatable && runs > 1 {
        findings.push("runs twice");
    }
    if runs > attempts as usize {
        findings.push("runs on more servers than the route allows");
    }
    if trace.told_not_run && runs > 0 {
        findings.push("refused as not run though it may have run");
    }
    let servers: HashSet<_> = trace.sends.iter().map(|(server, _)| server).collect();
    let tries = trace.sends.iter().filter(|(_, may_run)| *may_run);
    if tries.count() > servers.len() {
        findings.push("runs twice at one server");
    }
    if trace.early_prefill {
        findings.push("prompt computed without a place");
    }
    if trace.reused_cache {
        findings.push("cache used twice");
    }
    if !trace.has_ended {
        findings.push("does not end");
    }
    findings
}

/// Decides what happens next, out of a number of possibilities; 0 is what happens without faults.
pub(crate) trait Chooser {
    fn choose(&mut self, count: usize) -> usize;
}

/// Plays one request against a fleet.
pub(crate) fn play(
    chooser: &mut dyn Chooser,
    mut serving: Serving,
    kind: RequestKind,
    attempts: u32,
) -> Trace {
    let mut call = Call::new(if matches!(kind, RequestKind::Stream { .. }) {
        model_spec(kind, attempts)
    } else {
        plain_spec(kind, attempts)
    });
    let mut trace = Trace::default();
    let mut now = ms(0);
    let mut has_place = false;
    let mut used_caches = HashSet::new();
    for step in 0..STEPS_MAX {
        now = now + STEP_TIME;
        match call.next(now, &mut serving) {
            Action::Wait(pause) => now = now + pause,
            Action::Reserve { server, .. } => {
                let choice = chooser.choose(3);
                has_place = choice == 0;
                match choice {
                    0 => call.reserved(Reservation::Agent),
                    1 => call.reserve_failed(now, &mut serving, server, Outcome::TurnedAway),
                    _ => call.reserve_failed(now, &mut serving, server, Outcome::Unreachable),
                }
            }
            Action::Prefill { server, .. } => {
                trace.early_prefill |= !has_place;
                match chooser.choose(OUTCOMES.len() + 1) {
                    0 => {
                        let handle = format!("h{step}");
                        call.prefill_done(now, &mut serving, CacheRef { server, handle });
                    }
                    choice => {
                        call.prefill_failed(now, &mut serving, server, OUTCOMES[choice - 1]);
                    }
                }
            }
            Action::Run { server, cache, .. } => {
                has_place = false;
                let choice = chooser.choose(OUTCOMES.len() + 1);
                if choice == 0 {
                    trace.sends.push((server, true));
                    call.run_answered(now, &mut serving, server);
                    trace.has_ended = true;
                    return trace;
                }
                let mut outcome = OUTCOMES[choice - 1];
                if outcome == Outcome::CacheGone && cache.is_none() {
                    outcome = Outcome::TurnedAway;
                }
                if let Some(cache) = cache
                    && (may_run(outcome) || outcome == Outcome::CacheGone)
                {
                    trace.reused_cache |= !used_caches.insert(cache.handle);
                }
                trace.sends.push((server, may_run(outcome)));
                call.run_failed(now, &mut serving, server, outcome);
            }
            Action::Deliver => {
                trace.has_ended = true;
                return trace;
            }
            Action::Refuse(refusal) => {
                trace.told_not_run = refusal.is_not_run;
                trace.has_ended = true;
                return trace;
            }
        }
    }
    trace
}
