//! Usage of teams under their limits, kept by the agents that own it.
//!
//! Designed for teams that send several times their limit through many entries, each of which sees a
//! part of it. One agent owns the token bucket of a team. Entries charge it in the background while
//! it is far from empty and ask it first when it is not, so its level may fall below zero for a
//! moment; the team then waits until what it used beyond its limit is paid back.
//! `docs/design/usage-limits.md` compares this with equal shares, with the exchange of counters and with leases.
//!
//! A new owner learns from the entry that asks it first what the one before has left. It does not know
//! what that one has granted since, so it begins with a part of the burst or with less. While entries
//! ask different owners, an owner that is not their first choice grants only the share of the limit
//! that belongs to the entries which ask it.

use std::collections::HashMap;

use cuminlead_types::{DurationUs, EntryId, Revision, TeamName, TimeUs};

use crate::teams::UsageLimit;

/// Time whose units a new owner grants at once. A burst after another owner's counts toward the quarter
/// by which a limit may be exceeded in 8 s, which is the units of 2 s and more.
const INITIAL_TIME: DurationUs = DurationUs::from_ms(1_000);
/// Shortest time whose units accumulate, for limits that state a small burst or none.
const BURST_TIME_MIN: DurationUs = DurationUs::from_ms(250);
/// Time within which an entry counts as one that uses the team's limit.
const ENTRY_ACTIVE_TIME: DurationUs = DurationUs::from_ms(4_000);
/// Time without charges after which a team is forgotten. Its bucket is full by then.
const IDLE_RETENTION: DurationUs = DurationUs::from_ms(60_000);
/// Part of a full bucket that is kept for requests that can still meet their latency target, in
/// percent. A team over its limit would otherwise use it for requests that come back late, while
/// those that come now are refused and become late themselves.
const ON_TIME_RESERVE_PERCENT: i128 = 50;
/// Longest time that a caller is told to wait. Callers wait for a third of their remaining time at
/// most, and those that do not come back leave their turns to others.
const TURN_MAX: DurationUs = DurationUs::from_ms(4_000);
const US_PER_SECOND: i128 = 1_000_000;
const MICROUNITS: i128 = 1_000_000;

/// Charge of an entry for requests of one team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageCharge {
    /// Team whose requests they are.
    pub team: TeamName,
    /// Entry that admitted them.
    pub entry: EntryId,
    /// Version of the configuration that has the limit.
    pub version: Revision,
    /// The team's limit under that version.
    pub limit: UsageLimit,
    /// Units of requests that were admitted already, less those refunded.
    pub admitted_units: i64,
    /// Units of a request that waits for the reply; 0 if there is none.
    pub asked_units: u64,
    /// Whether that request misses its latency target in any case.
    pub is_late: bool,
    /// Number of entries that use the limit, as far as the entry knows; 0 if it does not.
    pub known_entries_count: u32,
    /// Whether the entry asks because earlier owners did not reply.
    pub is_substitute: bool,
    /// Units that were available when an owner last told the entry, before those that are charged;
    /// `None` if that is too long ago.
    pub known_level_units: Option<i64>,
}

/// Reply to a charge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageReply {
    /// Whether the request that was asked for may run; its units are then charged.
    pub is_granted: bool,
    /// Units that are available, after the charge; negative after an overshoot.
    pub level_units: i64,
    /// Time after which the request may come back, if it was not granted.
    pub retry_after: DurationUs,
    /// Number of entries that lately used the limit.
    pub entries_count: u32,
}

/// Token bucket with a level that may be negative.
#[derive(Clone, Debug)]
pub(crate) struct UsageBucket {
    level_microunits: i128,
    updated_at: TimeUs,
    /// Time until which callers were told to wait; further ones are told later times.
    next_turn_at: TimeUs,
}

impl UsageBucket {
    /// Bucket of a process that does not know what was used before.
    pub(crate) fn new(now: TimeUs, limit: &UsageLimit) -> Self {
        let initial = units_in(limit.rate_units_per_s, INITIAL_TIME).min(capacity(limit));
        Self {
            level_microunits: initial,
            updated_at: now,
            next_turn_at: now,
        }
    }

    /// Adds the units of the time since the last call.
    pub(crate) fn refill(&mut self, now: TimeUs, limit: &UsageLimit) {
        let added = units_in(limit.rate_units_per_s, now.since(self.updated_at));
        self.level_microunits = (self.level_microunits + added).min(capacity(limit));
        self.updated_at = self.updated_at.max(now);
    }

    /// Lowers the level to one that is known from elsewhere.
    fn lower_to(&mut self, known_level_units: Option<i64>) {
        if let Some(units) = known_level_units {
            let known = i128::from(units) * MICROUNITS;
            self.level_microunits = self.level_microunits.min(known);
        }
    }

    /// Takes units, or returns them if negative, whatever the level.
    pub(crate) fn charge(&mut self, units: i64) {
        self.level_microunits -= i128::from(units) * MICROUNITS;
    }

