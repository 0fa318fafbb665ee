//! Order in which requests get the slots of an engine that has too few for all.
//!
//! Designed for bursts in which entries ask again and again for slots that become free one by one: the
//! next one would go to whoever asks first, so a team with many requests, and small requests, would
//! get nearly all. A request that was refused for lack of room is therefore remembered until it would
//! have asked again, and those that come after it in this order leave the room to it:
//!
//! 1. requests that can still meet their latency target before those that cannot,
//! 2. more urgent priorities before less urgent ones,
//! 3. teams that hold less of the memory than their equal share before those that hold more.
//!
//! Alternatives: a queue at the agent, which was tried and wasted no less memory, and shares at the
//! entries, each of which sees a part of the requests only.

use cuminlead_types::{DurationUs, TeamName, TimeUs, Tokens};

use crate::operator_config::RequestPriority;

/// Time for which a refused request is waited for; entries ask again after 60 ms.
const WAITING_PERIOD: DurationUs = DurationUs::from_ms(150);
/// Most requests that are remembered.
const WAITING_MAX_COUNT: usize = 256;

/// Whose request it is, and how urgent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Team of the caller; `None` for a caller without a key.
    pub team: Option<TeamName>,
    /// Urgency.
    pub priority: RequestPriority,
}

/// Request for room at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomRequest<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Whose request it is, and how urgent.
    pub claim: &'a Claim,
    /// Whether it misses its latency target in any case.
    pub is_late: bool,
}

#[derive(Clone, Debug)]
struct WaitingRequest {
    request: String,
    claim: Claim,
    is_late: bool,
    refused_at: TimeUs,
}

/// Requests that an engine had no room for and that will ask again.
#[derive(Clone, Debug, Default)]
pub struct WaitingRequests {
    waiting: Vec<WaitingRequest>,
}

/// Memory that teams hold at an engine.
#[derive(Clone, Debug, Default)]
pub struct TeamHoldings {
    teams: Vec<(Option<TeamName>, Tokens)>,
}

impl TeamHoldings {
    /// Adds memory that a team holds.
    pub fn add(&mut self, team: Option<&TeamName>, tokens: Tokens) {
        let known = self
            .teams
            .iter_mut()
            .find(|(name, _)| name.as_ref() == team);
        match known {
            Some((_, held)) => *held = held.saturating_add(tokens),
            None => self.teams.push((team.cloned(), tokens)),
        }
    }

    /// Whether a team holds more than an equal share of what all hold.
    fn is_over_share(&self, team: Option<&TeamName>) -> bool {
        let total: Tokens = self.teams.iter().map(|(_, tokens)| *tokens).sum();
        let known = self.teams.iter().find(|(name, _)| name.as_ref() == team);
        let held = known.map_or(0, |(_, tokens)| tokens.0);
        held.saturating_mul(self.teams.len() as u64) > total.0
    }
}

impl WaitingRequests {
    /// Records that there was no room for a request.
    pub fn record_refused(&mut self, now: TimeUs, room: RoomRequest<'_>) {
        self.forget(now, room.request);
        if self.waiting.len() < WAITING_MAX_COUNT {
            self.waiting.push(WaitingRequest {
                request: room.request.to_string(),
                claim: room.claim.clone(),
                is_late: room.is_late,
                refused_at: now,
            });
        }
    }

    /// Forgets a request that has got room, and those that have not asked again.
    pub fn forget(&mut self, now: TimeUs, request: &str) {
        self.waiting.retain(|waiting| {
            waiting.request != request && now.since(waiting.refused_at) < WAITING_PERIOD
        });
    }

    /// Number of requests that are remembered.
    pub fn count(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a request must leave the room to one that waits. `holdings` includes the teams that
    /// wait, also those that hold nothing.
    pub fn must_yield(
        &self,
        now: TimeUs,
        room: RoomRequest<'_>,
        mut holdings: TeamHoldings,
    ) -> bool {
        let waiting: Vec<_> = self
            .waiting
            .iter()
            .filter(|waiting| now.since(waiting.refused_at) < WAITING_PERIOD)
            .filter(|waiting| waiting.request != room.request)
            .collect();
        for waiting in &waiting {
            holdings.add(waiting.claim.team.as_ref(), Tokens::ZERO);
        }
        holdings.add(room.claim.team.as_ref(), Tokens::ZERO);
        let rank = |claim: &Claim, is_late: bool| {
            let is_over_share = holdings.is_over_share(claim.team.as_ref());
            (is_late, claim.priority, is_over_share)
        };
        let own = rank(room.claim, room.is_late);
        let mut ranks = waiting
            .iter()
            .map(|waiting| rank(&waiting.claim, waiting.is_late));
        ranks.any(|waiting| waiting < own)
    }
}
