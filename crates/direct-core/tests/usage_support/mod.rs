//! Load of one team on virtual time, and the ways to hold it to its limit.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "all numbers are far below 2^31"
)]

use std::collections::VecDeque;
use std::fmt;

use cuminlead_direct_core::{
    OwnedCounts, Team, UsageCharge, UsageDecision, UsageLimit, UsageUnit, UsageView,
};
use cuminlead_types::{DurationUs, Revision, TimeUs, Tokens};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const STEP_MS: u64 = 5;
const STEP: DurationUs = DurationUs::from_ms(STEP_MS);
const SECONDS: u64 = 26;
const HOT_FROM_MS: u64 = 10_000;
const HOT_UNTIL_MS: u64 = 16_500;
const ONE_WAY_MS: u64 = 20;
const WINDOW_MS: u64 = 8_000;
/// Time in which a lowered limit reaches all entries, and after which it binds.
const APPLY_MS: u64 = 4_000;

pub(crate) fn limit(rate: u64) -> UsageLimit {
    UsageLimit {
        unit: UsageUnit::Tokens {
            unstated: Tokens(200),
        },
        rate_units_per_s: rate,
        burst_units: rate,
    }
}

pub(crate) fn team(name: &str) -> Team {
    Team {
        name: name.parse().expect("a valid fixture"),
        priority: None,
        limit: None,
    }
}

pub(crate) fn charge(
    entry: &str,
    version: u64,
    limit: UsageLimit,
    admitted_units: i64,
    asked_units: u64,
) -> UsageCharge {
    UsageCharge {
        team: team("north").name,
        entry: entry.parse().expect("a valid fixture"),
        version: Revision(version),
        limit,
        admitted_units,
        asked_units,
        is_late: false,
        known_entries_count: 0,
        is_substitute: false,
        known_level_units: None,
    }
}

/// Engines that leave one after the other, each beside the owner at that time, while the registry does
/// not answer some entries.
#[derive(Clone, Copy)]
pub(crate) struct LeavingEngines {
    /// Second at which the first one begins to drain, and the registry stops answering.
    pub(crate) at_s: u64,
    /// Number of engines, each of which begins to drain a second after the one before.
    pub(crate) count: usize,
    /// Entries that the registry does not answer for [`SILENT_MS`]; the busiest ones.
    pub(crate) behind_entries_count: usize,
    /// Whether the engines say in their reports that they are leaving.
    pub(crate) is_reported: bool,
}

impl LeavingEngines {
    /// Number of engines that began to drain at least the given time ago.
    fn draining_count(&self, ms: u64, ago_ms: u64) -> usize {
        let began_ms = |index: usize| (self.at_s + index as u64) * 1_000;
        let is_draining = |index: &usize| ms >= began_ms(*index) + ago_ms;
        (0..self.count).filter(is_draining).count()
    }

    /// Owner that an entry chooses by its view of the engines.
    fn chosen_owner(&self, ms: u64, entry: usize) -> usize {
        let silent = self.at_s * 1_000..self.at_s * 1_000 + SILENT_MS;
        if entry < self.behind_entries_count && silent.contains(&ms) {
            0
        } else {
            self.draining_count(ms, REGISTRY_DELAY_MS)
        }
    }
}

/// Longest time for which the registry answers some entries only.
const SILENT_MS: u64 = 9_000;
/// Time until an entry has read that an engine is draining.
const REGISTRY_DELAY_MS: u64 = 500;
/// Time until an agent has read the report of an engine that is draining.
const REPORT_DELAY_MS: u64 = 400;
/// Agents that may own the team's usage, one after the other.
const OWNERS_COUNT: usize = 5;

/// Load of one team, and what fails during it.
#[derive(Clone, Copy)]
pub(crate) struct Load {
    pub(crate) rate: u64,
    pub(crate) hot_factor: f64,
    /// Second at which the owner is lost for good.
    pub(crate) lost_owner_s: Option<u64>,
    /// Second from which no owner replies for 4 s.
    pub(crate) owners_down_s: Option<u64>,
    /// Entries that reach only another owner once the team is hot.
    pub(crate) cut_entries_count: usize,
    /// Second at which the limit is lowered to a third.
    pub(crate) lowered_s: Option<u64>,
    /// Owners whose engines leave.
    pub(crate) leaving: Option<LeavingEngines>,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Figures {
    /// Most units beyond the limit in any 8 s, and the limit there.
    pub(crate) worst_over_units: u64,
    pub(crate) worst_allowed_units: u64,
    /// Units refused before the hot time that one exact bucket would have admitted.
    pub(crate) refused_usual_units: u64,
    /// Units that one exact bucket would have admitted beyond those admitted, in percent of the former.
    refused_below_percent: f64,
    messages_per_s: u64,
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "over in 8 s {:5.1} %, refused below the limit {:5.1} %, {:6} messages/s",
            self.worst_over_units as f64 * 100.0 / self.worst_allowed_units as f64,
            self.refused_below_percent,
            self.messages_per_s
        )
    }
}