    /// Takes the units of a request if anything is left for it. A request may be larger than the
    /// burst, so it does not need its full size.
    pub(crate) fn take(
        &mut self,
        now: TimeUs,
        limit: &UsageLimit,
        units: u64,
        is_late: bool,
    ) -> Result<(), DurationUs> {
        let rate = i128::from(limit.rate_units_per_s.max(1));
        let missing = reserve(limit, is_late) - self.level_microunits;
        if missing < 0 {
            self.charge(i64::try_from(units).unwrap_or(i64::MAX));
            return Ok(());
        }
        let until_available = DurationUs(to_u64(missing / rate));
        let turn = now + until_available.max(self.next_turn_at.since(now));
        let request_time = DurationUs(to_u64(i128::from(units) * US_PER_SECOND / rate));
        self.next_turn_at = turn + request_time;
        Err(turn.since(now).min(TURN_MAX))
    }

    /// Units that are available.
    pub(crate) fn level_units(&self) -> i64 {
        let units = self.level_microunits.div_euclid(MICROUNITS);
        i64::try_from(units).unwrap_or(if units < 0 { i64::MIN } else { i64::MAX })
    }
}

fn to_u64(number: i128) -> u64 {
    u64::try_from(number.max(0)).unwrap_or(u64::MAX)
}

/// Microunits that become available in a time.
fn units_in(rate_units_per_s: u64, time: DurationUs) -> i128 {
    i128::from(rate_units_per_s) * i128::from(time.0)
}

/// Microunits that a request leaves to others.
fn reserve(limit: &UsageLimit, is_late: bool) -> i128 {
    if is_late {
        capacity(limit) * ON_TIME_RESERVE_PERCENT / 100
    } else {
        0
    }
}

/// Whether the owner of a bucket with the given level would grant a request.
pub(crate) fn is_available(level_units: i64, limit: &UsageLimit, is_late: bool) -> bool {
    i128::from(level_units) * MICROUNITS > reserve(limit, is_late)
}

fn capacity(limit: &UsageLimit) -> i128 {
    let burst = i128::from(limit.burst_units) * MICROUNITS;
    burst.max(units_in(limit.rate_units_per_s, BURST_TIME_MIN))
}

#[derive(Clone, Debug)]
struct TeamUsage {
    version: Revision,
    limit: UsageLimit,
    bucket: UsageBucket,
    entries: HashMap<EntryId, TimeUs>,
}

impl TeamUsage {
    /// Limit to which this owner holds the entries that ask it.
    fn effective_limit(&self, charge: &UsageCharge) -> UsageLimit {
        let asking = self.entries.len() as u64;
        let known = u64::from(charge.known_entries_count).max(asking);
        if !charge.is_substitute {
            return self.limit;
        }
        let share = |units: u64| to_u64(i128::from(units) * i128::from(asking) / i128::from(known));
        UsageLimit {
            rate_units_per_s: share(self.limit.rate_units_per_s).max(1),
            burst_units: share(self.limit.burst_units),
            ..self.limit
        }
    }
}

/// Usage of the teams that one process owns.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    teams: HashMap<TeamName, TeamUsage>,
}

impl UsageLedger {
    /// Charges a team and decides on the request that waits for the reply, if there is one.
    pub fn charge(&mut self, now: TimeUs, charge: &UsageCharge) -> UsageReply {
        self.forget_idle(now);
        let team = self.teams.entry(charge.team.clone());
        let usage = team.or_insert_with(|| TeamUsage {
            version: charge.version,
            limit: charge.limit,
            bucket: UsageBucket::new(now, &charge.limit),
            entries: HashMap::new(),
        });
        if charge.version > usage.version {
            // Units accumulated under the earlier limit count at its rate.
            usage.bucket.refill(now, &usage.limit);
            usage.version = charge.version;
            usage.limit = charge.limit;
        }
        usage
            .entries
            .retain(|_, at| now.since(*at) < ENTRY_ACTIVE_TIME);
        // Another agent may have owned the usage since the last charge.
        let is_taken_over = usage.entries.is_empty();
        usage.entries.insert(charge.entry.clone(), now);
        let limit = usage.effective_limit(charge);
        usage.bucket.refill(now, &limit);
        if is_taken_over {
            usage.bucket.lower_to(charge.known_level_units);
        }
        usage.bucket.charge(charge.admitted_units);
        let taken = match charge.asked_units {
            0 => Ok(()),
            units => usage.bucket.take(now, &limit, units, charge.is_late),
        };
        UsageReply {
            is_granted: taken.is_ok(),
            level_units: usage.bucket.level_units(),
            retry_after: taken.err().unwrap_or(DurationUs::ZERO),
            entries_count: u32::try_from(usage.entries.len()).unwrap_or(u32::MAX),
        }
    }

    fn forget_idle(&mut self, now: TimeUs) {
        self.teams
            .retain(|_, usage| now.since(usage.bucket.updated_at) < IDLE_RETENTION);
    }
}
