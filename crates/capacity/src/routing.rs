//! Measures the decisions of a router, its memory and the installation of new lists.

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
    CUSTOMERS_COUNT, ENGINES_COUNT, ListSize, customer, hosts, name, prompt_parts, snapshot, target,
};
use crate::measure::{Timings, measure_heap};

const SERVER_COUNTS: [usize; 3] = [23, 230, ENGINES_COUNT];
const DECISIONS: u64 = 50_000;
/// Decisions that an entry at the design scale makes within the 60 s for which prefixes are
/// retained, at 10.5 per second. The memory is measured after them.
const DECISIONS_WITHIN_PREFIX_RETENTION: u64 = 630;
const DECISION_INTERVAL: DurationUs = DurationUs(95_000);
const APPLY_REPEATS: usize = 7;
const CONVERSATIONS: u64 = 500;
const PROMPT_BLOCKS: u64 = 40;

/// Adapts the membership to the interface of the router, as an entry does.
struct MembershipView<'a>(&'a Membership);

impl Usability for MembershipView<'_> {
    fn is_usable(&self, now: TimeUs, server: &BackendServerId) -> bool {
        self.0.is_usable(now, server)
    }

    fn is_preferred(&self, now: TimeUs, server: &BackendServerId) -> bool {
        self.0.is_preferred(now, server)
    }
}

/// Router with the state on which its decisions depend.
struct RouterDriver {
    router: Router,
    membership: Membership,
    lists: Arc<Lists>,
    hosts: Arc<HostList>,
    now: TimeUs,
    count: u64,
}

pub(crate) fn run(report: &mut Report) {
    for servers in SERVER_COUNTS {
        decisions(report, servers, DurationUs::from_ms(2_000), "in_time");
        decisions(report, servers, DurationUs::ZERO, "late");
        memory(report, servers);
        apply_times(report, servers);
    }
}

fn decisions(report: &mut Report, servers: usize, due: DurationUs, case: &str) {
    let mut driver = RouterDriver::new(servers);
    let (mut routes, mut observes) = (Timings::default(), Timings::default());
    for _ in 0..DECISIONS {
        let route_request = route_request(driver.count % CONVERSATIONS, due);
        let route = routes.time(|| driver.decide(&route_request));
        driver.observe(&route, &mut observes);
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
    let driver = RouterDriver::new(servers);
    let (lists, hosts) = (Arc::clone(&driver.lists), Arc::clone(&driver.hosts));
    let heap = measure_heap(|| router(&lists, &hosts));
    report.add("router_heap_by_servers", "bytes", servers, heap.bytes);
    let heap = measure_heap(|| {
        let mut driver = RouterDriver::with(Arc::clone(&lists), Arc::clone(&hosts));
        let mut observes = Timings::default();
        for _ in 0..DECISIONS_WITHIN_PREFIX_RETENTION {
            let route_request =
                route_request(driver.count % CONVERSATIONS, DurationUs::from_ms(2_000));
            let route = driver.decide(&route_request);
            driver.observe(&route, &mut observes);
        }
        driver
    });
    report.add(
        "router_and_membership_heap_in_use_by_servers",
        "bytes",
        servers,
        heap.bytes,
    );
}

fn apply_times(report: &mut Report, servers: usize) {
    let mut driver = RouterDriver::new(servers);
    let fewer = Arc::new(hosts(servers - 1, 0, 2));
    let (mut same, mut changed) = (Timings::default(), Timings::default());
    for _ in 0..APPLY_REPEATS {
        let (lists, all) = (Arc::clone(&driver.lists), Arc::clone(&driver.hosts));
        changed.time(|| driver.router.apply(Arc::clone(&lists), Arc::clone(&fewer)));
        driver.router.apply(Arc::clone(&lists), Arc::clone(&all));
        same.time(|| driver.router.apply(lists, all));
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
            prompt_parts: prompt_parts(hash(PROMPT_BLOCKS)),
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

impl RouterDriver {
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

    fn decide(&mut self, route_request: &RouteRequest) -> Route {
        self.count += 1;
        self.now = self.now + DECISION_INTERVAL;
        let view = MembershipView(&self.membership);
        let route = self.router.route(self.now, &view, route_request);
        route.expect("a route")
    }

    /// Records load reports of both servers of a pair, as their replies carry them.
    fn observe(&mut self, route: &Route, times: &mut Timings) {
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
