//! Leaving hosts, graceful shutdown and hand-over, with separate processes.

use std::time::{Duration, Instant};

use cuminlead_fleet::handover::{Balancer, Traffic};
use cuminlead_fleet::process::Signal;
use cuminlead_fleet::requests::{FleetGuard, Question, RawRequest};
use cuminlead_fleet::small::{Sizes, small};
use cuminlead_fleet::{Fleet, FleetConfig};
use serde_json::json;
use yare::parameterized;

const REQUEST_LIMIT: Duration = Duration::from_secs(120);
const STEP_LIMIT: Duration = Duration::from_secs(30);
/// P6: a leaving server receives no new work after this time.
const LEAVING_BOUND: Duration = Duration::from_secs(5);
/// Longest graceful shutdown in the design.
const SHUTDOWN_MAX: Duration = Duration::from_secs(120);
const PERMIT_TTL: Duration = Duration::from_secs(2);
const LONG_TOKENS: usize = 55;
/// Answers take several seconds.
const STEP_US: &str = "100000";

fn config(sizes: Sizes) -> FleetConfig {
    let mut config = FleetConfig::new(small(sizes));
    config.engine_arguments = vec!["--step-us".to_string(), STEP_US.to_string()];
    config
}

fn end_gracefully(fleet: &mut Fleet, name: &str) {
    let process = fleet.process(name).expect("process");
    process.signal(Signal::Terminate).expect("signal");
    let deadline = Instant::now() + SHUTDOWN_MAX;
    process.wait_for_clean_end(deadline).expect("clean end");
}

/// Guards against new work for a leaving server, and against a leaving or ending agent that cuts
/// off the requests that it works on.
#[test]
fn leaving_agent_gets_no_new_work_and_finishes_its_requests() {
    let _guard = FleetGuard::wait();
    let mut fleet = Fleet::start(config(Sizes {
        prefills: 1,
        decodes: 2,
        services: 0,
    }))
    .expect("start");
    let balancer = Balancer::default();
    for entry in ["entry-1", "entry-2"] {
        balancer.add(&fleet, entry, REQUEST_LIMIT).expect("add");
    }
    let traffic = Traffic::start(&balancer, fleet.config.deployment.model, 6);
    fleet
        .wait_for("both engines decode", STEP_LIMIT, |fleet| {
            Ok(
                !fleet.sequences("decode-1")?.is_empty()
                    && !fleet.sequences("decode-2")?.is_empty(),
            )
        })
        .expect("decode");
    fleet.publish_leaving("agent-decode-1").expect("publish");
    std::thread::sleep(LEAVING_BOUND);
    let running = fleet.sequences("decode-1").expect("sequences").len() as u64;
    let done = fleet.count("decode-1", "decodes").expect("counts");
    let enough = traffic.count() + 8;
    fleet
        .wait_for("requests go on", STEP_LIMIT, |_| {
            Ok(traffic.count() >= enough)
        })
        .expect("requests");
    fleet.config.shutdown_max = SHUTDOWN_MAX;
    fleet.end_leaving("agent-decode-1").expect("clean end");
    let seen = traffic.stop();
    assert!(seen.wrong.is_empty(), "{:?}", seen.wrong);
    assert!(seen.whole > 0);
    let done_at_end = fleet.count("decode-1", "decodes").expect("counts");
    assert!(
        done_at_end <= done + running,
        "{done_at_end} decodes at the end; {done} done and {running} running after the bound"
    );
}

/// Guards against a graceful shutdown that cuts off a stream.
#[parameterized(
    of_the_entry = { "entry-1" },
    of_the_decode_agent = { "agent-decode-1" },
)]
fn shutdown_mid_stream_cuts_nothing(name: &str) {
    let _guard = FleetGuard::wait();
    let sizes = Sizes {
        prefills: 1,
        decodes: 1,
        services: 0,
    };
    let mut fleet = Fleet::start(config(sizes)).expect("start");
    let question = Question::long("of a process that ends", LONG_TOKENS);
    let asked = fleet.ask_in_background("entry-1", &question, REQUEST_LIMIT);
    let asked = asked.expect("ask");
    fleet.wait_until_decoding(STEP_LIMIT).expect("decode");
    end_gracefully(&mut fleet, name);
    let received = asked.join().expect("asking thread").expect("answer");
    question.check(&received).expect("whole answer");
    assert_eq!(fleet.count("decode-1", "decodes").expect("counts"), 1);
    assert_eq!(fleet.count("prefill-1", "prefills").expect("counts"), 1);
}

