//! Rules of `docs/design.md`, section 5.10, for orders to engines.
//!
//! An engine that checks fencing numbers carries out no order with a lower number than one before.
//! No order cuts off a request. When the faults are over, an engine serves what the newest lists
//! want. An engine that ignores fencing numbers may carry out an order of an earlier incarnation
//! late, with all that follows from it; within one incarnation the rules hold for it too.

use std::collections::BTreeMap;

use cuminlead_types::{BackendServerId, FencingNumber, TimeUs};

use super::Input;
use crate::observation::{EngineAssignmentText, Observation};
use crate::report::{Promise, Report};

/// What is known of one engine.
#[derive(Default)]
struct Engine<'a> {
    /// Highest number carried out since the engine started.
    highest: FencingNumber,
    /// Number of the order that is excused because it is late and the engine ignores numbers.
    excused: Option<FencingNumber>,
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
                if let Some(message) = engine.carry_out(*fencing, *is_checked) {
                    report.add(Promise::Orders, server, index, message);
                }
            }
            Observation::SequenceCutOff {
                server,
                id,
                fencing,
            } => {
                let engine = engines.entry(server).or_default();
                let gone = input.history.gone(id.request);
                let is_gone = gone.is_some_and(|gone| gone.index < index);
                if !is_gone && engine.excused != Some(*fencing) {
                    let message = format!("order {fencing} cut off {id}");
                    report.add(Promise::Orders, server, index, message);
                }
            }
            Observation::EngineRestarted { server } => {
                let engine = engines.entry(server).or_default();
                engine.highest = FencingNumber::default();
                engine.excused = None;
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
    /// Takes an order that was carried out; returns what is wrong with it.
    fn carry_out(&mut self, fencing: FencingNumber, is_checked: bool) -> Option<String> {
        let highest = self.highest;
        self.highest = highest.max(fencing);
        if fencing > highest {
            return None;
        }
        let is_late = fencing.incarnation < highest.incarnation;
        if is_late && !is_checked {
            self.excused = Some(fencing);
            return None;
        }
        Some(format!("order {fencing} was carried out after {highest}"))
    }

    /// Takes what newer lists want; lists that want the same count from the first of them.
    fn publish(&mut self, published: Published<'a>) {
        let is_same = self.published.is_some_and(|old| old.duty == published.duty);
        if !is_same {
            self.published = Some(published);
        }
    }
}

/// The record ends later than the last fault by the bounds, so the engine must have followed.
fn check_served(input: &Input, report: &mut Report, server: &BackendServerId, engine: &Engine) {
    let Some(published) = engine.published else {
        return;
    };
    let is_due = published.at + input.bounds.duty_us < input.end;
    if is_due && engine.served != Some(published.duty) {
        let served = engine.served.map_or(String::new(), ToString::to_string);
        let message = format!("the lists want {} and it serves {served:?}", published.duty);
        report.add(Promise::Orders, server, published.index, message);
    }
}