/// Owner that an entry reaches at a moment; `None` if it reaches none.
pub(crate) struct Moment {
    now: TimeUs,
    limit: UsageLimit,
    version: u64,
    owner: Option<usize>,
    is_substitute: bool,
    /// Number of owners, from the first one on, that know that their engines are leaving.
    leaving_count: usize,
}

/// Way to hold a team to its limit over several entries.
pub(crate) trait Scheme {
    fn new(entries_count: usize) -> Self;
    /// Decides on a request of the given units at an entry.
    fn admit(&mut self, moment: &Moment, entry: usize, units: u64) -> bool;
    /// Delivers what is due.
    fn step(&mut self, moments: &dyn Fn(usize) -> Moment);
    fn messages_count(&self) -> u64;
}

impl Load {
    fn moment(&self, ms: u64, entry: usize) -> Moment {
        let is_lowered = self
            .lowered_s
            .is_some_and(|at_s| ms >= at_s * 1_000 + entry as u64 * 100 % APPLY_MS);
        let is_down = self
            .owners_down_s
            .is_some_and(|at_s| (at_s * 1_000..at_s * 1_000 + 4_000).contains(&ms));
        let is_lost = self.lost_owner_s.is_some_and(|at_s| ms >= at_s * 1_000);
        let is_cut = ms >= HOT_FROM_MS && entry < self.cut_entries_count;
        let leaving = self.leaving.as_ref();
        let owner = leaving.map_or(usize::from(is_lost || is_cut), |leaving| {
            leaving.chosen_owner(ms, entry)
        });
        let reported = leaving.filter(|leaving| leaving.is_reported);
        Moment {
            now: TimeUs(1_000_000 + ms * 1_000),
            limit: limit(if is_lowered { self.rate / 3 } else { self.rate }),
            version: 1 + u64::from(is_lowered),
            owner: (!is_down).then_some(owner),
            is_substitute: is_cut || is_lost,
            leaving_count: reported
                .map_or(0, |leaving| leaving.draining_count(ms, REPORT_DELAY_MS)),
        }
    }

    pub(crate) fn play<S: Scheme>(&self, entries_count: usize) -> Figures {
        let mut rng = SmallRng::seed_from_u64(35);
        let mut scheme = S::new(entries_count);
        let mut exact = ExactBucket::new(limit(self.rate));
        let (mut ran, mut allowed) = (Vec::new(), Vec::new());
        let (mut admitted, mut owed, mut refused_usual) = (0, 0, 0);
        for ms in (0..SECONDS * 1_000).step_by(STEP_MS as usize) {
            let is_hot = (HOT_FROM_MS..HOT_UNTIL_MS).contains(&ms);
            let usual = self.rate as f64 / 1.8 / 1_000.0 * STEP_MS as f64;
            let demand = usual * if is_hot { self.hot_factor } else { 1.0 };
            let in_force = self.lowered_s.map_or(self.rate, |at_s| {
                if ms >= at_s * 1_000 + APPLY_MS {
                    self.rate / 3
                } else {
                    self.rate
                }
            });
            exact.refill(STEP, limit(in_force));
            let mut ran_units = 0;
            // Nine plain requests of 200 tokens for each model call of 1,000 to 11,000.
            while rng.random_range(0.0..1.0) < demand / 780.0 / (1.0 + demand / 780.0) {
                let units = if rng.random_range(0..10) == 0 {
                    rng.random_range(1_000..11_000)
                } else {
                    200
                };
                let spread: f64 = rng.random_range(0.0..1.0);
                let entry = (spread * spread * entries_count as f64) as usize;
                let is_admitted = scheme.admit(&self.moment(ms, entry), entry, units);
                let is_owed = exact.take(units);
                owed += units * u64::from(is_owed);
                if is_admitted {
                    ran_units += units;
                    admitted += units;
                } else {
                    refused_usual += units * u64::from(is_owed && ms < HOT_FROM_MS);
                }
            }
            ran.push(ran_units);
            allowed.push(in_force);
            scheme.step(&|entry| self.moment(ms, entry));
        }
        let mut figures = worst_window(&ran, &allowed);
        figures.refused_usual_units = refused_usual;
        figures.refused_below_percent =
            (owed as f64 - admitted as f64).max(0.0) * 100.0 / owed.max(1) as f64;
        figures.messages_per_s = scheme.messages_count() / SECONDS;
        figures
    }
}

