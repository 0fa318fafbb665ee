//! Time of one decision of `prefix-cost` over 23, 230 and 2,300 engines.
//!
//! Prints the percentiles of single decisions as well, because the bound is on the 99th.
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
const STEP_US: u64 = 250;

struct Load {
    router: Router,
    health: fleet::Health,
    needs: Vec<RouteRequest>,
    count: u64,
}

impl Load {
    fn new(engines: usize) -> Self {
        let (lists, hosts) = (fleet::lists(engines, 3), fleet::hosts(engines, 3));
        let unusable = (0..engines).step_by(50).map(fleet::engine).collect();
        Self {
            router: fleet::router("prefix-cost", lists, hosts),
            health: fleet::Health {
                unusable,
                ..Default::default()
            },
            needs: (0..500).map(fleet::pair_need).collect(),
            count: 0,
        }
    }

    fn now(&self) -> TimeUs {
        TimeUs(1_000_000_000 + self.count * STEP_US)
    }

    fn decide(&mut self) -> Route {
        self.count += 1;
        let index = usize::try_from(self.count * 7 % 500).unwrap_or(0);
        let need = black_box(&self.needs[index]);
        let route = self.router.route(self.now(), &self.health, need);
        route.expect("a route")
    }

    /// Replies of both servers of a pair.
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
            self.router.observe(self.now(), &state);
        }
    }
}

/// `due_us` of zero makes every estimate too late; the prompts are then taken to be empty for the
/// link, so that it never fills and all regions are compared.
fn print_percentiles(engines: usize, due_us: u64) {
    let mut load = Load::new(engines);
    for need in &mut load.needs {
        if let RouteKind::Pair(model) = &mut need.kind {
            model.due_us = DurationUs(due_us);
            if due_us == 0 {
                model.prompt_bytes = 0;
            }
        }
    }
    let mut times_ns = Vec::new();
    for _ in 0..DECISIONS {
        let start = Instant::now();
        let route = load.decide();
        times_ns.push(start.elapsed().as_nanos());
        load.reply(route);
    }
    times_ns.sort_unstable();
    let at = |percent: usize| times_ns[(times_ns.len() * percent / 100).min(times_ns.len() - 1)];
    let (median, p99) = (at(50), at(99));
    println!("engines={engines} due_us={due_us} p50_ns={median} p99_ns={p99}");
}

fn print_apply(engines: usize) {
    let mut load = Load::new(engines);
    let lists = Arc::new(fleet::lists(engines, 3));
    let fewer = Arc::new(fleet::hosts(engines - 1, 3));
    let all = Arc::new(fleet::hosts(engines, 3));
    let start = Instant::now();
    load.router.apply(lists.clone(), fewer);
    let changed_us = start.elapsed().as_micros();
    load.router.apply(lists.clone(), all.clone());
    let start = Instant::now();
    load.router.apply(lists, all);
    let same_us = start.elapsed().as_micros();
    println!("engines={engines} apply_changed_us={changed_us} apply_same_us={same_us}");
}

fn route(criterion: &mut Criterion) {
    for engines in SIZES {
        print_percentiles(engines, 2_000_000);
        print_percentiles(engines, 0);
        print_apply(engines);
        let mut load = Load::new(engines);
        let name = format!("route/{engines}");
        criterion.bench_function(&name, |bencher| {
            bencher.iter(|| {
                let route = load.decide();
                load.reply(route);
            });
        });
    }
}

criterion_group!(benches, route);
criterion_main!(benches);
