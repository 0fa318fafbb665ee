//! What an entry knows about the usage of teams, and the requests that it admits by it.
//!
//! Designed for limits that are far from reached most of the time: a request is then admitted without
//! waiting for the owner of the team's usage, which is charged a little later. Near the limit, and
//! without recent knowledge, the owner is asked first. The most that all entries admit beyond a limit
//! is what callers ask for within [`CHARGE_INTERVAL`] and one round trip, and one request at each
//! entry that has not charged for [`LEVEL_MAX_AGE`].

use std::collections::HashMap;

use cuminlead_types::{DurationUs, TeamName, TimeUs};

use crate::teams::UsageLimit;
use crate::usage_ledger::{UsageBucket, UsageReply, is_available};

/// Time for which charges of a team are collected. Within it and a round trip a team that sends 7.5
/// times its usual uses what its usual takes 1.2 s for.
pub const CHARGE_INTERVAL: DurationUs = DurationUs::from_ms(100);
/// Age up to which a level is relied on.
const LEVEL_MAX_AGE: DurationUs = DurationUs::from_ms(3_000);
/// Time without requests after which a team is forgotten.
const IDLE_RETENTION: DurationUs = DurationUs::from_ms(60_000);

/// How a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageDecision {
    /// It may run; its units are charged later.
    Admitted {
        /// Whether the charges of the team are to be sent after [`CHARGE_INTERVAL`].
        starts_charge: bool,
    },
    /// The owner is to be asked.
    AskOwner,
}

#[derive(Clone, Debug, Default)]
struct TeamView {
    /// Level that the owner told last, less what was admitted since.
    level_units: i64,
    told_at: Option<TimeUs>,
    used_at: TimeUs,
    /// Units that were admitted and not charged yet, less those refunded.
    uncharged_units: i64,
    is_charge_due: bool,
    entries_count: u32,
    /// Share of the limit that applies while no owner replies.
    share: Option<UsageBucket>,
}

/// Usage of all teams, as one entry knows it.
#[derive(Clone, Debug, Default)]
pub struct UsageView {
    teams: HashMap<TeamName, TeamView>,
}

impl UsageView {
    fn team(&mut self, now: TimeUs, name: &TeamName) -> &mut TeamView {
        if !self.teams.contains_key(name) {
            self.teams
                .retain(|_, view| now.since(view.used_at) < IDLE_RETENTION);
            self.teams.insert(name.clone(), TeamView::default());
        }
        let view = self.teams.entry(name.clone()).or_default();
        view.used_at = now;
        view
    }

    /// Decides on a request that uses the given units.
    pub fn admit(
        &mut self,
        now: TimeUs,
        team: &TeamName,
        limit: &UsageLimit,
        units: u64,
        is_late: bool,
    ) -> UsageDecision {
        let view = self.team(now, team);
        let is_recent = view
            .told_at
            .is_some_and(|told_at| now.since(told_at) < LEVEL_MAX_AGE);
        if !is_recent || !is_available(view.level_units, limit, is_late) {
            return UsageDecision::AskOwner;
        }
        UsageDecision::Admitted {
            starts_charge: view.add(i64::try_from(units).unwrap_or(i64::MAX)),
        }
    }

    /// Returns the units of a request that did not run; true if the charges of the team are to be sent
    /// after [`CHARGE_INTERVAL`].
    pub fn refund(&mut self, now: TimeUs, team: &TeamName, units: u64) -> bool {
        let units = i64::try_from(units).unwrap_or(i64::MAX);
        self.team(now, team).add(-units)
    }

    /// Takes the collected charges of a team to send them. They are lost if no owner replies: a reply
    /// may be missing to charges that arrived, and a second charge would refuse what is within the
    /// limit.
    pub fn take_uncharged(&mut self, now: TimeUs, team: &TeamName) -> i64 {
        let view = self.team(now, team);
        view.is_charge_due = false;
        std::mem::take(&mut view.uncharged_units)
    }

    /// Number of entries that use a team's limit, as the owner told last. If none has told it, the
    /// number of servers stands for it: there are fewer entries.
    pub fn entries_count(&mut self, now: TimeUs, team: &TeamName, servers_count: usize) -> u32 {
        match self.team(now, team).entries_count {
            0 => u32::try_from(servers_count).unwrap_or(u32::MAX),
            count => count,
        }
    }

    /// Level that an owner told last, before the units that are being charged; `None` if that is too
    /// long ago.
    pub fn known_level_units(
        &mut self,
        now: TimeUs,
        team: &TeamName,
        charged_units: i64,
    ) -> Option<i64> {
        let view = self.team(now, team);
        let is_recent = |told_at: TimeUs| now.since(told_at) < LEVEL_MAX_AGE;
        view.told_at
            .is_some_and(is_recent)
            .then(|| view.level_units.saturating_add(charged_units))
    }

    /// Records the reply of an owner. One that is asked because others do not reply knows a part of
    /// the entries only.
    pub fn record_reply(
        &mut self,
        now: TimeUs,
        team: &TeamName,
        reply: &UsageReply,
        is_substitute: bool,
    ) {
        let view = self.team(now, team);
        view.level_units = reply.level_units.saturating_sub(view.uncharged_units);
        view.told_at = Some(now);
        view.share = None;
        if !is_substitute {
            view.entries_count = reply.entries_count;
        }
    }

    /// Records that no owner has replied.
    pub fn record_no_reply(&mut self, now: TimeUs, team: &TeamName) {
        let view = self.team(now, team);
        view.told_at = None;
    }

    /// Decides on a request while no owner replies, by this entry's share of the limit.
    pub fn admit_by_share(
        &mut self,
        now: TimeUs,
        team: &TeamName,
        limit: &UsageLimit,
        units: u64,
        is_late: bool,
        servers_count: usize,
    ) -> Result<(), DurationUs> {
        let entries_count = u64::from(self.entries_count(now, team, servers_count));
        let view = self.team(now, team);
        let share = UsageLimit {
            rate_units_per_s: (limit.rate_units_per_s / entries_count.max(1)).max(1),
            burst_units: limit.burst_units / entries_count.max(1),
            ..*limit
        };
        let bucket = view
            .share
            .get_or_insert_with(|| UsageBucket::new(now, &share));
        bucket.refill(now, &share);
        bucket.take(now, &share, units, is_late)
    }
}

impl TeamView {
    /// Adds units to be charged; true if no charge is due yet.
    fn add(&mut self, units: i64) -> bool {
        self.level_units = self.level_units.saturating_sub(units);
        self.uncharged_units = self.uncharged_units.saturating_add(units);
        !std::mem::replace(&mut self.is_charge_due, true)
    }
}
