//! Measures the time of one `prefix-cost` decision with 23, 230 and 2,300 engines.
//!
//! Also prints percentiles over single decisions, because the limit applies to the 99th percentile.
#![allow(missing_docs)]

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use criterion::{Criterion, criterion_group, criterion_main};
use cuminlead_protocol::{AgentState, LoadReport};
use cuminlead_routing::{Route, RouteKind, RouteRequest, Router};
use cuminlead_types::{DurationUs, KvPieces, Slots, TimeUs, Tokens};

#[path = "../tests/fleet/mod.rs"]
mod fleet;

const SIZES: [usize; 3] = [23, 230, 2_300];
const DECISIONS: u32 = 200_000;
const DECISION_INTERVAL_US: u64 = 250;

struct Workload {
    router: Router,
    health: fleet::Health,
    requests: Vec<RouteRequest>,
    count: u64,
}

impl Workload {
    fn new(engines: usize) -> Self {
        let (lists, hosts) = (fleet::lists(engines, 3), fleet::hosts(engines, 3));
        let unusable = (0..engines).step_by(50).map(fleet::engine).collect();
        Self {
            router: fleet::router("prefix-cost", lists, hosts),
            health: fleet::Health {
                unusable,
                ..Default::default()
            },
            requests: (0..500).map(fleet::pair_request).collect(),
            count: 0,
        }
    }

    fn now(&self) -> TimeUs {
        TimeUs(1_000_000_000 + self.count * DECISION_INTERVAL_US)
    }

    fn decide(&mut self) -> Route {
        self.count += 1;
        let index = usize::try_from(self.count * 7 % 500).unwrap_or(0);
        let request = black_box(&self.requests[index]);
        let route = self.router.route(self.now(), &self.health, request);
        route.expect("a route")
    }

    /// Delivers a reply with a load report from both servers of a pair.
    fn reply(&mut self, route: Route) {
        let Route::Pair {
            decode, prefill, ..
        } = route
        else {
            return;
        };
        for server in [decode, prefill] {
            let running_count = u32::try_from(self.count % 20).unwrap_or(0);
            let load = LoadReport {
                free_slots: Slots(20 - running_count),
                free_pieces: KvPieces(100),
                running_count,
                pending_prompt_tokens: Tokens(self.count % 7 * 1_000),
                ..LoadReport::default()
            };
            let state = AgentState {
                server,
                load,
                ..AgentState::default()
            };
            self.router.record_report(self.now(), &state);
        }
    }
}

/// With a `due_us` of zero every estimate misses the target, so that all regions are compared. The
/// prompts then have no bytes on the links, so that no backlog builds up that would exclude a
/// region.
fn print_percentiles(engines: usize, due_us: u64) {
    let mut workload = Workload::new(engines);
    for request in &mut workload.requests {
        if let RouteKind::Pair(requirements) = &mut request.kind {
            requirements.due_us = DurationUs(due_us);
            if due_us == 0 {
                requirements.prompt_bytes = 0;
            }
        }
    }
    let mut times_ns = Vec::new();
    for _ in 0..DECISIONS {
        let start = Instant::now();
        let route = workload.decide();
        times_ns.push(start.elapsed().as_nanos());
        workload.reply(route);
    }
    times_ns.sort_unstable();
    let at = |percent: usize| times_ns[(times_ns.len() * percent / 100).min(times_ns.len() - 1)];
    let (median, p99) = (at(50), at(99));
    println!("engines={engines} due_us={due_us} p50_ns={median} p99_ns={p99}");
}

fn print_apply(engines: usize) {
    let mut workload = Workload::new(engines);
    let lists = Arc::new(fleet::lists(engines, 3));
    let fewer = Arc::new(fleet::hosts(engines - 1, 3));
    let all = Arc::new(fleet::hosts(engines, 3));
    let start = Instant::now();
    workload.router.apply(lists.clone(), fewer);
    let changed_us = start.elapsed().as_micros();
    workload.router.apply(lists.clone(), all.clone());
    let start = Instant::now();
    workload.router.apply(lists, all);
    let same_us = start.elapsed().as_micros();
    println!("engines={engines} apply_changed_us={changed_us} apply_same_us={same_us}");
}

fn route(criterion: &mut Criterion) {
    for engines in SIZES {
        print_percentiles(engines, 2_000_000);
        print_percentiles(engines, 0);
        print_apply(engines);
        let mut workload = Workload::new(engines);
        let name = format!("route/{engines}");
        criterion.bench_function(&name, |bencher| {
            bencher.iter(|| {
                let route = workload.decide();
                workload.reply(route);
            });
        });
    }
}

criterion_group!(benches, route);
criterion_main!(benches);