/// Status and error code for each request of a table; the same lists give the same decisions.
fn decisions(fleet: &Fleet, entry: &str) -> Vec<String> {
    let body = fleet.body_of(&Question::new("of a decision", 2));
    let with = |key: &str, value: &str| {
        let mut body = body.clone();
        body[key] = json!(value);
        RawRequest::new("/v1/chat/completions", body)
    };
    let charge = |path: &str| RawRequest::new(path, json!({ "reference": "decision" }));
    let requests = [
        with("model", "repair-notes"),
        with("model", "no-such-model"),
        with("adapter", "kiosk"),
        with("adapter", "no-such-adapter"),
        with("version", "v9"),
        charge("/v1/services/no-such-service/charges"),
        charge("/v1/services/counter/charges").with("idempotency-key", "decision"),
    ];
    let answers = requests.iter().map(|request| {
        let answer = fleet.send(entry, request, REQUEST_LIMIT).expect("answer");
        let error = &answer.body["error"];
        format!("{} {} {}", answer.status, error["code"], error["outcome"])
    });
    answers.collect()
}

/// Guards against requests that are lost, cut off or run twice while a fleet is replaced process by
/// process, and against a new fleet that decides otherwise.
#[test]
fn fleet_is_replaced_while_requests_run() {
    let _guard = FleetGuard::wait();
    let sizes = Sizes {
        prefills: 2,
        decodes: 2,
        services: 2,
    };
    let mut config = FleetConfig::new(small(sizes));
    config.shutdown_max = SHUTDOWN_MAX;
    let mut fleet = Fleet::start(config).expect("start");
    let decided = decisions(&fleet, "entry-1");
    let revision = fleet.lists_revision("entry-1").expect("status");
    let balancer = Balancer::default();
    for entry in ["entry-1", "entry-2"] {
        balancer.add(&fleet, entry, REQUEST_LIMIT).expect("add");
    }
    let traffic = Traffic::start(&balancer, fleet.config.deployment.model, 4);
    for name in fleet.own_processes() {
        let done = work_done(&fleet, &name);
        balancer.remove(&name);
        fleet.replace(&name).expect("replace");
        fleet.wait_until_ready().expect("ready");
        if name.starts_with("entry") {
            balancer.add(&fleet, &name, REQUEST_LIMIT).expect("add");
        }
        wait_until_known(&fleet, &name);
        if let Some(done) = done {
            fleet
                .wait_for("the successor gets work", STEP_LIMIT, |fleet| {
                    Ok(work_done(fleet, &name) > Some(done))
                })
                .expect("work");
        }
        let enough = traffic.count() + 8;
        fleet
            .wait_for("requests go on", STEP_LIMIT, |_| {
                Ok(traffic.count() >= enough)
            })
            .expect("requests");
    }
    let seen = traffic.stop();
    std::thread::sleep(PERMIT_TTL);
    seen.check(&fleet.effects().expect("effects"))
        .expect("answered or truly not run");
    let refused = &seen.not_run;
    println!("whole={} not_run={refused:?}", seen.whole);
    assert!(
        refused.len() < seen.whole,
        "{} whole; {refused:?}",
        seen.whole
    );
    for entry in ["entry-1", "entry-2"] {
        assert_eq!(fleet.lists_revision(entry).expect("status"), revision);
        assert_eq!(decisions(&fleet, entry), decided);
    }
    fleet.stop().expect("clean end");
}

/// Work that the back end of an agent has done; none for an entry.
fn work_done(fleet: &Fleet, name: &str) -> Option<u64> {
    let server = name.strip_prefix("agent-")?;
    let counted = match server.split_once('-')?.0 {
        "prefill" => fleet.count(server, "prefills"),
        "decode" => fleet.count(server, "decodes"),
        _ => fleet
            .effects_of(server)
            .map(|effects| effects.values().sum()),
    };
    Some(counted.expect("counts"))
}

/// Waits until all processes know the host list in which the successor is live.
fn wait_until_known(fleet: &Fleet, name: &str) {
    let published = || fleet.read("platform", "address", "/v1/hosts");
    let revision = published().expect("hosts")["revision"].clone();
    for process in fleet.own_processes() {
        fleet
            .wait_for(
                &format!("{process} knows the new {name}"),
                STEP_LIMIT,
                |f| Ok(f.status(&process)?["hosts_revision"] == revision),
            )
            .expect("host list");
    }
}
