//! Faults that are injected at a time, whatever requests are under way.

use cuminlead_types::{AvailabilityZoneName, DurationUs, RegionName, RequestId, TimeUs};

use super::event::{Event, Heal, NodeId};
use super::layout::NodeSpec;
use super::platform::PlatformState;
use super::simulation::Simulation;

/// Fault that is injected at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TimedFault {
    /// Agent and engine of a host die and start again.
    RunnerLost(NodeId),
    /// An availability zone does not reach the others.
    ZoneCut(AvailabilityZoneName, DurationUs),
    /// A region does not reach the others.
    RegionCut(RegionName, DurationUs),
    /// The configuration service does not answer.
    PlatformDown(DurationUs),
    /// An engine does nothing and its agent answers.
    EngineHangs(NodeId, DurationUs),
    /// Transfers of KV cache stall.
    TransferStall(DurationUs),
    /// A caller goes away.
    CallerLeaves(RequestId),
}

impl Simulation {
    /// Injects a fault at a time.
    pub fn inject_at(&mut self, at: TimeUs, disturbance: TimedFault) {
        let delay = at.since(self.now);
        self.push(delay, Event::Disturb(disturbance));
    }

    pub(super) fn disturb(&mut self, disturbance: TimedFault) {
        match disturbance {
            TimedFault::RunnerLost(node) => {
                self.kill(node);
                self.kill_backend(node);
            }
            TimedFault::EngineHangs(node, time) => self.pause_backend(node, time),
            TimedFault::ZoneCut(zone, time) => self.cut_off(|place| place.zone == zone, time),
            TimedFault::RegionCut(region, time) => {
                self.cut_off(|place| place.region == region, time);
            }
            TimedFault::PlatformDown(time) => {
                self.set_platform(PlatformState::Down);
                self.heal_in(time, Heal::Platform);
            }
            TimedFault::TransferStall(time) => {
                self.are_transfers_stalled = true;
                self.heal_in(time, Heal::Transfers);
            }
            TimedFault::CallerLeaves(request) => self.caller_leaves(request),
        }
    }

    /// Cuts every way between the hosts inside and those outside.
    fn cut_off(&mut self, is_inside: impl Fn(&NodeSpec) -> bool, time: DurationUs) {
        let nodes = self.all_nodes().into_iter();
        let (inside, outside): (Vec<NodeId>, Vec<NodeId>) =
            nodes.partition(|node| is_inside(&self.places[node.0]));
        for a in &inside {
            for b in &outside {
                self.cut_for(time, *a, *b);
                self.cut_for(time, *b, *a);
            }
        }
    }
}
