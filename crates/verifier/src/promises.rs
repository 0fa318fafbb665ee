//! Checks, one module for each promise or set of rules.

use cuminlead_types::TimeUs;

use crate::bounds::Bounds;
use crate::history::History;
use crate::record::Record;
use crate::report::Report;

mod attempts;
mod caches;
mod orders;
mod p1_memory;
mod p2_once;
mod p3_complete;
mod p4_not_run;
mod p5_at_most_once;
mod p6_draining;
mod p7_shutdown;
mod p8_lists;
mod reservations;

/// Input of a check.
pub(crate) struct Input<'a> {
    pub(crate) record: &'a Record,
    pub(crate) history: &'a History,
    pub(crate) end: TimeUs,
    pub(crate) bounds: &'a Bounds,
}

/// Adds a finding to the report for each violation.
pub(crate) type Check = fn(&Input, &mut Report);

/// Checks in order: promises, then the rules for engine orders and for direct calls.
pub(crate) const CHECKS: [Check; 12] = [
    p1_memory::check,
    p2_once::check,
    p3_complete::check,
    p4_not_run::check,
    p5_at_most_once::check,
    p6_draining::check,
    p7_shutdown::check,
    p8_lists::check,
    orders::check,
    attempts::check,
    reservations::check,
    caches::check,
];
