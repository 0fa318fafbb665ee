//! The thread that keeps the engine's stage.
//!
//! It reads the published engines every few seconds, which may be seconds old and costs little, and
//! acts on a decision that two readings in a row agree on. This agent is the only one that gives
//! orders to its engine, so an order needs nobody's consent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use cuminlead_direct_core::registry::{Collection, Published};
use cuminlead_direct_core::stages::{PrefillShare, StagedEngine, wanted_stage};
use cuminlead_direct_core::{Query, Registry, RegistryError, ServerRecord, ServerState, Stage};
use cuminlead_kernel::Clock;
use cuminlead_settings::{AgentName, ZoneRegions};
use cuminlead_types::{AvailabilityZoneName, BackendServerId, RegionName};
use slog::{Logger, info, warn};

use crate::monitor::{EngineOrders, StageOrder};

/// Time after the start of the agent before the first reading; engines that start together are
/// published within it.
const FIRST_PAUSE: Duration = Duration::from_millis(3_000);
/// Pause before the second of two readings that must agree.
const CONFIRM_PAUSE: Duration = Duration::from_millis(1_200);
/// Pause between readings that lead to nothing, after the start of the agent and later. Engines that
/// start together are changed before their work begins; later ones can wait, and the list is long in
/// a large fleet.
const STARTING_PAUSE: Duration = Duration::from_millis(2_500);
const IDLE_PAUSE: Duration = Duration::from_millis(10_000);
/// Readings that count as after the start.
const STARTING_READINGS: u32 = 4;
/// Pause after an order: longer than the change takes, and than a fence is held against.
const ORDERED_PAUSE: Duration = Duration::from_millis(12_000);

/// What keeps the stage of one engine.
pub struct StageControl {
    /// Clock for fencing numbers.
    pub clock: Clock,
    /// Where engines are published.
    pub registry: Box<dyn Registry>,
    /// Gives orders.
    pub orders: Box<dyn EngineOrders>,
    /// Name of this agent.
    pub holder: AgentName,
    /// Address of the engine.
    pub engine_address: SocketAddr,
    /// Region of each availability zone.
    pub zone_regions: ZoneRegions,
    /// Part of the engines that compute prompts.
    pub share: PrefillShare,
    /// Logger.
    pub log: Logger,
}

/// Change of stage that a reading leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Change {
    server: BackendServerId,
    stage: Stage,
}

impl StageControl {
    /// Keeps the stage until the process ends.
    pub fn run(mut self) {
        let mut last_fencing_number = 0;
        let mut readings_count = 0;
        thread::sleep(FIRST_PAUSE);
        loop {
            let first = self.read();
            if first.is_none() {
                readings_count += 1;
                let is_starting = readings_count <= STARTING_READINGS;
                thread::sleep(if is_starting {
                    STARTING_PAUSE
                } else {
                    IDLE_PAUSE
                });
                continue;
            }
            thread::sleep(CONFIRM_PAUSE);
            let second = self.read();
            let (Some(change), true) = (&second, first == second) else {
                continue;
            };
            // Wall-clock time grows over restarts of the agent; a step back within one is evened
            // out, and one over a restart is refused by the fence and tried again later.
            let unix_ms = self.clock.now().unix_ms.0;
            last_fencing_number = unix_ms.max(last_fencing_number + 1);
            self.order(change, last_fencing_number);
            thread::sleep(ORDERED_PAUSE);
        }
    }

    fn order(&mut self, change: &Change, fencing_number: u64) {
        let order = StageOrder {
            server: change.server.clone(),
            stage: change.stage,
            holder: self.holder.clone(),
            fencing_number,
        };
        match self.orders.change_stage(&order) {
            Ok(outcome) => info!(self.log, "stage ordered"; "engine" => %change.server,
                "stage" => %change.stage, "fencing_number" => fencing_number,
                "outcome" => %outcome),
            Err(reason) => warn!(self.log, "stage order without an answer";
                "engine" => %change.server, "stage" => %change.stage, "reason" => reason),
        }
    }

    /// Change that the published engines call for.
    fn read(&mut self) -> Option<Change> {
        let engines = match self.list() {
            Ok(engines) => engines,
            Err(error) => {
                warn!(self.log, "engines not read"; "error" => %error);
                return None;
            }
        };
        let own = engines
            .iter()
            .find(|engine| engine.address == self.engine_address)?;
        let regions: HashMap<&AvailabilityZoneName, &RegionName> = self
            .zone_regions
            .iter()
            .map(|(zone, region)| (zone, region))
            .collect();
        let own_region = regions.get(&own.availability_zone)?;
        let staged: Vec<_> = engines
            .iter()
            .filter(|engine| engine.service == own.service)
            .filter(|engine| engine.state == ServerState::Ready)
            .filter(|engine| regions.get(&engine.availability_zone) == Some(own_region))
            .filter_map(|engine| {
                let id = engine.id.clone();
                engine.stage.map(|stage| StagedEngine { id, stage })
            })
            .collect();
        let stage = wanted_stage(&staged, &own.id, self.share)?;
        let server = own.id.clone();
        Some(Change { server, stage })
    }

    fn list(&mut self) -> Result<Vec<ServerRecord>, RegistryError> {
        let mut records = Vec::new();
        let mut after = None;
        loop {
            let page = self.registry.query(&Query::List {
                collection: Collection::Servers,
                after,
                is_stale_allowed: true,
            })?;
            records.extend(
                page.entries
                    .into_iter()
                    .filter_map(|entry| match entry.published {
                        Published::Server(record) => Some(record),
                        _ => None,
                    }),
            );
            after = page.next;
            if after.is_none() {
                return Ok(records);
            }
        }
    }
}
