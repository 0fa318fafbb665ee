//! Decisions of a router, its memory and the taking of new lists.

use std::sync::Arc;

use cuminlead_lists::{HostList, Lists};
use cuminlead_membership::Membership;
use cuminlead_protocol::{AgentState, LoadReport};
use cuminlead_routing::{
    ModelRequirements, Route, RouteKind, RouteRequest, Router, RoutingConfig, Usability,
};
use cuminlead_types::{BackendServerId, DurationUs, Incarnation, KvPieces, Slots, TimeUs, Tokens};

use crate::Report;
use crate::fixture::{
    CUSTOMERS_COUNT, ENGINES_COUNT, ListSize, customer, hosts, name, snapshot, target,
};
use crate::measure::{Times, hold};

const SERVERS: [usize; 3] = [23, 230, ENGINES_COUNT];
const DECISIONS: u64 = 50_000;
/// Decisions after which the memory is measured: those that an entry of the design scale makes in
/// the 60 s that prefixes are kept, 10.5 a second.
const HELD_DECISIONS: u64 = 630;
const STEP: DurationUs = DurationUs(95_000);
const APPLIES: usize = 7;
const CONVERSATIONS: u64 = 500;
const PROMPT_BLOCKS: u64 = 40;

/// Membership as the entry's router asks for it.
struct View<'a>(&'a Membership);

impl Usability for View<'_> {
    fn is_usable(&self, now: TimeUs, server: &BackendServerId) -> bool {
        self.0.is_usable(now, server)
    }

    fn is_preferred(&self, now: TimeUs, server: &BackendServerId) -> bool {
        self.0.is_preferred(now, server)
    }
}

/// Router with what it decides on.
struct Load {
    router: Router,
    membership: Membership,
    lists: Arc<Lists>,
    hosts: Arc<HostList>,
    now: TimeUs,
    count: u64,
}

pub(crate) fn run(report: &mut Report) {
    for servers in SERVERS {
        decisions(report, servers, DurationUs::from_ms(2_000), "in_time");
        decisions(report, servers, DurationUs::ZERO, "late");
        memory(report, servers);
        applies(report, servers);
    }
}

fn decisions(report: &mut Report, servers: usize, due: DurationUs, case: &str) {
    let mut load = Load::new(servers);
    let (mut routes, mut observes) = (Times::default(), Times::default());
    for _ in 0..DECISIONS {
        let request = route_request(load.count % CONVERSATIONS, due);
        let route = routes.time(|| load.decide(&request));
        load.observe(&route, &mut observes);
    }
    let quantity = format!("route_{case}");
    report.add(&format!("{quantity}_p50"), "us", servers, routes.median());
    report.add(
        &format!("{quantity}_p99"),
        "us",
        servers,
        routes.percentile(99),
    );
    report.add(&format!("{quantity}_mean"), "us", servers, routes.mean());
    report.add(
        &format!("observe_after_{quantity}_mean"),
        "us",
        servers,
        observes.mean(),
    );
}

fn memory(report: &mut Report, servers: usize) {
    let load = Load::new(servers);
    let (lists, hosts) = (Arc::clone(&load.lists), Arc::clone(&load.hosts));
    let held = hold(|| router(&lists, &hosts));
    report.add("router_heap_by_servers", "bytes", servers, held.bytes);
    let held = hold(|| {
        let mut load = Load::with(Arc::clone(&lists), Arc::clone(&hosts));
        let mut observes = Times::default();
        for _ in 0..HELD_DECISIONS {
            let request = route_request(load.count % CONVERSATIONS, DurationUs::from_ms(2_000));
            let route = load.decide(&request);
            load.observe(&route, &mut observes);
        }
        load
    });
    report.add(
        "router_and_membership_heap_in_use_by_servers",
        "bytes",
        servers,
        held.bytes,
    );
}

fn applies(report: &mut Report, servers: usize) {
    let mut load = Load::new(servers);
    let fewer = Arc::new(hosts(servers - 1, 0, 2));
    let (mut same, mut changed) = (Times::default(), Times::default());
    for _ in 0..APPLIES {
        let (lists, all) = (Arc::clone(&load.lists), Arc::clone(&load.hosts));
        changed.time(|| load.router.apply(Arc::clone(&lists), Arc::clone(&fewer)));
        load.router.apply(Arc::clone(&lists), Arc::clone(&all));
        same.time(|| load.router.apply(lists, all));
    }
    report.add("router_apply_same_servers", "us", servers, same.median());
    report.add(
        "router_apply_one_host_fewer",
        "us",
        servers,
        changed.median(),
    );
}

fn router(lists: &Arc<Lists>, hosts: &Arc<HostList>) -> Router {
    let config = RoutingConfig::new(name("region-0"), 1);
    let mut router = Router::new("prefix-cost", config).expect("known policy");
    router.apply(Arc::clone(lists), Arc::clone(hosts));
    router
}

fn route_request(conversation: u64, due_us: DurationUs) -> RouteRequest {
    let hash = |block| conversation.wrapping_mul(1_000_003).wrapping_add(block);
    RouteRequest {
        customer: name(&customer(0)),
        kind: RouteKind::Pair(ModelRequirements {
            target: target(),
            prefix_hashes: (0..PROMPT_BLOCKS).map(hash).collect(),
            prompt_tokens: Tokens(PROMPT_BLOCKS * 256),
            prompt_bytes: 0,
            output_max_tokens: Tokens(200),
            due_us,
        }),
        allowed: Vec::new(),
        excluded: Vec::new(),
        is_retry: false,
    }
}

impl Load {
    fn new(servers: usize) -> Self {
        let size = ListSize {
            customers: CUSTOMERS_COUNT,
            parts: 1,
            engines: servers,
        };
        let lists = snapshot(size, 1).check().expect("valid lists");
        Self::with(Arc::new(lists), Arc::new(hosts(servers, 0, 1)))
    }

    fn with(lists: Arc<Lists>, hosts: Arc<HostList>) -> Self {
        let now = TimeUs(1_000_000_000);
        let mut membership = Membership::new();
        membership.update_hosts(now, &hosts);
        Self {
            router: router(&lists, &hosts),
            membership,
            lists,
            hosts,
            now,
            count: 0,
        }
    }

    fn decide(&mut self, request: &RouteRequest) -> Route {
        self.count += 1;
        self.now = self.now + STEP;
        let view = View(&self.membership);
        let route = self.router.route(self.now, &view, request);
        route.expect("a route")
    }

    /// Replies of both servers of a pair.
    fn observe(&mut self, route: &Route, times: &mut Times) {
        let Route::Pair {
            decode, prefill, ..
        } = route
        else {
            return;
        };
        for server in [decode, prefill] {
            let running_count = u32::try_from(self.count % 20).unwrap_or(0);
            let state = AgentState {
                server: server.clone(),
                incarnation: Incarnation(1),
                load: LoadReport {
                    free_slots: Slots(20 - running_count),
                    free_pieces: KvPieces(100),
                    running_count,
                    pending_prompt_tokens: Tokens(self.count % 7 * 1_000),
                    ..LoadReport::default()
                },
                ..AgentState::default()
            };
            times.time(|| {
                self.membership.record_report(self.now, &state);
                self.router.record_report(self.now, &state);
            });
        }
    }
}
