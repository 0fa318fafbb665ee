//! P8: a published change is in effect at every process in time and never reverts.
//!
//! The time counts from the publication, the start of the process or the end of its isolation,
//! whichever is last: an isolated process can't receive the change.

use cuminlead_types::{DurationUs, Revision, TimeUs};

use super::Input;
use crate::history::{ActiveRevision, Incarnation, RecordPosition};
use crate::observation::Observation;
use crate::report::{Promise, Report};

struct Change {
    revision: Revision,
    position: RecordPosition,
}

pub(super) fn check(input: &Input, report: &mut Report) {
    let changes = changes(input);
    for incarnation in &input.history.incarnations {
        check_order(report, incarnation);
        for change in &changes {
            check_change(input, report, incarnation, change);
        }
    }
}

fn changes(input: &Input) -> Vec<Change> {
    let observations = input.record.iter().enumerate();
    let published = observations.filter_map(|(index, observed)| match &observed.what {
        Observation::ListsPublished { revision } => Some(Change {
            revision: *revision,
            position: RecordPosition {
                index,
                at: observed.at,
            },
        }),
        _ => None,
    });
    published.collect()
}

fn check_order(report: &mut Report, incarnation: &Incarnation) {
    for pair in incarnation.revisions.windows(2) {
        let [earlier, later] = pair else {
            continue;
        };
        if later.revision < earlier.revision {
            let message = format!(
                "lists reverted to revision {} from revision {}",
                later.revision, earlier.revision
            );
            report.add(
                Promise::P8,
                &incarnation.process,
                later.position.index,
                message,
            );
        }
    }
}

fn check_change(input: &Input, report: &mut Report, incarnation: &Incarnation, change: &Change) {
    let Some(due_at) = due_at(incarnation, change, input.bounds.lists_propagation_us) else {
        return;
    };
    let ended_at = incarnation.ended.map_or(input.end, |ended| ended.at);
    if ended_at <= due_at {
        return;
    }
    let active = active_revision_at(incarnation, due_at);
    if active.is_none_or(|revision| revision < change.revision) {
        let text = active.map_or("nothing".to_string(), |revision| revision.to_string());
        let message = format!(
            "revision {} is not in effect at {due_at} us; in effect: {text}",
            change.revision
        );
        report.add(
            Promise::P8,
            &incarnation.process,
            change.position.index,
            message,
        );
    }
}

/// Time by which the change must be in effect; `None` when the process stays isolated.
fn due_at(
    incarnation: &Incarnation,
    change: &Change,
    lists_propagation_us: DurationUs,
) -> Option<TimeUs> {
    let mut due_at = change.position.at.max(incarnation.started.at) + lists_propagation_us;
    for isolation in &incarnation.isolations {
        if isolation.from <= due_at
            && isolation
                .until
                .is_none_or(|until| change.position.at < until)
        {
            due_at = due_at.max(isolation.until? + lists_propagation_us);
        }
    }
    Some(due_at)
}

fn active_revision_at(incarnation: &Incarnation, at: TimeUs) -> Option<Revision> {
    let is_active = |active: &&ActiveRevision| active.position.at <= at;
    let last = incarnation.revisions.iter().rfind(is_active)?;
    Some(last.revision)
}
