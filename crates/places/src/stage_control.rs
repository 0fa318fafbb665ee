//! Thread that controls the engine's stage.
//!
//! The thread lists the published engines every few seconds. The list may be seconds old, which
//! makes the query cheap. The thread acts on a decision only if two polls in a row agree on it.
//! This agent is the only sender of orders to its engine, so an order needs no agreement with other
//! agents.
//!
//! The listings of a registry with eras go through a watcher, so that a stale response of an earlier
//! era and what only a restored copy holds are not acted on. Until the engines had time to publish
//! themselves again, no change is ordered.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use cuminlead_direct_core::stages::{PrefillShare, StagedEngine, own_engine, target_stage};
use cuminlead_direct_core::{
    Registry, RegistryError, RegistryUpdate, RegistryWatcher, ServerRecord, ServerState, Stage,
};
use cuminlead_kernel::Clock;
use cuminlead_settings::{AgentName, ZoneRegions};
use cuminlead_types::{AvailabilityZoneName, BackendServerId, RegionName};
use prometheus_client::metrics::counter::Counter;
use slog::{Logger, info, warn};

use crate::monitor::{EngineOrders, StageOrder};
use crate::rpc::SharedReservationTable;

/// Time from the start of the agent to the first poll. Engines that start together are published
/// within it.
const INITIAL_DELAY: Duration = Duration::from_millis(3_000);
/// Time between the two polls that must agree.
const CONFIRM_DELAY: Duration = Duration::from_millis(1_200);
/// Interval between polls that require no change, first after the start of the agent and then
/// later. Engines that start together change their stage before their work begins. Later ones can
/// wait, and listing a large fleet is costly.
const STARTING_POLL_INTERVAL: Duration = Duration::from_millis(2_500);
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10_000);
/// Number of polls that use the interval after the start.
const STARTING_POLLS_COUNT: u32 = 4;
/// Pause after an order. Longer than a stage change takes, and than a fence stays in effect.
const ORDER_COOLDOWN: Duration = Duration::from_millis(12_000);

/// Controls the stage of one engine.
pub struct StageControl {
    /// Wall clock, the source of fencing numbers.
    pub clock: Clock,
    /// Source of the published engines.
    pub registry: Box<dyn Registry>,
    /// Sends orders to the engine.
    pub orders: Box<dyn EngineOrders>,
    /// Name of this agent.
    pub holder: AgentName,
    /// Address of the engine.
    pub engine_address: SocketAddr,
    /// Has the engine's last report.
    pub reservations: SharedReservationTable,
    /// Region of each availability zone.
    pub zone_regions: ZoneRegions,
    /// Share of the engines that prefill.
    pub share: PrefillShare,
    /// Structured logger.
    pub log: Logger,
    /// Counts the restores of the registry.
    pub era_changes: Counter,
    /// Watcher that makes the listings.
    pub watcher: RegistryWatcher,
    /// Published engines and other servers, as listed last.
    pub engines: BTreeMap<BackendServerId, ServerRecord>,
}

/// Stage change that a poll requires.
#[derive(Clone, Debug, PartialEq, Eq)]
struct StageChange {
    server: BackendServerId,
    stage: Stage,
}

impl StageControl {
    /// Controls the stage until the process ends.
    pub fn run(mut self) {
        let mut last_fencing_number = 0;
        let mut polls_count = 0;
        thread::sleep(INITIAL_DELAY);
        loop {
            let first = self.required_change();
            if first.is_none() {
                polls_count += 1;
                let is_starting = polls_count <= STARTING_POLLS_COUNT;
                thread::sleep(if is_starting {
                    STARTING_POLL_INTERVAL
                } else {
                    IDLE_POLL_INTERVAL
                });
                continue;
            }
            thread::sleep(CONFIRM_DELAY);
            let second = self.required_change();
            let (Some(change), true) = (&second, first == second) else {
                continue;
            };
            // Wall-clock time increases across restarts of the agent. A backward step while the
            // agent runs is compensated here. After one across a restart, the fence rejects the
            // order, which is tried again later.
            let unix_ms = self.clock.now().unix_ms.0;
            last_fencing_number = unix_ms.max(last_fencing_number + 1);
            self.send_order(change, last_fencing_number);
            thread::sleep(ORDER_COOLDOWN);
        }
    }

