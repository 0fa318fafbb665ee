//! A plain service that is asked for more than it can run.
//!
//! Load: 6 servers with 6 slots, 80 ms for a request and room for 24 that wait; 30 entries send 200
//! requests a second, and 600 a second for 4 s. A rejected caller comes back after 500 ms, once. The
//! latency target is 400 ms; callers wait for 4 s.

use std::collections::VecDeque;

use cuminlead_direct_core::overload::{
    OverloadConfig, OverloadDecision, PlainRequest, ServiceLoads,
};
use cuminlead_types::{DurationUs, ServiceName, TimeUs};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SERVERS: usize = 6;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const RUN_MS: u64 = 80;
const ENTRIES: usize = 30;
const TARGET_MS: u64 = 400;
const PATIENCE_MS: u64 = 4_000;
const RETRY_AFTER_MS: u64 = 500;

#[derive(Clone, Copy)]
struct Request {
    first_sent_ms: u64,
    sends_at_ms: u64,
    arrived_ms: u64,
    sent_ms: u64,
    is_late: bool,
    entry: usize,
}

#[derive(Clone, Default)]
struct Server {
    running: Vec<(u64, Request)>,
    queue: VecDeque<Request>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    on_time: u32,
    late: u32,
    unserved: u32,
    waited_max_ms: u64,
}

fn at(ms: u64) -> TimeUs {
    TimeUs((ms + 1) * 1_000)
}

fn plain_request(request: &Request) -> PlainRequest {
    PlainRequest {
        arrived_at: at(request.arrived_ms),
        deadline: at(request.first_sent_ms + PATIENCE_MS),
        latency_target: DurationUs::from_ms(TARGET_MS),
        is_late: request.is_late,
    }
}

fn play(config: OverloadConfig) -> Tally {
    let mut rng = SmallRng::seed_from_u64(35);
    let service: ServiceName = "orders".parse().expect("a valid fixture");
    let mut entries = vec![ServiceLoads::default(); ENTRIES];
    let mut servers = vec![Server::default(); SERVERS];
    let (mut due, mut tally): (Vec<Request>, Tally) = (Vec::new(), Tally::default());
    for ms in 0..12_000 {
        let per_s = if (2_000..6_000).contains(&ms) {
            720
        } else {
            200
        };
        if rng.random_range(0..1_000) < per_s {
            due.push(Request {
                first_sent_ms: ms,
                sends_at_ms: ms,
                arrived_ms: ms,
                sent_ms: ms,
                is_late: false,
                entry: rng.random_range(0..ENTRIES),
            });
        }
        let (now_due, later) = due.iter().partition(|request| request.sends_at_ms <= ms);
        due = later;
        for mut request in now_due {
            let load = &mut entries[request.entry];
            let asked = plain_request(&request);
            let decision = load.decide(at(ms), &service, asked, config, &mut rng);
            if decision == OverloadDecision::Wait {
                request.sends_at_ms = ms + 100;
                tally.waited_max_ms = tally.waited_max_ms.max(ms + 100 - request.arrived_ms);
                due.push(request);
                continue;
            }
            let server = &mut servers[rng.random_range(0..SERVERS)];
            if decision == OverloadDecision::Send && server.queue.len() < QUEUE {
                request.sent_ms = ms;
                server.queue.push_back(request);
            } else if request.is_late {
                tally.unserved += 1;
            } else {
                if decision == OverloadDecision::Send {
                    let target = DurationUs::from_ms(TARGET_MS);
                    load.record_rejection(at(ms), &service, target);
                }
                request.is_late = true;
                request.arrived_ms = ms + RETRY_AFTER_MS;
                request.sends_at_ms = request.arrived_ms;
                // Retries reach another entry.
                request.entry = rng.random_range(0..ENTRIES);
                due.push(request);
            }
        }
        for server in &mut servers {
            server.running.retain(|(ends_ms, request)| {
                if *ends_ms == ms {
                    let took_ms = ms - request.first_sent_ms;
                    let latency = DurationUs::from_ms(ms - request.sent_ms);
                    entries[request.entry].record_response(at(ms), &service, latency);
                    let is_on_time = took_ms <= TARGET_MS;
                    tally.on_time += u32::from(is_on_time);
                    tally.late += u32::from(!is_on_time && took_ms <= PATIENCE_MS);
                    tally.unserved += u32::from(took_ms > PATIENCE_MS);
                }
                *ends_ms > ms
            });
            while server.running.len() < SLOTS
                && let Some(request) = server.queue.pop_front()
            {
                server.running.push((ms + RUN_MS, request));
            }
        }
    }
    tally
}

