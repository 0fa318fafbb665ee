//! Room at an engine that is asked for three times what it holds.
//!
//! Load: requests of 2,000 to 12,000 tokens for 20 s at an engine for 72,000 tokens, each running for
//! one second. One team sends nine of ten; one request in five is urgent. A refused request asks
//! again every 60 ms for 1.6 s.

use cuminlead_direct_core::fair_share::{RoomRequest, TeamHoldings, WaitingRequests};
use cuminlead_direct_core::{
    Claim, EngineReport, RequestPriority, ReservationRequest, ReservationTable,
};
use cuminlead_types::{DurationUs, Slots, TimeUs, Tokens, UnixMs};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const MEMORY: Tokens = Tokens(72_000);
const RUN_MS: u64 = 1_000;
const POLL_MS: u64 = 60;
const PATIENCE_MS: u64 = 1_600;
const LOAD_MS: u64 = 20_000;

struct Waiting {
    request: ReservationRequest,
    is_small_team: bool,
    is_urgent: bool,
    is_large: bool,
    asks_at_ms: u64,
    gives_up_at_ms: u64,
}

/// Requests that were sent and served.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: u32,
    served: u32,
}

impl Count {
    fn add(&mut self, is_counted: bool, is_served: bool) {
        self.sent += u32::from(is_counted);
        self.served += u32::from(is_counted && is_served);
    }

    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }
}

#[derive(Debug, Default)]
struct Tally {
    all: Count,
    small_team: Count,
    urgent: Count,
    routine: Count,
    large: Count,
}

fn claim(is_small_team: bool, is_urgent: bool) -> Claim {
    let team = if is_small_team { "small" } else { "hot" };
    Claim {
        team: Some(team.parse().expect("a valid fixture")),
        priority: RequestPriority::new(if is_urgent { 0 } else { 2 }),
    }
}

fn next_request(rng: &mut SmallRng, ms: u64, number: u64, has_claims: bool) -> Waiting {
    let is_small_team = rng.random_range(0..10) == 0;
    let is_urgent = rng.random_range(0..5) == 0;
    let prompt_tokens = rng.random_range(2_000..12_000);
    Waiting {
        request: ReservationRequest {
            request: format!("r{number}"),
            prompt_tokens: Tokens(prompt_tokens),
            answer_tokens: Some(Tokens(500)),
            ttl: DurationUs::from_ms(RUN_MS),
            slots: Slots(12),
            is_late: false,
            computes_prompt: false,
            engine_started_at_ms: UnixMs(1),
            limit: None,
            claim: has_claims.then(|| claim(is_small_team, is_urgent)),
        },
        is_small_team,
        is_urgent,
        is_large: prompt_tokens >= 11_000,
        asks_at_ms: ms,
        gives_up_at_ms: ms + PATIENCE_MS,
    }
}

fn play(has_claims: bool) -> Tally {
    let mut rng = SmallRng::seed_from_u64(35);
    let mut table = ReservationTable::new();
    let report = EngineReport {
        total_tokens: MEMORY,
        started_at_ms: UnixMs(1),
        is_leaving: false,
        ..EngineReport::default()
    };
    table.apply_report(TimeUs(1), report);
    let (mut waiting, mut running): (Vec<Waiting>, Vec<(u64, String)>) = (Vec::new(), Vec::new());
    let mut tally = Tally::default();
    let mut number = 0;
    for ms in 0..LOAD_MS {
        // 30 requests of 7,000 tokens a second: three times the memory.
        if rng.random_range(0..1_000) < 30 {
            number += 1;
            waiting.push(next_request(&mut rng, ms, number, has_claims));
        }
        running.retain(|(ends_at_ms, request)| {
            if *ends_at_ms == ms {
                table.release_slot(request);
            }
            *ends_at_ms > ms
        });
        waiting.retain_mut(|asking| {
            if asking.asks_at_ms > ms {
                return true;
            }
            let now = TimeUs(ms * 1_000 + 1_000);
            let is_held = table.reserve_slot(now, &asking.request).is_held;
            asking.asks_at_ms = ms + POLL_MS;
            if is_held {
                running.push((ms + RUN_MS, asking.request.request.clone()));
            } else if ms < asking.gives_up_at_ms {
                return true;
            }
            tally.all.add(true, is_held);
            tally.small_team.add(asking.is_small_team, is_held);
            tally.urgent.add(asking.is_urgent, is_held);
            tally.routine.add(!asking.is_urgent, is_held);
            tally.large.add(asking.is_large, is_held);
            false
        });
    }
    tally
}

/// Guards against a team, a size or an urgent priority that gets too little of an engine's room while
/// another team asks for most of it. The shares are those of the plan: a team at least a quarter as
/// often as all, the largest requests at least half as often, urgent ones not behind routine ones.
#[test]
fn small_team_large_and_urgent_requests_get_their_share() {
    let (without, with) = (play(false), play(true));
    println!("without claims {without:?}\nwith claims {with:?}");
    assert!(with.small_team.share() >= with.all.share() / 4.0);
    assert!(with.small_team.share() > without.small_team.share());
    assert!(with.large.share() >= with.all.share() / 2.0);
    assert!(with.urgent.share() > with.routine.share());
}

struct Case {
    name: &'static str,
    waiting: (Claim, bool),
    asking: (Claim, bool),
    yields: bool,
}

fn room<'a>(request: &'a str, (claim, is_late): &'a (Claim, bool)) -> RoomRequest<'a> {
    RoomRequest {
        request,
        claim,
        is_late: *is_late,
    }
}

/// Guards against requests that wait for those behind them, or for requests that do not ask again.
#[test]
fn requests_yield_in_order() {
    let cases = [
        Case {
            name: "late after on time",
            waiting: (claim(false, false), false),
            asking: (claim(true, true), true),
            yields: true,
        },
        Case {
            name: "routine after urgent",
            waiting: (claim(false, true), false),
            asking: (claim(true, false), false),
            yields: true,
        },
        Case {
            name: "team over its share after one that holds nothing",
            waiting: (claim(true, true), false),
            asking: (claim(false, true), false),
            yields: true,
        },
        Case {
            name: "the same team",
            waiting: (claim(false, true), false),
            asking: (claim(false, true), false),
            yields: false,
        },
        Case {
            name: "urgent before routine of a team that holds nothing",
            waiting: (claim(true, false), false),
            asking: (claim(false, true), false),
            yields: false,
        },
    ];
    for case in cases {
        let mut holdings = TeamHoldings::default();
        holdings.add(claim(false, true).team.as_ref(), Tokens(10_000));
        let (waits, asks) = (room("w", &case.waiting), room("a", &case.asking));
        let mut waiting = WaitingRequests::default();
        let now = TimeUs(1_000_000);
        waiting.record_refused(now, waits);
        let yields = waiting.must_yield(now, asks, holdings.clone());
        assert_eq!(yields, case.yields, "{}", case.name);
        let later = now + DurationUs::from_ms(200);
        assert!(!waiting.must_yield(later, asks, holdings), "{}", case.name);
    }
}