    fn send_order(&mut self, change: &StageChange, fencing_number: u64) {
        let order = StageOrder {
            server: change.server.clone(),
            stage: change.stage,
            holder: self.holder.clone(),
            fencing_number,
        };
        match self.orders.change_stage(&order) {
            Ok(outcome) => info!(self.log, "stage change ordered"; "engine" => %change.server,
                "stage" => %change.stage, "fencing_number" => fencing_number,
                "outcome" => %outcome),
            Err(reason) => {
                warn!(self.log, "stage change order failed; the engine may have accepted it";
                    "engine" => %change.server, "stage" => %change.stage, "reason" => reason)
            }
        }
    }

    /// Lists the published engines; returns the change that they require of this engine, if any.
    fn required_change(&mut self) -> Option<StageChange> {
        if let Err(error) = self.list_engines() {
            warn!(self.log, "listing the published engines failed"; "error" => %error);
            return None;
        }
        if self.watcher.is_recovering(self.clock.monotonic()) {
            return None;
        }
        let engines = &self.engines;
        let started_at_ms = self.reservations.lock().engine_started_at_ms()?;
        let own = own_engine(engines.values(), self.engine_address, started_at_ms)?;
        let regions: HashMap<&AvailabilityZoneName, &RegionName> = self
            .zone_regions
            .iter()
            .map(|(zone, region)| (zone, region))
            .collect();
        let own_region = regions.get(&own.availability_zone)?;
        let staged_engines: Vec<_> = engines
            .values()
            .filter(|engine| engine.service == own.service)
            .filter(|engine| engine.state == ServerState::Ready)
            .filter(|engine| regions.get(&engine.availability_zone) == Some(own_region))
            .filter_map(|engine| {
                let id = engine.id.clone();
                engine.stage.map(|stage| StagedEngine { id, stage })
            })
            .collect();
        let stage = target_stage(&staged_engines, &own.id, self.share)?;
        let server = own.id.clone();
        Some(StageChange { server, stage })
    }

    fn list_engines(&mut self) -> Result<(), RegistryError> {
        if self.watcher.era().is_none() {
            // Without eras, nothing tells whether the registry went back, so each listing stands alone.
            self.watcher = RegistryWatcher::for_stale_listings();
            self.engines.clear();
        }
        self.watcher.start_listing(self.clock.monotonic());
        loop {
            let response = self.registry.query(&self.watcher.query());
            let error = match &response {
                Ok(page) if page.era >= self.watcher.era() => None,
                Ok(page) => Some(RegistryError::EarlierEra { era: page.era }),
                Err(error) => Some(error.clone()),
            };
            let updates = self.watcher.handle(self.clock.monotonic(), response);
            if let Some(error) = error {
                return Err(error);
            }
            let is_complete = matches!(updates.last(), Some(RegistryUpdate::Synced(_)));
            for update in updates {
                self.apply(update);
            }
            if is_complete {
                return Ok(());
            }
        }
    }

    fn apply(&mut self, update: RegistryUpdate) {
        match update {
            RegistryUpdate::Server(record) => {
                self.engines.insert(record.id.clone(), record);
            }
            RegistryUpdate::ServerRemoved(id) => {
                self.engines.remove(&id);
            }
            RegistryUpdate::EraChanged { from, to } => {
                self.era_changes.inc();
                info!(self.log, "registry era changed"; "from" => from.map(|era| era.0),
                    "to" => to.map(|era| era.0));
            }
            _ => {}
        }
    }
}