const PRODUCT: OverloadConfig = OverloadConfig {
    shed_at_percent: 65,
    late_wait_max: DurationUs::from_ms(2_000),
};

/// Guards against an overloaded service whose responses are all a little late, and against late
/// requests that make others late or are held until their callers give up.
#[test]
fn more_callers_are_served_on_time_and_no_fewer_in_all() {
    let (sent_at_once, held_back) = (play(OverloadConfig::default()), play(PRODUCT));
    println!("sent at once {sent_at_once:?}\nheld back {held_back:?}");
    assert_eq!(sent_at_once.waited_max_ms, 0);
    assert!(held_back.on_time > sent_at_once.on_time);
    assert!(held_back.unserved <= sent_at_once.unserved);
    assert!(held_back.waited_max_ms <= 2_100);
}

struct Case {
    name: &'static str,
    latency_ms: u64,
    rejected_ms: Option<u64>,
    asked_ms: u64,
    request: PlainRequest,
    decision: OverloadDecision,
}

const ON_TIME: PlainRequest = PlainRequest {
    arrived_at: TimeUs(10_000_000),
    deadline: TimeUs(14_000_000),
    latency_target: DurationUs::from_ms(TARGET_MS),
    is_late: false,
};

const LATE: PlainRequest = PlainRequest {
    is_late: true,
    ..ON_TIME
};

const CASES: &[Case] = &[
    Case {
        name: "service within its target",
        latency_ms: 200,
        rejected_ms: None,
        asked_ms: 10_000,
        request: ON_TIME,
        decision: OverloadDecision::Send,
    },
    Case {
        name: "service that is far too late",
        latency_ms: 900,
        rejected_ms: None,
        asked_ms: 10_000,
        request: ON_TIME,
        decision: OverloadDecision::Refuse,
    },
    Case {
        name: "a while after the last response",
        latency_ms: 900,
        rejected_ms: None,
        asked_ms: 11_000,
        request: ON_TIME,
        decision: OverloadDecision::Send,
    },
    Case {
        name: "late request during an overload",
        latency_ms: 900,
        rejected_ms: None,
        asked_ms: 10_000,
        request: LATE,
        decision: OverloadDecision::Wait,
    },
    Case {
        name: "late request after a rejection",
        latency_ms: 100,
        rejected_ms: Some(9_900),
        asked_ms: 10_000,
        request: LATE,
        decision: OverloadDecision::Wait,
    },
    Case {
        name: "late request that has waited for long",
        latency_ms: 900,
        rejected_ms: Some(12_000),
        asked_ms: 12_001,
        request: LATE,
        decision: OverloadDecision::Send,
    },
    Case {
        name: "late request whose caller gives up soon",
        latency_ms: 900,
        rejected_ms: Some(10_000),
        asked_ms: 10_000,
        request: PlainRequest {
            deadline: TimeUs(10_800_000),
            ..LATE
        },
        decision: OverloadDecision::Send,
    },
];

/// Guards against requests that are refused or held without an overload, or for another service.
#[test]
fn requests_are_held_back_only_in_an_overload() {
    let [orders, other]: [ServiceName; 2] =
        ["orders", "other"].map(|name| name.parse().expect("a valid fixture"));
    for case in CASES {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut loads = ServiceLoads::default();
        for ms in 9_000..10_000 {
            let latency = DurationUs::from_ms(case.latency_ms);
            loads.record_response(at(ms), &orders, latency);
        }
        if let Some(ms) = case.rejected_ms {
            loads.record_rejection(at(ms), &orders, case.request.latency_target);
        }
        let now = at(case.asked_ms);
        let decision = loads.decide(now, &orders, case.request, PRODUCT, &mut rng);
        assert_eq!(decision, case.decision, "{}", case.name);
        let decision = loads.decide(now, &other, case.request, PRODUCT, &mut rng);
        assert_eq!(decision, OverloadDecision::Send, "{}", case.name);
    }
}