fn worst_window(ran: &[u64], rates: &[u64]) -> Figures {
    let mut figures = Figures {
        worst_allowed_units: 1,
        ..Figures::default()
    };
    let steps = (WINDOW_MS / STEP_MS) as usize;
    for from in 0..ran.len() - steps {
        let window = from..from + steps;
        let units: u64 = ran[window.clone()].iter().sum();
        // A lower limit binds only once it has been in force for the whole window.
        let rate = rates[window].iter().max().copied().unwrap_or(0);
        let allowed = rate * WINDOW_MS / 1_000 + rate;
        let over = units.saturating_sub(allowed);
        let is_worse = over * figures.worst_allowed_units >= figures.worst_over_units * allowed;
        if is_worse {
            figures.worst_over_units = over;
            figures.worst_allowed_units = allowed;
        }
    }
    figures
}

/// One bucket that sees all requests at once; it may fall below zero by one request.
struct ExactBucket {
    level: f64,
    limit: UsageLimit,
}

impl ExactBucket {
    fn new(limit: UsageLimit) -> Self {
        Self {
            level: limit.burst_units as f64,
            limit,
        }
    }

    fn refill(&mut self, time: DurationUs, limit: UsageLimit) {
        self.limit = limit;
        let added = limit.rate_units_per_s as f64 * time.0 as f64 / 1e6;
        self.level = (self.level + added).min(limit.burst_units as f64);
    }

    fn take(&mut self, units: u64) -> bool {
        let is_taken = self.level > 0.0;
        if is_taken {
            self.level -= units as f64;
        }
        is_taken
    }
}

/// Each entry has the limit divided by their number.
pub(crate) struct EqualShares {
    buckets: Vec<ExactBucket>,
}

fn share(limit: UsageLimit, count: usize) -> UsageLimit {
    UsageLimit {
        rate_units_per_s: limit.rate_units_per_s / count as u64,
        burst_units: limit.burst_units / count as u64,
        ..limit
    }
}

impl Scheme for EqualShares {
    fn new(entries_count: usize) -> Self {
        let bucket = || ExactBucket::new(limit(0));
        Self {
            buckets: (0..entries_count).map(|_| bucket()).collect(),
        }
    }

    fn admit(&mut self, _: &Moment, entry: usize, units: u64) -> bool {
        self.buckets[entry].take(units)
    }

    fn step(&mut self, moments: &dyn Fn(usize) -> Moment) {
        let count = self.buckets.len();
        for (entry, bucket) in self.buckets.iter_mut().enumerate() {
            bucket.refill(STEP, share(moments(entry).limit, count));
        }
    }

    fn messages_count(&self) -> u64 {
        0
    }
}

/// Each entry tells all others every 500 ms what it admitted, and keeps a bucket of all that it knows.
pub(crate) struct Counters {
    buckets: Vec<ExactBucket>,
    untold: Vec<u64>,
    in_flight: VecDeque<(u64, usize, u64)>,
    ms: u64,
    messages_count: u64,
}

impl Scheme for Counters {
    fn new(entries_count: usize) -> Self {
        Self {
            buckets: (0..entries_count)
                .map(|_| ExactBucket::new(limit(0)))
                .collect(),
            untold: vec![0; entries_count],
            in_flight: VecDeque::new(),
            ms: 0,
            messages_count: 0,
        }
    }

    fn admit(&mut self, _: &Moment, entry: usize, units: u64) -> bool {
        let is_admitted = self.buckets[entry].take(units);
        self.untold[entry] += units * u64::from(is_admitted);
        is_admitted
    }

    fn step(&mut self, moments: &dyn Fn(usize) -> Moment) {
        self.ms += STEP_MS;
        let count = self.buckets.len();
        for (entry, bucket) in self.buckets.iter_mut().enumerate() {
            bucket.refill(STEP, moments(entry).limit);
            if (self.ms + entry as u64 * 15).is_multiple_of(500) {
                let units = std::mem::take(&mut self.untold[entry]);
                self.in_flight
                    .push_back((self.ms + ONE_WAY_MS, entry, units));
                self.messages_count += count as u64 - 1;
            }
        }
        while self.in_flight.front().is_some_and(|told| told.0 <= self.ms) {
            let (_, teller, units) = self.in_flight.pop_front().expect("a valid fixture");
            for (entry, bucket) in self.buckets.iter_mut().enumerate() {
                bucket.level -= if entry == teller { 0.0 } else { units as f64 };
            }
        }
    }

    fn messages_count(&self) -> u64 {
        self.messages_count
    }
}

