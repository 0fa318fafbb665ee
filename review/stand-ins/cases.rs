//! The cases.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{HOST, KeptChannels, Request, Seen, send};
use crate::record::Record;
use crate::runner::{EngineSize, Fleet, Runner, Trouble};
use crate::store::Store;
use crate::system::{self, Entry};

/// Whether the rule was broken, or why the case could not run.
type Verdict = Result<bool, String>;

pub fn play(case: &str, record: &str, has_trouble: bool) -> Verdict {
    let record = Record::create(record).map_err(|error| error.to_string())?;
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    match case {
        "foreign-handle" => foreign_handle(record, has_trouble),
        "run-twice" => run_twice(record, has_trouble),
        "silent-stream" => silent_stream(record, has_trouble),
        "stale-configuration" => stale_configuration(record, has_trouble),
        "large-bodies" => large_bodies(record, has_trouble),
        _ => Err(format!("unknown case {case}")),
    }
}

const ENGINE: &str = r#"{"slots":64,"kv_capacity":108296,"kv_token_bytes":163840,"link_mbps":8900000.0,"moves":true,"backups":true,"stride":74,"most":12,"kv_hold_s":0.5,"stage_switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}"#;

/// Configuration with the four kinds of requests of the sheets, and with further routes.
fn operator_config(version: u32, further_routes: &[String]) -> String {
    let route = |name: &str, rest: &str| {
        format!(r#"{{"name":"{name}","host":"{HOST}","prefix":"/{name}/",{rest}}}"#)
    };
    let stream = r#""kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"writers","sticky":true,"gap_aim_ms":300"#;
    let plain = r#""timeout_ms":4000,"target_latency_ms":400,"priority":2,"service":"desk""#;
    let mut routes = vec![
        route(
            "brief",
            &format!(r#"{stream},"max_attempts":1,"resumable":false"#),
        ),
        route(
            "summary",
            &format!(r#"{stream},"max_attempts":2,"resumable":true"#),
        ),
        route(
            "pickup",
            &format!(r#""kind":"unsafe",{plain},"max_attempts":2"#),
        ),
        route(
            "stock",
            &format!(r#""kind":"safe",{plain},"max_attempts":2"#),
        ),
    ];
    let further =
        |name: &String| route(name, &format!(r#""kind":"safe",{plain},"max_attempts":2"#));
    routes.extend(further_routes.iter().map(further));
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"writers","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{ENGINE}}},{{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(",")
    )
}

/// One entry, one prefill engine and some decode engines with their agents, and two plain runners.
struct Deployment {
    fleet: Arc<Fleet>,
    store: Store,
    prefill: Runner,
    decode: Vec<Runner>,
    _plain: Vec<Runner>,
    entry: Entry,
}

fn deploy(record: Record, decode_count: u8, size: EngineSize) -> Result<Deployment, String> {
    let fleet = Fleet::new(record);
    let store = Store::start().map_err(|error| error.to_string())?;
    let ip = |last: u8| IpAddr::from([127, 0, 0, last]);
    let engine =
        |id: &str, stage, last| Runner::start(&fleet, id, "writers", Some(stage), size, ip(last));
    let prefill = engine("i-prefill-1", "prefill", 11);
    let decode = (1..=decode_count).map(|n| engine(&format!("i-decode-{n}"), "decode", 20 + n));
    let decode: Vec<_> = decode.collect();
    let plain = |id: &str, last| Runner::start(&fleet, id, "desk", None, size, ip(last));
    let plain = vec![plain("i-desk-1", 12), plain("i-desk-2", 13)];
    store.put("op/config", &operator_config(7, &[]));
    for runner in decode.iter().chain(&plain).chain([&prefill]) {
        store.put(&format!("servers/{}", runner.id), &runner.entry());
    }
    let engines = decode.iter().chain([&prefill]);
    let ips: Vec<_> = engines.map(|engine| engine.address.ip()).collect();
    let place_port = system::common_port(&ips);
    for (number, engine) in decode.iter().chain([&prefill]).enumerate() {
        let name = format!("side-{number}");
        system::start_agent(&name, store.agent_address, engine.address, place_port);
    }
    let entry = Entry::start("front-1", store.entry_address, place_port);
    entry.wait_until_ready();
    // The agents read their engines' reports first.
    thread::sleep(Duration::from_millis(1_500));
    Ok(Deployment {
        fleet,
        store,
        prefill,
        decode,
        _plain: plain,
        entry,
    })
}

/// Time budget of a model request.
const MODEL_BUDGET: Duration = Duration::from_millis(14_000);
/// Length of the shared first part of each prompt.
const SHARED_TOKENS: u64 = 200;

fn model_headers(id: &str, prompt_tokens: u64) -> String {
    let own_tokens = prompt_tokens - SHARED_TOKENS;
    format!(
        "Model: m\r\nToken-Counts: {prompt_tokens},70\r\nPrefix-Hash: 5c1e07a2:{SHARED_TOKENS},{}:{own_tokens}\r\nLength-Hint: 70\r\n",
        &id[..8]
    )
}

/// Requests sent at random times, at `per_s` on average, until `until`.
struct Traffic {
    route: &'static str,
    per_s: f64,
    prompt_tokens: u64,
    body_bytes: usize,
    until: Instant,
}

/// What the requesters saw, and their kept channels.
#[derive(Clone, Default)]
struct Requesters {
    answers: Arc<Mutex<HashMap<String, Seen>>>,
    sent_at: Arc<Mutex<HashMap<String, Instant>>>,
    channels: Arc<KeptChannels>,
}

/// Sends the traffic and waits for all answers.
fn play_traffic(deployment: &Deployment, traffic: &Traffic, requesters: &Requesters) {
    let mut requests = Vec::new();
    let mut number = 0_u64;
    while Instant::now() < traffic.until {
        let fleet = Arc::clone(&deployment.fleet);
        let pause_s = -fleet.random().max(1e-9).ln() / traffic.per_s;
        thread::sleep(Duration::from_secs_f64(pause_s.min(2.0)));
        number += 1;
        let id = format!(
            "{:08x}{number:04}-{}",
            (fleet.random() * 4e9) as u64,
            traffic.route
        );
        let (entry, route) = (deployment.entry.callers, traffic.route);
        let (prompt_tokens, body_bytes) = (traffic.prompt_tokens, traffic.body_bytes);
        let requesters = requesters.clone();
        requests.push(thread::spawn(move || {
            let is_model = matches!(route, "brief" | "summary");
            let headers = if is_model {
                model_headers(&id, prompt_tokens)
            } else {
                String::new()
            };
            let is_get = route == "stock";
            let body = if is_get {
                String::new()
            } else {
                "b".repeat(body_bytes)
            };
            let request = Request {
                id: &id,
                method: if is_get { "GET" } else { "POST" },
                path: &format!("/{route}/2f"),
                headers: &headers,
                body: &body,
                deadline_ms: if is_model {
                    MODEL_BUDGET.as_millis() as u64
                } else {
                    4_000
                },
            };
            fleet.record.line(&format!("send {id}"));
            requesters
                .sent_at
                .lock()
                .expect("times")
                .insert(id.clone(), Instant::now());
            let seen = send(entry, &request, &requesters.channels);
            fleet.record.line(&format!(
                "answer {id}: status {}, signed {}, {} bytes, complete {}, {} ms",
                seen.status,
                seen.is_signed,
                seen.body.len(),
                seen.is_complete,
                seen.took.as_millis()
            ));
            requesters.answers.lock().expect("answers").insert(id, seen);
        }));
    }
    for request in requests {
        let _ = request.join();
    }
}

fn summarize(deployment: &Deployment, requesters: &Requesters) -> usize {
    let answers = requesters.answers.lock().expect("answers");
    let is_served = |seen: &&Seen| seen.status == 200 && seen.is_complete;
    let served_count = answers.values().filter(is_served).count();
    deployment.fleet.record.line(&format!(
        "{served_count} of {} requests served",
        answers.len()
    ));
    served_count
}

/// Length of one spell of second answers, and the pause before the next one.
const SPELL: Duration = Duration::from_millis(5_000);
const SPELL_PAUSE: Duration = Duration::from_millis(1_000);
/// Time for which handles lapse at once, and the interval at which that happens. A fifth of the
/// handles lapse, so the entry's retry budget covers the runs that follow.
const SHORT_HANDLES_PERIOD: Duration = Duration::from_millis(250);
const SHORT_HANDLES_INTERVAL: Duration = Duration::from_millis(1_250);
/// Share of a runner's answers that are sent twice.
const SECOND_ANSWERS_SHARE: f64 = 0.03;

/// Runs `begin` and `end` in turn, once for each spell, until the time is over.
fn play_spells(until: Instant, begin: impl Fn(), end: impl Fn()) {
    while Instant::now() + SPELL < until {
        begin();
        thread::sleep(SPELL);
        end();
        thread::sleep(SPELL_PAUSE);
    }
}

/// MIXED: a request goes on from the handle of another request.
fn foreign_handle(record: Record, has_trouble: bool) -> Verdict {
    let deployment = deploy(record, 2, EngineSize::default())?;
    let until = Instant::now() + Duration::from_secs(97);
    let requesters = Requesters::default();
    let traffic = Traffic {
        route: "brief",
        per_s: 7.0,
        prompt_tokens: 5_200,
        body_bytes: 5_000,
        until,
    };
    thread::scope(|scope| {
        scope.spawn(|| play_traffic(&deployment, &traffic, &requesters));
        if has_trouble {
            let prefill = &deployment.prefill;
            let trouble = Trouble::LateSecondAnswers {
                share: SECOND_ANSWERS_SHARE,
            };
            let begin = || prefill.set_trouble(trouble);
            play_spells(until, begin, || prefill.set_trouble(Trouble::None));
        }
    });
    let record = &deployment.fleet.record;
    let mut foreign_count = 0;
    for run in deployment.fleet.runs() {
        let Some(owner) = run.handle_of.filter(|owner| *owner != run.request) else {
            continue;
        };
        foreign_count += 1;
        record.line(&format!(
            "BROKEN: {} went on at {} from the handle of {owner}",
            run.request, run.runner
        ));
    }
    summarize(&deployment, &requesters);
    record.line(&format!(
        "{foreign_count} runs went on from the handle of another request"
    ));
    Ok(foreign_count > 0)
}

/// TWICE: a request that isn't idempotent runs more than once.
fn run_twice(record: Record, has_trouble: bool) -> Verdict {
    let deployment = deploy(record, 4, EngineSize::default())?;
    let until = Instant::now() + Duration::from_secs(97);
    let requesters = Requesters::default();
    let traffic = Traffic {
        route: "brief",
        per_s: 20.0,
        prompt_tokens: 1_500,
        body_bytes: 1_500,
        until,
    };
    thread::scope(|scope| {
        scope.spawn(|| play_traffic(&deployment, &traffic, &requesters));
        if has_trouble {
            // Three of five engines, the share of the pages.
            let (prefill, decode) = (&deployment.prefill, &deployment.decode[..3]);
            let trouble = Trouble::LateSecondAnswers {
                share: SECOND_ANSWERS_SHARE,
            };
            let begin = || decode.iter().for_each(|engine| engine.set_trouble(trouble));
            let end = || {
                decode
                    .iter()
                    .for_each(|engine| engine.set_trouble(Trouble::None))
            };
            scope.spawn(move || {
                while Instant::now() < until {
                    prefill.set_short_handles(true);
                    thread::sleep(SHORT_HANDLES_PERIOD);
                    prefill.set_short_handles(false);
                    thread::sleep(SHORT_HANDLES_INTERVAL - SHORT_HANDLES_PERIOD);
                }
            });
            play_spells(until, begin, end);
        }
    });
    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    for run in deployment.fleet.runs() {
        runs.entry(run.request).or_default().push(run.runner);
    }
    let record = &deployment.fleet.record;
    let mut twice_count = 0;
    for (request, runners) in runs.iter().filter(|(_, runners)| runners.len() > 1) {
        twice_count += 1;
        record.line(&format!(
            "BROKEN (TWICE): {request} ran at {}",
            runners.join(" and ")
        ));
    }
    let mut refused_count = 0;
    for (request, seen) in requesters.answers.lock().expect("answers").iter() {
        if let (429 | 503, Some(runners)) = (seen.status, runs.get(request)) {
            refused_count += 1;
            record.line(&format!(
                "BROKEN (REFUSED): {request} was answered {} and ran at {}",
                seen.status,
                runners.join(" and ")
            ));
        }
    }
    summarize(&deployment, &requesters);
    record.line(&format!("{twice_count} requests ran more than once"));
    record.line(&format!(
        "{refused_count} requests were answered 429 or 503 and ran"
    ));
    Ok(twice_count > 0 || refused_count > 0)
}

/// Memory of a `front` machine on the sheet of pampa-kioscos: 110 MB.
const MEMORY_MAX_KIB: u64 = 110 * 1_024;
/// Time until the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Largest body of the configuration (`max_body_bytes`).
const BODY_MAX_BYTES: usize = 4_194_304;
/// Length and strength of a burst.
const BURST: Duration = Duration::from_secs(4);
const BURST_FACTOR: f64 = 2.3;
const REQUESTS_PER_S: f64 = 4.0;

/// LOST: requests from kept channels are passed on to sound runners, and their channels close
/// without an answer, because the entry's memory exceeds its limit.
fn large_bodies(record: Record, has_trouble: bool) -> Verdict {
    let deployment = deploy(record, 4, EngineSize::default())?;
    let requesters = Requesters::default();
    let until = Instant::now() + Duration::from_secs(60);
    let stocks = Traffic {
        route: "stock",
        per_s: 40.0,
        prompt_tokens: 0,
        body_bytes: 0,
        until,
    };
    let usual = Traffic {
        route: "brief",
        per_s: REQUESTS_PER_S,
        prompt_tokens: 5_200,
        body_bytes: BODY_MAX_BYTES,
        until,
    };
    let memory = Mutex::new((0, 0));
    thread::scope(|scope| {
        scope.spawn(|| play_traffic(&deployment, &usual, &requesters));
        // Keeps more channels in use.
        scope.spawn(|| play_traffic(&deployment, &stocks, &requesters));
        scope.spawn(|| *memory.lock().expect("memory") = limit_memory(&deployment, until));
        while has_trouble && Instant::now() + BURST < until {
            thread::sleep(Duration::from_secs(6));
            let per_s = REQUESTS_PER_S * (BURST_FACTOR - 1.0);
            let until = Instant::now() + BURST;
            play_traffic(
                &deployment,
                &Traffic {
                    per_s,
                    until,
                    ..usual
                },
                &requesters,
            );
        }
    });
    let record = &deployment.fleet.record;
    let prompts_read = deployment.fleet.prompts_read();
    let mut lost_count = 0;
    for (request, seen) in requesters.answers.lock().expect("answers").iter() {
        let is_passed_on = prompts_read.contains(request);
        if seen.is_kept_channel && is_passed_on && seen.status == 0 {
            lost_count += 1;
            record.line(&format!(
                "lost: {request} was passed on, and its kept channel closed"
            ));
        }
    }
    summarize(&deployment, &requesters);
    let (highest, kills_count) = *memory.lock().expect("memory");
    record.line(&format!(
        "highest memory {highest} KiB of {MEMORY_MAX_KIB}, {kills_count} kills"
    ));
    record.line(&format!(
        "{lost_count} requests on kept channels lost after they were passed on"
    ));
    Ok(lost_count > 3)
}

/// Does what the platform does with a process over its memory limit: kills it and starts it again.
/// Returns the highest memory in KiB and the number of kills.
fn limit_memory(deployment: &Deployment, until: Instant) -> (u64, u32) {
    let (mut highest, mut kills_count) = (0, 0);
    while Instant::now() < until {
        let resident = deployment.entry.resident_kib();
        highest = resident.max(highest);
        if resident > MEMORY_MAX_KIB {
            kills_count += 1;
            deployment
                .fleet
                .record
                .line(&format!("entry uses {resident} KiB and is killed"));
            deployment.entry.kill();
            thread::sleep(RESTART_DELAY);
            deployment.entry.restart();
        }
        thread::sleep(Duration::from_millis(5));
    }
    (highest, kills_count)
}

/// Time for which an engine preempts a stream; requesters wait up to 3.6 s for an event.
const PREEMPTION: Duration = Duration::from_millis(2_500);
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(700);
const HANG_UP_INTERVAL: Duration = Duration::from_millis(8_000);
/// Time after a SIGHUP in which the requests are sent that the rule protects (`config_apply_ms`).
const PROTECTED_PERIOD: Duration = Duration::from_millis(2_500);

/// LOST: around a SIGHUP, a process has read a whole request, has passed it on to a runner, and the
/// channel ends without a complete answer.
fn silent_stream(record: Record, has_trouble: bool) -> Verdict {
    let size = EngineSize {
        slots: 12,
        event_interval: Duration::from_millis(60),
    };
    let deployment = deploy(record, 2, size)?;
    let requesters = Requesters::default();
    let until = Instant::now() + Duration::from_secs(60);
    let briefs = Traffic {
        route: "brief",
        per_s: 4.0,
        prompt_tokens: 5_200,
        body_bytes: 5_000,
        until,
    };
    let summaries = Traffic {
        route: "summary",
        per_s: 3.0,
        ..briefs
    };
    let hang_ups = Mutex::new(Vec::new());
    thread::scope(|scope| {
        scope.spawn(|| play_traffic(&deployment, &briefs, &requesters));
        scope.spawn(|| play_traffic(&deployment, &summaries, &requesters));
        scope.spawn(|| {
            thread::sleep(Duration::from_secs(8));
            for engine in deployment.decode.iter().cycle() {
                if Instant::now() >= until {
                    return;
                }
                engine.preempt_newest(PREEMPTION);
                thread::sleep(PREEMPTION_INTERVAL);
            }
        });
        while has_trouble && Instant::now() + HANG_UP_INTERVAL < until {
            thread::sleep(HANG_UP_INTERVAL);
            deployment.fleet.record.line("SIGHUP to the entry");
            hang_ups.lock().expect("times").push(Instant::now());
            deployment.entry.hang_up();
        }
    });
    let record = &deployment.fleet.record;
    let (hang_ups, sent_at) = (
        hang_ups.lock().expect("times"),
        requesters.sent_at.lock().expect("times"),
    );
    let (mut cut_count, mut lost_count) = (0, 0);
    for (request, seen) in requesters.answers.lock().expect("answers").iter() {
        // The rule doesn't count a request whose time budget was reached.
        if seen.status != 200 || seen.is_complete || seen.took >= MODEL_BUDGET {
            continue;
        }
        cut_count += 1;
        let sent_at = sent_at[request];
        let cut_at = sent_at + seen.took;
        let is_protected =
            |hang_up: &&Instant| sent_at < **hang_up + PROTECTED_PERIOD && cut_at > **hang_up;
        if hang_ups.iter().any(|hang_up| is_protected(&hang_up)) {
            lost_count += 1;
            record.line(&format!(
                "BROKEN: the stream of {request} was cut after {:?}",
                seen.took
            ));
        }
    }
    summarize(&deployment, &requesters);
    record.line(&format!("{cut_count} streams cut"));
    record.line(&format!("{lost_count} of them beside a SIGHUP"));
    Ok(lost_count > 0)
}

/// Routes by which the configuration grows: twice the 1,400 of one `big_config`.
const FURTHER_ROUTES_COUNT: usize = 2_800;
/// A `config_storm`: length, and the pause between two changes.
const STORM: Duration = Duration::from_millis(4_000);
const STORM_GAP: Duration = Duration::from_millis(330);
/// Time for which the store turns the entry away.
const TURNED_AWAY: Duration = Duration::from_millis(9_000);
/// `stable_ms` and `config_apply_ms` of the large site.
const STABLE: Duration = Duration::from_millis(5_000);
const CONFIG_APPLY: Duration = Duration::from_millis(5_000);

/// CONFIG: a machine in touch handles a request as only an older version of the configuration
/// allows: it answers 404 though the route is there.
fn stale_configuration(record: Record, has_trouble: bool) -> Verdict {
    let deployment = deploy(record, 2, EngineSize::default())?;
    let (fleet, store) = (&deployment.fleet, &deployment.store);
    let mut routes: Vec<_> = (0..FURTHER_ROUTES_COUNT)
        .map(|number| format!("further-{number:04}"))
        .collect();
    let mut version = 8;
    let mut write = |routes: &[String]| {
        version += 2;
        let config = operator_config(version, routes);
        store.put("op/config", &config);
        fleet.record.line(&format!(
            "version {version} confirmed, {} bytes",
            config.len()
        ));
    };
    write(&routes);
    thread::sleep(Duration::from_secs(5));
    let turned_away_at = Instant::now();
    if has_trouble {
        fleet.record.line("the store turns the entry away");
        store.turn_entries_away(true);
    }
    // Two storms, one after the other. Each change adds a route.
    for _ in 0..2 {
        let storm_began_at = Instant::now();
        while storm_began_at.elapsed() < STORM {
            routes.push(format!("added-{}", routes.len()));
            write(&routes);
            thread::sleep(STORM_GAP);
        }
    }
    let confirmed_at = Instant::now();
    thread::sleep(TURNED_AWAY.saturating_sub(turned_away_at.elapsed()));
    store.turn_entries_away(false);
    let served_again_at = Instant::now();
    fleet.record.line("the store serves the entry again");
    let newest = routes.last().cloned().unwrap_or_default();
    let (mut stale_count, mut asked_count) = (0, 0);
    let channels = KeptChannels::default();
    while served_again_at.elapsed() < Duration::from_secs(25) {
        thread::sleep(Duration::from_millis(200));
        let id = format!(
            "{:08x}{asked_count:04}-newest",
            (fleet.random() * 4e9) as u64
        );
        let is_judged = served_again_at.elapsed() > STABLE && confirmed_at.elapsed() > CONFIG_APPLY;
        let request = Request {
            id: &id,
            method: "GET",
            path: &format!("/{newest}/2f"),
            headers: "",
            body: "",
            deadline_ms: 4_000,
        };
        let seen = send(deployment.entry.callers, &request, &channels);
        asked_count += 1;
        let is_stale = is_judged && seen.status == 404;
        stale_count += u32::from(is_stale);
        let judged = if is_stale { "BROKEN: " } else { "" };
        fleet.record.line(&format!(
            "{judged}request {id} on route {newest}: status {}",
            seen.status
        ));
    }
    fleet.record.line(&format!(
        "{stale_count} of {asked_count} requests refused as by an older version, in touch"
    ));
    Ok(stale_count > 0)
}
