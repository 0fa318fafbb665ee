//! `round-robin` and `prefill-first`: one server after the other, whatever their load.
//!
//! Both are baselines for comparison. They differ only in the order of reservation and prefill:
//! `prefill-first` shows how much prefill is wasted when no decode place is reserved before.

use cuminlead_kernel::{PluginInfo, PluginPoint};

use crate::policy::{Pair, PolicyPlugin, RoutingPolicy, View};
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
        summary: "one server after the other (baseline)",
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
        summary: "round robin without reservation before the prefill (baseline)",
    }
}

#[derive(Debug)]
struct RoundRobin {
    next: usize,
    reserves_first: bool,
}

impl RoundRobin {
    fn pick(&self, view: &View<'_>, servers: &[ServerKey]) -> Option<ServerKey> {
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

    fn pair<'a>(
        &mut self,
        view: &View<'_>,
        pool: &'a ModelPool,
        _need: &ModelRequirements,
    ) -> Option<Pair<'a>> {
        self.next = self.next.wrapping_add(1);
        let mut regions = view.own_first(&pool.regions, |region| &region.region);
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

    fn prefill(
        &mut self,
        view: &View<'_>,
        _pool: &ModelPool,
        region: &RegionPool,
        _need: &ModelRequirements,
    ) -> Option<ServerKey> {
        self.next = self.next.wrapping_add(1);
        self.pick(view, region.prefill.members())
    }

    fn service(&mut self, view: &View<'_>, pool: &ServicePool) -> Option<ServerKey> {
        self.next = self.next.wrapping_add(1);
        view.own_first(&pool.regions, |region| &region.region)
            .find_map(|region| self.pick(view, &region.servers))
    }
}
