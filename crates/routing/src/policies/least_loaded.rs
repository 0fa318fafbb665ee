//! `least-loaded`: the server whose last load report shows the lowest load.
//!
//! A baseline for comparison. It examines every server, and because it ignores the decisions since
//! the last report, it sends all requests between two reports to the same server.

use cuminlead_kernel::{PluginInfo, PluginPoint};
use cuminlead_protocol::LoadReport;

use crate::policy::{Candidate, Pair, PolicyPlugin, PolicyView, RoutingPolicy};
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
        summary: "lowest load in the last load reports (baseline)",
    }
}

#[derive(Debug)]
struct LeastLoaded;

fn pick(
    view: &PolicyView<'_>,
    servers: &[ServerKey],
    load: impl Fn(&LoadReport) -> u64,
) -> Option<ServerKey> {
    let load_of = |candidate: &Candidate<'_>| load(candidate.record.load.report());
    let admitted = servers.iter().filter_map(|key| view.admit(*key));
    let best = admitted.min_by_key(|candidate| (candidate.is_fallback, load_of(candidate)))?;
    Some(best.key)
}

fn pick_prefill(view: &PolicyView<'_>, region: &RegionPool) -> Option<ServerKey> {
    let tokens = |report: &LoadReport| report.pending_prompt_tokens.get();
    pick(view, region.prefill.members(), tokens)
}

fn request_count(report: &LoadReport) -> u64 {
    u64::from(report.running_count) + u64::from(report.queued_count)
}

impl RoutingPolicy for LeastLoaded {
    fn choose_pair<'a>(
        &mut self,
        view: &PolicyView<'_>,
        pool: &'a ModelPool,
        _requirements: &ModelRequirements,
    ) -> Option<Pair<'a>> {
        let mut regions = view.own_region_first(&pool.regions, |region| &region.region);
        regions.find_map(|region| {
            let prefill = pick_prefill(view, region)?;
            let decode = pick(view, &region.decode, request_count)?;
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
        pick_prefill(view, region)
    }

    fn choose_service(&mut self, view: &PolicyView<'_>, pool: &ServicePool) -> Option<ServerKey> {
        view.own_region_first(&pool.regions, |region| &region.region)
            .find_map(|region| pick(view, &region.servers, request_count))
    }
}
