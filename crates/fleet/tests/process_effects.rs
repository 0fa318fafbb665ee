//! Non-idempotent calls when processes pause or restart, with separate processes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cuminlead_fleet::claims::{self, Claim};
use cuminlead_fleet::process::Signal;
use cuminlead_fleet::requests::{FleetGuard, Question};
use cuminlead_fleet::small::{Sizes, small};
use cuminlead_fleet::{Fleet, FleetConfig};

const REQUEST_LIMIT: Duration = Duration::from_secs(120);
const STEP_LIMIT: Duration = Duration::from_secs(30);
const MEMORY_BOUND: Duration = Duration::from_secs(30);
/// Longer than `permit_ttl_ms` (2 s).
const PAUSE: Duration = Duration::from_secs(3);
/// Longer than `orphan_ms` (5 s), so that the leases of a paused entry are gone.
const LONG_PAUSE: Duration = Duration::from_secs(7);
/// A permit that has not started by then never does.
const PERMIT_TTL: Duration = Duration::from_secs(2);
/// Staleness of the agents; earlier owners of a key may run it for this long. Longer than the 5 s
/// between two questions for a confirmation.
const KEY_STALENESS_MS: u64 = 15_000;
/// A key counts as new when it was issued this long after the first lists of the agent.
const KEY_MARGIN_MS: u64 = KEY_STALENESS_MS + 5_000;
const WORK_MS: &str = "100";
const LONG_TOKENS: usize = 55;
/// The answer takes longer than [`LONG_PAUSE`].
const STEP_US: &str = "150000";
const BOTH_ENTRIES: [&str; 2] = ["entry-1", "entry-2"];

fn counters() -> FleetConfig {
    let sizes = Sizes {
        services: 2,
        ..Sizes::default()
    };
    let mut config = FleetConfig::new(small(sizes));
    config.service_arguments = vec!["--work-ms".to_string(), WORK_MS.to_string()];
    let staleness = ("key_staleness_ms".to_string(), KEY_STALENESS_MS.to_string());
    config.agent_settings.extend([staleness]);
    config
}

/// Waits until at least `more` further calls are answered.
fn wait_for_charges(fleet: &Fleet, charges: &claims::Charges, more: usize) {
    let enough = charges.count() + more;
    fleet
        .wait_for("calls are answered", STEP_LIMIT, |_| {
            Ok(charges.count() >= enough)
        })
        .expect("answered calls");
}

/// Checks all claims once no permit can start any more.
fn check_claims(fleet: &Fleet, claims: &[claims::Claimed]) {
    std::thread::sleep(PERMIT_TTL);
    let effects = fleet.effects().expect("effects");
    claims::check(claims, &effects).expect("true claims");
    assert!(claims.iter().any(|claimed| claimed.claim == Claim::Ran));
}

/// Guards against a call that runs twice, or runs after it was reported as not run, because the
/// agent acts on a stale permit when it resumes.
#[test]
fn paused_agent_runs_no_call_twice() {
    let _guard = FleetGuard::wait();
    let mut fleet = Fleet::start(counters()).expect("start");
    let charges = fleet
        .charge_until_stopped(&BOTH_ENTRIES, 4, REQUEST_LIMIT)
        .expect("charges");
    wait_for_charges(&fleet, &charges, 8);
    let agent = "agent-counter-1";
    let signal = |fleet: &mut Fleet, signal| fleet.process(agent).expect("agent").signal(signal);
    signal(&mut fleet, Signal::Stop).expect("stop");
    std::thread::sleep(PAUSE);
    signal(&mut fleet, Signal::Continue).expect("continue");
    wait_for_charges(&fleet, &charges, 16);
    let claims = charges.stop();
    check_claims(&fleet, &claims);
    fleet.stop().expect("clean end");
}

/// Guards against a call that runs twice because the entry repeats it when it resumes.
#[test]
fn paused_entry_runs_no_call_twice() {
    let _guard = FleetGuard::wait();
    let mut fleet = Fleet::start(counters()).expect("start");
    let charges = fleet
        .charge_until_stopped(&BOTH_ENTRIES, 4, REQUEST_LIMIT)
        .expect("charges");
    wait_for_charges(&fleet, &charges, 8);
    let entry = "entry-1";
    let signal = |fleet: &mut Fleet, signal| fleet.process(entry).expect("entry").signal(signal);
    signal(&mut fleet, Signal::Stop).expect("stop");
    std::thread::sleep(LONG_PAUSE);
    signal(&mut fleet, Signal::Continue).expect("continue");
    wait_for_charges(&fleet, &charges, 16);
    let claims = charges.stop();
    check_claims(&fleet, &claims);
    fleet.stop().expect("clean end");
}

