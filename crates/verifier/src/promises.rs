//! One check for each promise.

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
mod p3_whole;
mod p4_not_run;
mod p5_at_most_once;
mod p6_leaving;
mod p7_shutdown;
mod p8_lists;
mod places;

/// What a check reads.
pub(crate) struct Input<'a> {
    pub(crate) record: &'a Record,
    pub(crate) history: &'a History,
    pub(crate) end: TimeUs,
    pub(crate) bounds: &'a Bounds,
}

/// Check of one promise.
pub(crate) type Check = fn(&Input, &mut Report);

/// All checks in order of the promises, then the rules for orders and direct calls.
pub(crate) const CHECKS: [Check; 12] = [
    p1_memory::check,
    p2_once::check,
    p3_whole::check,
    p4_not_run::check,
    p5_at_most_once::check,
    p6_leaving::check,
    p7_shutdown::check,
    p8_lists::check,
    orders::check,
    attempts::check,
    places::check,
    caches::check,
];
