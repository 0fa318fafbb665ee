//! P8: an accepted change is in force everywhere in time and never reverts.
//!
//! The time counts from the change, the start of the process or the end of its isolation, whichever
//! is last: an isolated process cannot know the change.

use cuminlead_types::{DurationUs, Revision, TimeUs};

use super::Input;
use crate::history::{InForce, Life, Seen};
use crate::observation::Observation;
use crate::report::{Promise, Report};

struct Change {
    revision: Revision,
    seen: Seen,
}

pub(super) fn check(input: &Input, report: &mut Report) {
    let changes = changes(input);
    for life in &input.history.lives {
        check_order(report, life);
        for change in &changes {
            check_change(input, report, life, change);
        }
    }
}

fn changes(input: &Input) -> Vec<Change> {
    let observations = input.record.iter().enumerate();
    let published = observations.filter_map(|(index, observed)| match &observed.what {
        Observation::ListsPublished { revision } => Some(Change {
            revision: *revision,
            seen: Seen {
                index,
                at: observed.at,
            },
        }),
        _ => None,
    });
    published.collect()
}

fn check_order(report: &mut Report, life: &Life) {
    for pair in life.revisions.windows(2) {
        let [earlier, later] = pair else {
            continue;
        };
        if later.revision < earlier.revision {
            let message = format!("revision {} after {}", later.revision, earlier.revision);
            report.add(Promise::P8, &life.process, later.seen.index, message);
        }
    }
}

fn check_change(input: &Input, report: &mut Report, life: &Life, change: &Change) {
    let Some(due_at) = due_at(life, change, input.bounds.lists_us) else {
        return;
    };
    let ended_at = life.ended.map_or(input.end, |ended| ended.at);
    if ended_at <= due_at {
        return;
    }
    let in_force = in_force_at(life, due_at);
    if in_force.is_none_or(|revision| revision < change.revision) {
        let text = in_force.map_or("nothing".to_string(), |revision| revision.to_string());
        let message = format!(
            "revision {} is not in force at {due_at} but {text}",
            change.revision
        );
        report.add(Promise::P8, &life.process, change.seen.index, message);
    }
}

/// When the change must be in force; `None` when the process stays isolated.
fn due_at(life: &Life, change: &Change, lists_us: DurationUs) -> Option<TimeUs> {
    let mut due_at = change.seen.at.max(life.started.at) + lists_us;
    for isolation in &life.isolations {
        if isolation.from <= due_at && isolation.until.is_none_or(|until| change.seen.at < until) {
            due_at = due_at.max(isolation.until? + lists_us);
        }
    }
    Some(due_at)
}

fn in_force_at(life: &Life, at: TimeUs) -> Option<Revision> {
    let until_then = |in_force: &&InForce| in_force.seen.at <= at;
    let last = life.revisions.iter().rfind(until_then)?;
    Some(last.revision)
}
