//! `least-loaded`: the lowest load of the last reports, which lag.
//!
//! A baseline for comparison: it looks at every server, and between two reports it sends
//! everything to the same one.

use cuminlead_kernel::{PluginInfo, PluginPoint};
use cuminlead_protocol::LoadReport;

use crate::policy::{Candidate, Pair, PolicyPlugin, RoutingPolicy, View};
use crate::pools::{ModelPool, RegionPool, ServicePool};
use crate::request::ModelRequirements;
use crate::servers::ServerKey;

inventory::submit! {
    PolicyPlugin {
        name: "least-loaded",
        build: |_| Box::new(LeastLoaded),
    }
}

inventory::submit! {
    PluginInfo {
        point: PluginPoint::RoutingPolicy,
        name: "least-loaded",
        summary: "lowest load of the last reports (baseline)",
    }
}

#[derive(Debug)]
struct LeastLoaded;

fn pick(
    view: &View<'_>,
    servers: &[ServerKey],
    load: impl Fn(&LoadReport) -> u64,
) -> Option<ServerKey> {
    let load_of = |candidate: &Candidate<'_>| load(candidate.record.load.report());
    let admitted = servers.iter().filter_map(|key| view.admit(*key));
    let best = admitted.min_by_key(|candidate| (candidate.is_fallback, load_of(candidate)))?;
    Some(best.key)
}

fn pick_prefill(view: &View<'_>, region: &RegionPool) -> Option<ServerKey> {
    let tokens = |report: &LoadReport| report.pending_prompt_tokens.get();
    pick(view, region.prefill.members(), tokens)
}

fn requests(report: &LoadReport) -> u64 {
    u64::from(report.running_count) + u64::from(report.queued_count)
}

impl RoutingPolicy for LeastLoaded {
    fn pair<'a>(
        &mut self,
        view: &View<'_>,
        pool: &'a ModelPool,
        _need: &ModelRequirements,
    ) -> Option<Pair<'a>> {
        let mut regions = view.own_first(&pool.regions, |region| &region.region);
        regions.find_map(|region| {
            let prefill = pick_prefill(view, region)?;
            let decode = pick(view, &region.decode, requests)?;
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
        pick_prefill(view, region)
    }

    fn service(&mut self, view: &View<'_>, pool: &ServicePool) -> Option<ServerKey> {
        view.own_first(&pool.regions, |region| &region.region)
            .find_map(|region| pick(view, &region.servers, requests))
    }
}
