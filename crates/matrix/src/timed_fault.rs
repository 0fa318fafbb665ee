//! Faults that are injected at a fixed time, independent of requests.

use cuminlead_types::{AvailabilityZoneName, DurationUs, RegionName, RequestId, TimeUs};

use super::event::{Event, Heal, NodeId};
use super::layout::NodeSpec;
use super::platform::PlatformState;
use super::simulation::Simulation;

/// Fault that is injected at a fixed time. Durations say how long it lasts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TimedFault {
    /// The agent and the engine of a host crash and restart.
    RunnerLost(NodeId),
    /// The engine of a host crashes and restarts, while its agent runs on.
    EngineLost(NodeId),
    /// No network path between an availability zone and the other zones works.
    ZoneCut(AvailabilityZoneName, DurationUs),
    /// No network path between a region and the other regions works.
    RegionCut(RegionName, DurationUs),
    /// The configuration service does not respond.
    PlatformDown(DurationUs),
    /// The backend server of a host stops making progress, while its agent still responds.
    EngineHangs(NodeId, DurationUs),
    /// KV transfers of all engines stall.
    TransferStall(DurationUs),
    /// The caller of a request disconnects.
    CallerLeaves(RequestId),
}

impl Simulation {
    /// Schedules a fault; one in the past is injected at the current time.
    pub fn inject_at(&mut self, at: TimeUs, fault: TimedFault) {
        let delay = at.since(self.now);
        self.push(delay, Event::InjectTimed(fault));
    }

    pub(super) fn inject_timed(&mut self, fault: TimedFault) {
        match fault {
            TimedFault::RunnerLost(node) => {
                self.kill(node);
                self.kill_backend(node);
            }
            TimedFault::EngineLost(node) => self.kill_backend(node),
            TimedFault::EngineHangs(node, time) => self.pause_backend(node, time),
            TimedFault::ZoneCut(zone, time) => {
                self.partition_hosts(|node_spec| node_spec.zone == zone, time)
            }
            TimedFault::RegionCut(region, time) => {
                self.partition_hosts(|node_spec| node_spec.region == region, time);
            }
            TimedFault::PlatformDown(time) => {
                self.set_platform(PlatformState::Down);
                self.heal_in(time, Heal::Platform);
            }
            TimedFault::TransferStall(time) => {
                self.are_transfers_stalled = true;
                self.heal_in(time, Heal::Transfers);
            }
            TimedFault::CallerLeaves(request) => self.disconnect_caller(request),
        }
    }

    /// Cuts every network path between the selected hosts and the others.
    fn partition_hosts(&mut self, is_inside: impl Fn(&NodeSpec) -> bool, time: DurationUs) {
        let nodes = self.all_nodes().into_iter();
        let (inside, outside): (Vec<NodeId>, Vec<NodeId>) =
            nodes.partition(|node| is_inside(&self.node_specs[node.0]));
        for a in &inside {
            for b in &outside {
                self.cut_for(time, *a, *b);
                self.cut_for(time, *b, *a);
            }
        }
    }
}