/// Guards against memory that a paused entry leaves held, and against a wrong answer when it
/// resumes with leases that are gone.
#[test]
fn paused_entry_resumes_its_answer_and_holds_no_memory() {
    let _guard = FleetGuard::wait();
    let sizes = Sizes {
        prefills: 1,
        decodes: 1,
        services: 0,
    };
    let mut config = FleetConfig::new(small(sizes));
    config.engine_arguments = vec!["--step-us".to_string(), STEP_US.to_string()];
    let mut fleet = Fleet::start(config).expect("start");
    let question = Question::long("of a paused entry", LONG_TOKENS);
    let asked = fleet.ask_in_background("entry-1", &question, REQUEST_LIMIT);
    let asked = asked.expect("ask");
    fleet.wait_until_decoding(STEP_LIMIT).expect("decode");
    let entry = fleet.process("entry-1").expect("entry");
    entry.signal(Signal::Stop).expect("stop");
    fleet
        .wait_until_memory_is_free(MEMORY_BOUND)
        .expect("free memory while the entry is paused");
    let entry = fleet.process("entry-1").expect("entry");
    entry.signal(Signal::Continue).expect("continue");
    let received = asked.join().expect("asking thread").expect("answer");
    question.check(&received).expect("whole answer");
    fleet
        .wait_until_memory_is_free(MEMORY_BOUND)
        .expect("free memory");
    fleet.stop().expect("clean end");
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.expect("time after 1970").as_millis()).expect("time in 64 bits")
}

/// Time from which on keys are new to every service agent of the fleet.
fn wait_for_new_keys(fleet: &Fleet) -> u64 {
    let incarnation_of = |agent: &str| {
        let status = fleet.status(agent).expect("status");
        status["incarnation"].as_u64().expect("incarnation")
    };
    let started_at = ["agent-counter-1", "agent-counter-2"].map(incarnation_of);
    // The agents apply the lists, which counts as a change of the servers, after their start.
    let now = unix_ms().max(started_at[0]).max(started_at[1]);
    let issued_at = now + KEY_MARGIN_MS;
    fleet
        .wait_for("keys count as new", STEP_LIMIT, |_| {
            Ok(unix_ms() >= issued_at)
        })
        .expect("time passes");
    issued_at
}

fn key_headers(key: &str, issued_at_ms: u64) -> Vec<(String, String)> {
    vec![
        ("idempotency-key".to_string(), key.to_string()),
        (
            "idempotency-issued-at-ms".to_string(),
            issued_at_ms.to_string(),
        ),
    ]
}

/// Guards against a second effect of one idempotency key, through another entry or after the
/// record of the key was lost with its agent.
#[test]
fn idempotency_key_has_one_effect() {
    let _guard = FleetGuard::wait();
    let mut fleet = Fleet::start(counters()).expect("start");
    let headers = key_headers("order-17", wait_for_new_keys(&fleet));
    let send = |fleet: &Fleet, entry: &str, reference: &str| {
        let charger = fleet.charger(entry, REQUEST_LIMIT).expect("charger");
        charger.send(reference, &headers).expect("answer")
    };
    let first = send(&fleet, "entry-1", "keyed");
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(send(&fleet, "entry-2", "keyed"), first);
    for agent in ["agent-counter-1", "agent-counter-2"] {
        fleet.process(agent).expect("agent").kill();
        fleet.restart(agent).expect("restart");
    }
    fleet.publish_hosts().expect("publish");
    for entry in BOTH_ENTRIES {
        // Until the entry knows the new address, the call is refused as not run.
        let limit = STEP_LIMIT;
        fleet
            .wait_for("the outcome is told to be unknown", limit, |fleet| {
                let answer = send(fleet, entry, "keyed");
                assert!([503, 504].contains(&answer.status), "{answer:?}");
                Ok(answer.body["error"]["outcome"] == "unknown")
            })
            .expect("unknown outcome");
    }
    let effects = fleet.effects().expect("effects");
    assert_eq!(effects.get("keyed"), Some(&1), "{effects:?}");
    fleet.stop().expect("clean end");
}
