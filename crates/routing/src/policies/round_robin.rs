//! `round-robin` and `prefill-first`: servers in turn, without regard to their load.
//!
//! Both are baselines for comparison. They differ only in the order of slot reservation and
//! prefill: `prefill-first` shows how much prefill work is discarded if no decode slot is reserved
//! first.

use cuminlead_kernel::{PluginInfo, PluginPoint};

use crate::policy::{Pair, PolicyPlugin, PolicyView, RoutingPolicy};
use crate::pools::{ModelPool, RegionPool, ServicePool};
use crate::request::ModelRequirements;
use crate::servers::ServerKey;

inventory::submit! {
    PolicyPlugin {
        name: "round-robin",
        build: |_| Box::new(RoundRobin { next: 0, reserves_first: true }),
    }
}

inventory::submit! {
    PluginInfo {
        point: PluginPoint::RoutingPolicy,
        name: "round-robin",
        summary: "servers in turn, without regard to load (baseline)",
    }
}

inventory::submit! {
    PolicyPlugin {
        name: "prefill-first",
        build: |_| Box::new(RoundRobin { next: 0, reserves_first: false }),
    }
}

inventory::submit! {
    PluginInfo {
        point: PluginPoint::RoutingPolicy,
        name: "prefill-first",
        summary: "round robin without slot reservation before the prefill (baseline)",
    }
}

#[derive(Debug)]
struct RoundRobin {
    next: usize,
    reserves_first: bool,
}

impl RoundRobin {
    fn pick(&self, view: &PolicyView<'_>, servers: &[ServerKey]) -> Option<ServerKey> {
        let start = self.next % servers.len().max(1);
        let (before, after) = servers.split_at(start);
        let mut in_turn = after.iter().chain(before);
        in_turn.find(|key| view.admit(**key).is_some()).copied()
    }
}

impl RoutingPolicy for RoundRobin {
    fn reserves_first(&self) -> bool {
        self.reserves_first
    }

    fn choose_pair<'a>(
        &mut self,
        view: &PolicyView<'_>,
        pool: &'a ModelPool,
        _requirements: &ModelRequirements,
    ) -> Option<Pair<'a>> {
        self.next = self.next.wrapping_add(1);
        let mut regions = view.own_region_first(&pool.regions, |region| &region.region);
        regions.find_map(|region| {
            let prefill = self.pick(view, region.prefill.members())?;
            let decode = self.pick(view, &region.decode)?;
            Some(Pair {
                region,
                decode,
                prefill,
            })
        })
    }

    fn choose_prefill(
        &mut self,
        view: &PolicyView<'_>,
        _pool: &ModelPool,
        region: &RegionPool,
        _requirements: &ModelRequirements,
    ) -> Option<ServerKey> {
        self.next = self.next.wrapping_add(1);
        self.pick(view, region.prefill.members())
    }

    fn choose_service(&mut self, view: &PolicyView<'_>, pool: &ServicePool) -> Option<ServerKey> {
        self.next = self.next.wrapping_add(1);
        view.own_region_first(&pool.regions, |region| &region.region)
            .find_map(|region| self.pick(view, &region.servers))
    }
}
