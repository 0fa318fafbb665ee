//! A plain service that is asked for more than it can run.
//!
//! Load: 6 servers with 6 slots, 60 ms for a request and room for 24 that wait; 30 entries send 200
//! requests a second, and 720 a second for 4 s. A rejected caller comes back after 500 ms, once. The
//! latency target is 400 ms; callers wait for 4 s.

use std::collections::VecDeque;

use cuminlead_direct_core::overload::{LateRequest, OverloadedServices};
use cuminlead_types::{DurationUs, ServiceName, TimeUs};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SERVERS: usize = 6;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const RUN_MS: u64 = 60;
const ENTRIES: usize = 30;
const TARGET_MS: u64 = 400;
const PATIENCE_MS: u64 = 4_000;
const RETRY_AFTER_MS: u64 = 500;

#[derive(Clone, Copy)]
struct Request {
    first_sent_ms: u64,
    sends_at_ms: u64,
    arrived_ms: u64,
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

fn late_request(request: &Request) -> LateRequest {
    LateRequest {
        arrived_at: at(request.arrived_ms),
        deadline: at(request.first_sent_ms + PATIENCE_MS),
        latency_target: DurationUs::from_ms(TARGET_MS),
    }
}

fn play(wait_max: DurationUs) -> Tally {
    let mut rng = SmallRng::seed_from_u64(35);
    let service: ServiceName = "orders".parse().expect("a valid fixture");
    let mut entries = vec![OverloadedServices::default(); ENTRIES];
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
                is_late: false,
                entry: rng.random_range(0..ENTRIES),
            });
        }
        let (now_due, later) = due.iter().partition(|request| request.sends_at_ms <= ms);
        due = later;
        for mut request in now_due {
            let late = late_request(&request);
            let overloaded = &entries[request.entry];
            if request.is_late && overloaded.must_wait(at(ms), &service, late, wait_max) {
                request.sends_at_ms = ms + 100;
                tally.waited_max_ms = tally.waited_max_ms.max(ms + 100 - request.arrived_ms);
                due.push(request);
                continue;
            }
            let server = &mut servers[rng.random_range(0..SERVERS)];
            if server.queue.len() < QUEUE {
                server.queue.push_back(request);
            } else if request.is_late {
                tally.unserved += 1;
            } else {
                entries[request.entry].record_rejection(at(ms), &service);
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

/// Guards against late requests that make others late while a service is overloaded, and against late
/// requests that are held until their callers give up.
#[test]
fn more_callers_are_served_on_time_and_no_fewer_in_all() {
    let (sent_at_once, waiting) = (play(DurationUs::ZERO), play(DurationUs::from_ms(2_000)));
    println!("sent at once {sent_at_once:?}\nwaiting {waiting:?}");
    assert_eq!(sent_at_once.waited_max_ms, 0);
    assert!(waiting.on_time > sent_at_once.on_time);
    assert!(waiting.unserved <= sent_at_once.unserved);
    assert!(waiting.waited_max_ms <= 2_100);
}

/// Guards against requests that wait without an overload, too long, or for another service.
#[test]
fn waits_only_while_it_helps() {
    let (orders, other): (ServiceName, ServiceName) = (
        "orders".parse().expect("a valid fixture"),
        "other".parse().expect("a valid fixture"),
    );
    let mut overloaded = OverloadedServices::default();
    let late = LateRequest {
        arrived_at: at(1_000),
        deadline: at(5_000),
        latency_target: DurationUs::from_ms(TARGET_MS),
    };
    let wait_max = DurationUs::from_ms(2_000);
    assert!(!overloaded.must_wait(at(1_000), &orders, late, wait_max));
    for (rejected_ms, asked_ms, waits) in [
        (1_000, 1_100, true),
        (1_000, 1_300, false),
        (2_950, 2_990, true),
        (2_950, 3_001, false),
    ] {
        overloaded.record_rejection(at(rejected_ms), &orders);
        let must_wait = overloaded.must_wait(at(asked_ms), &orders, late, wait_max);
        assert_eq!(must_wait, waits, "{rejected_ms} {asked_ms}");
        assert!(!overloaded.must_wait(at(asked_ms), &other, late, wait_max));
    }
    let soon = LateRequest {
        deadline: at(2_000),
        ..late
    };
    overloaded.record_rejection(at(1_200), &orders);
    assert!(!overloaded.must_wait(at(1_200), &orders, soon, wait_max));
}