/// Each entry takes leases of a quarter of a second's units, divided by the number of entries, or of
/// one request if that is more, from an owner; unused units are lost after 1 s.
pub(crate) struct Leases {
    owners: [ExactBucket; OWNERS_COUNT],
    leased: Vec<(u64, TimeUs)>,
    messages_count: u64,
}

impl Scheme for Leases {
    fn new(entries_count: usize) -> Self {
        Self {
            owners: std::array::from_fn(|_| ExactBucket::new(limit(0))),
            leased: vec![(0, TimeUs::ZERO); entries_count],
            messages_count: 0,
        }
    }

    fn admit(&mut self, moment: &Moment, entry: usize, units: u64) -> bool {
        let entries_count = self.leased.len() as u64;
        let (left, until) = &mut self.leased[entry];
        if moment.now >= *until {
            *left = 0;
        }
        if *left < units {
            let Some(owner) = moment.owner else {
                return false;
            };
            self.messages_count += 2;
            let batch = (moment.limit.rate_units_per_s / 4 / entries_count).max(units);
            if self.owners[owner].take(batch) {
                *left += batch;
                *until = moment.now + DurationUs::from_ms(1_000);
            }
        }
        let is_admitted = *left >= units;
        *left -= units * u64::from(is_admitted);
        is_admitted
    }

    fn step(&mut self, moments: &dyn Fn(usize) -> Moment) {
        for owner in &mut self.owners {
            owner.refill(STEP, moments(0).limit);
        }
    }

    fn messages_count(&self) -> u64 {
        self.messages_count
    }
}

/// The product's decisions: charges in the background, and questions near the limit.
pub(crate) struct Background {
    owners: [OwnedCounts; OWNERS_COUNT],
    /// First owner that each entry has not been told is leaving.
    first_owners: Vec<usize>,
    views: Vec<UsageView>,
    /// When an entry sends what it has collected.
    due: Vec<Option<TimeUs>>,
    messages_count: u64,
}

impl Background {
    fn send(&mut self, moment: &Moment, entry: usize, asked_units: u64) -> Option<bool> {
        let (team, view) = (team("north"), &mut self.views[entry]);
        let admitted_units = view.take_uncharged(moment.now, &team.name);
        let Some(owner) = moment.owner else {
            view.record_no_reply(moment.now, &team.name);
            return None;
        };
        let name = format!("entry-{entry}");
        let servers_count = self.due.len() * 2;
        let charge = UsageCharge {
            known_entries_count: view.entries_count(moment.now, &team.name, servers_count),
            is_substitute: moment.is_substitute,
            known_level_units: view.known_level_units(moment.now, &team.name, admitted_units),
            ..charge(
                &name,
                moment.version,
                moment.limit,
                admitted_units,
                asked_units,
            )
        };
        let first_owner = &mut self.first_owners[entry];
        let mut owner = owner.max(*first_owner);
        loop {
            self.messages_count += 2;
            let is_owner = owner >= moment.leaving_count;
            if let Some(reply) = self.owners[owner].charge(moment.now, is_owner, &charge) {
                view.record_reply(moment.now, &team.name, &reply, moment.is_substitute);
                return Some(reply.is_granted);
            }
            owner += 1;
            *first_owner = owner;
        }
    }
}

impl Scheme for Background {
    fn new(entries_count: usize) -> Self {
        Self {
            owners: Default::default(),
            first_owners: vec![0; entries_count],
            views: vec![UsageView::default(); entries_count],
            due: vec![None; entries_count],
            messages_count: 0,
        }
    }

    fn admit(&mut self, moment: &Moment, entry: usize, units: u64) -> bool {
        let north = team("north");
        match self.views[entry].admit(moment.now, &north.name, &moment.limit, units, false) {
            UsageDecision::Admitted { starts_charge } => {
                if starts_charge {
                    let interval = cuminlead_direct_core::usage_view::CHARGE_INTERVAL;
                    let delay = interval + DurationUs::from_ms(ONE_WAY_MS);
                    self.due[entry] = Some(moment.now + delay);
                }
                true
            }
            UsageDecision::AskOwner => self.send(moment, entry, units).unwrap_or_else(|| {
                let servers_count = self.views.len() * 2;
                let view = &mut self.views[entry];
                let (now, limit) = (moment.now, &moment.limit);
                view.admit_by_share(now, &north.name, limit, units, false, servers_count)
                    .is_ok()
            }),
        }
    }

    fn step(&mut self, moments: &dyn Fn(usize) -> Moment) {
        for entry in 0..self.views.len() {
            let moment = moments(entry);
            if self.due[entry].is_some_and(|at| at <= moment.now) {
                self.due[entry] = None;
                self.send(&moment, entry, 0);
            }
        }
    }

    fn messages_count(&self) -> u64 {
        self.messages_count
    }
}
