//! Counts that an agent owns for all entries: permits of servers with limits, and usage of teams.
//!
//! Entries choose the owner of a count by the same hash over the engines that they know. Their views
//! differ for seconds while the registry answers some of them only, and two agents that own one count
//! at the same time grant twice its limit. What some entries may not know yet must therefore not
//! change the owner:
//!
//! - An engine that has just started is known to some entries only, so its agent owns no counts for as
//!   long as the registry may refuse an entry, unless all engines have just started.
//! - That an engine leaves, has crashed or has started again is known to some entries only, but to its
//!   agent by the engine's reports. The agent tells the entries that still ask it, and they ask the
//!   next one, which the others have chosen.
//!
//! An engine whose record is removed without a notice, in its state or in the heads of its reports,
//! still has two owners until all entries know.
//!
//! Alternatives: an entry that the registry does not answer takes its share only, which refuses
//! requests below the limit whenever the registry is away for all entries. A successor that asks the
//! owner before it must know who that was, and waits for one that has ended.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;

use cuminlead_types::{BackendServerId, DurationUs, MillirequestsPerSecond, TimeUs, UnixMs};

use crate::rate_limit::{PermitReply, RateLimiter, owners};
use crate::servers::{Server, ServerLifecycle};
use crate::usage_ledger::{UsageCharge, UsageLedger, UsageReply};

/// Time after the start of an engine from which its agent may own counts. The registry refuses an
/// entry for up to 9 s, and clocks of entries may differ by 2 s.
const ESTABLISHED_AFTER: DurationUs = DurationUs::from_ms(12_000);

/// Whether the agent beside an engine should own counts; the first ones are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Suitability {
    /// All entries know the engine.
    Established,
    /// Some entries may not know the engine yet.
    Starting,
    /// The engine is draining.
    Leaving,
}

impl Suitability {
    fn of(engine: &Server, unix_now: UnixMs) -> Self {
        let age_ms = unix_now.0.saturating_sub(engine.record.started_at_ms.0);
        match engine.lifecycle {
            ServerLifecycle::Draining(_) => Self::Leaving,
            _ if age_ms < ESTABLISHED_AFTER.as_ms() => Self::Starting,
            _ => Self::Established,
        }
    }
}

/// Agent that may own a count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountOwner {
    /// Address of the agent.
    pub agent: SocketAddr,
    /// Start of the engine beside it, as this process knows it.
    pub engine_started_at_ms: UnixMs,
}

/// Agents in the order in which they are asked as owners of a count, each given with the engine beside
/// it. The same at all entries that know the same engines, except those that start or leave.
pub fn owner_order<'a>(
    unix_now: UnixMs,
    owned: &impl Display,
    engines: impl IntoIterator<Item = (SocketAddr, &'a Server)>,
) -> Vec<CountOwner> {
    // An engine that has started again may be published under its earlier id too.
    let mut latest: BTreeMap<SocketAddr, &Server> = BTreeMap::new();
    for (agent, engine) in engines {
        let known = latest.entry(agent).or_insert(engine);
        if engine.record.started_at_ms > known.record.started_at_ms {
            *known = engine;
        }
    }
    let mut by_suitability: BTreeMap<Suitability, Vec<SocketAddr>> = BTreeMap::new();
    for (agent, engine) in &latest {
        let suitability = Suitability::of(engine, unix_now);
        by_suitability.entry(suitability).or_default().push(*agent);
    }
    let ordered = by_suitability.into_values();
    let ordered = ordered.flat_map(|agents| owners(owned, agents));
    let owner = |agent: SocketAddr| CountOwner {
        agent,
        engine_started_at_ms: latest[&agent].record.started_at_ms,
    };
    ordered.map(owner).collect()
}

/// Counts that one agent owns.
#[derive(Clone, Debug, Default)]
pub struct OwnedCounts {
    permits: RateLimiter,
    usage: UsageLedger,
}

impl OwnedCounts {
    /// Takes up to `count` permits for a server with the given limit; `None` if the agent owns no
    /// counts.
    pub fn take_permits(
        &mut self,
        now: TimeUs,
        is_owner: bool,
        server: &BackendServerId,
        rate: MillirequestsPerSecond,
        count: u32,
    ) -> Option<PermitReply> {
        is_owner.then(|| self.permits.take(now, server, rate, count))
    }

    /// Takes a permit for the agent's own engine. No other agent owns its permits, so it has them
    /// until it ends.
    pub fn take_engine_permit(
        &mut self,
        now: TimeUs,
        engine: &BackendServerId,
        rate: MillirequestsPerSecond,
    ) -> PermitReply {
        self.permits.take(now, engine, rate, 1)
    }

    /// Charges a team and decides on the request that waits for the reply, if there is one; `None` if
    /// the agent owns no counts. Nothing is charged then.
    pub fn charge(
        &mut self,
        now: TimeUs,
        is_owner: bool,
        charge: &UsageCharge,
    ) -> Option<UsageReply> {
        is_owner.then(|| self.usage.charge(now, charge))
    }
}
