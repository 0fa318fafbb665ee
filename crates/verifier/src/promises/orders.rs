//! Rules for engine orders, `docs/design.md` section 5.10.
//!
//! - An engine that checks fencing numbers executes orders in increasing order of their numbers.
//! - No order aborts a request.
//! - After the last fault, an engine serves the assignment of the newest lists.
//!
//! An engine that ignores fencing numbers may execute a late order of an earlier incarnation, with
//! all its consequences; within one incarnation the rules apply to it too.

use std::collections::BTreeMap;

use cuminlead_types::{BackendServerId, FencingNumber, TimeUs};

use super::Input;
use crate::observation::{EngineAssignmentText, Observation};
use crate::report::{Promise, Report};

/// Observed state of one engine.
#[derive(Default)]
struct Engine<'a> {
    /// Highest fencing number executed since the engine started.
    highest: FencingNumber,
    /// Late order that is exempt because the engine ignores fencing numbers.
    exempt: Option<FencingNumber>,
    published: Option<Published<'a>>,
    served: Option<&'a EngineAssignmentText>,
}

#[derive(Clone, Copy)]
struct Published<'a> {
    at: TimeUs,
    index: usize,
    duty: &'a EngineAssignmentText,
}

pub(super) fn check(input: &Input, report: &mut Report) {
    let mut engines: BTreeMap<&BackendServerId, Engine> = BTreeMap::new();
    for (index, observed) in input.record.iter().enumerate() {
        match &observed.what {
            Observation::OrderCarriedOut {
                server,
                fencing,
                is_checked,
            } => {
                let engine = engines.entry(server).or_default();
                if let Some(message) = engine.execute(*fencing, *is_checked) {
                    report.add(Promise::Orders, server, index, message);
                }
            }
            Observation::SequenceCutOff {
                server,
                id,
                fencing,
            } => {
                let engine = engines.entry(server).or_default();
                let ended = input.history.ended(id.request);
                let has_ended = ended.is_some_and(|ended| ended.index < index);
                if !has_ended && engine.exempt != Some(*fencing) {
                    let message = format!("order {fencing} aborted {id}");
                    report.add(Promise::Orders, server, index, message);
                }
            }
            Observation::EngineRestarted { server } => {
                let engine = engines.entry(server).or_default();
                engine.highest = FencingNumber::default();
                engine.exempt = None;
            }
            Observation::DutyPublished { server, duty } => {
                let engine = engines.entry(server).or_default();
                let at = observed.at;
                engine.publish(Published { at, index, duty });
            }
            Observation::DutyServed { server, duty } => {
                engines.entry(server).or_default().served = Some(duty);
            }
            _ => {}
        }
    }
    for (server, engine) in engines {
        check_served(input, report, server, &engine);
    }
}

impl<'a> Engine<'a> {
    /// Records an executed order; returns a message if it violates the rules.
    fn execute(&mut self, fencing: FencingNumber, is_checked: bool) -> Option<String> {
        let highest = self.highest;
        self.highest = highest.max(fencing);
        if fencing > highest {
            return None;
        }
        let is_late = fencing.incarnation < highest.incarnation;
        if is_late && !is_checked {
            self.exempt = Some(fencing);
            return None;
        }
        Some(format!(
            "order {fencing} was executed after order {highest}"
        ))
    }

    /// Records the assignment of newer lists; an unchanged assignment counts from its first
    /// publication.
    fn publish(&mut self, published: Published<'a>) {
        let is_same = self.published.is_some_and(|old| old.duty == published.duty);
        if !is_same {
            self.published = Some(published);
        }
    }
}

/// Finds an engine that serves another assignment at the end. The record ends later than the last
/// fault by the bounds, so the engine must have reached its assignment.
fn check_served(input: &Input, report: &mut Report, server: &BackendServerId, engine: &Engine) {
    let Some(published) = engine.published else {
        return;
    };
    let is_due = published.at + input.bounds.assignment_us < input.end;
    if is_due && engine.served != Some(published.duty) {
        let served = engine.served.map_or(String::new(), ToString::to_string);
        let message = format!(
            "the lists assign {}, the engine serves {served:?}",
            published.duty
        );
        report.add(Promise::Orders, server, published.index, message);
    }
}
