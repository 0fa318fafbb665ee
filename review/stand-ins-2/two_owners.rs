//! The store turns one entry away while an engine is taken out of service.
//!
//! Three entries get the same load, which is more than a limit allows: that of a runner which names
//! one, or that of a tenant. The engine that leaves stands beside the agent that owns the permits or
//! the tenant's usage; its entry is removed while the store turns one entry away. The runner counts
//! what arrives.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::proxy::Proxy;
use crate::runner::{Capacity, Runner, write_head};
use crate::store::Store;
use crate::system::{Process, free_port};
use crate::{Context, Record, Verdict, http, tenant_config, tokens_request};

const DEADLINE_MS: u64 = 2_000;
/// `stable_ms` of the site.
const STABLE: Duration = Duration::from_secs(5);
const BEFORE: Duration = Duration::from_secs(12);
/// Time for which the store turns one entry away, the longest of the site file.
const TURNED_AWAY: Duration = Duration::from_secs(9);
/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_secs(4);
/// Engines; one of them is less than the share that the site file takes out of service.
const ENGINES_COUNT: u8 = 8;
/// Time after which an entry that passed on an answer with the limit counts.
const TOLD_AFTER: Duration = Duration::from_millis(500);

/// The limit that is exceeded, and how it is judged.
#[derive(Clone, Copy)]
struct Plan {
    /// Requests a second that the runner says it takes from all machines together.
    server_limit_per_s: Option<usize>,
    /// Rate and burst of the tenant in tokens; 0 for no limit.
    tenant_tokens: usize,
    /// Requests a second to each entry.
    load_per_s: u32,
    window: Duration,
    arrivals_max_count: usize,
}

/// Tokens of each request.
const TOKENS: usize = 5_080;

/// Limit of a runner: one and a half times what it allows in 4 s, and five.
pub fn run_limit(context: &Context) -> Verdict {
    let limit_per_s = 20;
    run(context, Plan {
        server_limit_per_s: Some(limit_per_s),
        tenant_tokens: 0,
        load_per_s: 40,
        window: Duration::from_secs(4),
        arrivals_max_count: limit_per_s * 4 * 3 / 2 + 5,
    })
}

/// Limit of a tenant: `quota_window_s` 8, `quota_over` 0.25 and `quota_slack` 73,000 of the site.
pub fn run_quota(context: &Context) -> Verdict {
    let tenant_tokens = 50_000;
    let allowed_tokens = (tenant_tokens * 8 + tenant_tokens) * 5 / 4 + 73_000;
    run(context, Plan {
        server_limit_per_s: None,
        tenant_tokens,
        load_per_s: 20,
        window: Duration::from_secs(8),
        arrivals_max_count: allowed_tokens / TOKENS,
    })
}

/// Arrivals at the runner: the request's id, whose first letter names the entry, and the time.
type Arrivals = Arc<Mutex<Vec<(String, Instant)>>>;
/// When each request was sent, by its id.
type Sent = Arc<Mutex<HashMap<String, Instant>>>;

fn run(context: &Context, plan: Plan) -> Verdict {
    let store = Store::start();
    store.put("op/config", &tenant_config("safe", DEADLINE_MS, plan.tenant_tokens));
    let arrivals: Arrivals = Arc::default();
    let sent: Sent = Arc::default();
    let plain = plain_runner(context, plan, &arrivals);
    store.put(&plain.key(), &plain.entry("ready"));
    let ports = [0; 2].map(|_: u16| free_port());
    let (mut agents, mut engines, mut paths) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..ENGINES_COUNT {
        let ip = IpAddr::from([127, 0, 0, 2 + number]);
        let capacity = Capacity { slots: 12, queue: 2 };
        let idle = Arc::new(|_: &Runner, _: &http::Message, _: &mut TcpStream| false);
        let id = format!("e-{number}");
        let stage = if number < 2 { "prefill" } else { "decode" };
        let engine = Runner::start(ip, &id, "note-summariser", Some(stage), capacity, &context.record, idle);
        store.put(&engine.key(), &engine.entry("ready"));
        agents.push(Process::agent(&context.directory, store.address, engine.address, ports[0]));
        paths.push(Proxy::start(SocketAddr::new(ip, ports[1]), SocketAddr::new(ip, ports[0])));
        engines.push(engine);
    }
    let turns_away: Arc<AtomicBool> = Arc::default();
    let gate = store.at_gate(&turns_away);
    let entries: Vec<_> = [('a', gate.address), ('b', store.address), ('c', store.address)]
        .into_iter()
        .map(|(letter, store)| {
            let name = format!("front-pa-{letter}-1");
            (letter, Process::entry(&context.directory, &name, store, ports[1]))
        })
        .collect();
    let all = agents.iter().chain(entries.iter().map(|(_, entry)| entry));
    if !all.into_iter().all(|process| process.wait_until_ready(Duration::from_secs(15))) {
        return Verdict::NotRun;
    }
    let began = Instant::now();
    let ends_at = began + BEFORE + TURNED_AWAY;
    let told: Vec<_> = entries
        .iter()
        .map(|(letter, entry)| {
            let (letter, address) = (*letter, entry.address);
            let (record, sent) = (context.record.clone(), Arc::clone(&sent));
            thread::spawn(move || send(letter, address, plan.load_per_s, ends_at, &record, &sent))
        })
        .collect();
    thread::sleep(BEFORE - DRAIN);
    // The agent that is asked for permits has had nearly all traffic.
    let before: Vec<_> = paths.iter().map(Proxy::bytes_count).collect();
    let owner = (0..paths.len()).max_by_key(|index| before[*index]).unwrap_or(0);
    context.record.say(&format!("bytes between the entries and the agents: {before:?}"));
    let leaving = &engines[owner];
    context.record.say(&format!("planned work: engine {} reports that it is draining", leaving.id));
    store.put(&leaving.key(), &leaving.entry("draining"));
    thread::sleep(DRAIN);
    if context.has_trouble {
        context.record.say("the store turns entry a away");
        turns_away.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(200));
    }
    context.record.say(&format!("engine {} has left; its entry is removed", leaving.id));
    store.remove(&leaving.key());
    let told: Vec<Option<Instant>> = told.into_iter().map(|told| told.join().unwrap_or(None)).collect();
    let after: Vec<_> = paths.iter().map(Proxy::bytes_count).zip(&before).map(|(after, before)| after - before).collect();
    context.record.say(&format!("bytes from then on: {after:?}"));
    judge(context, plan, &arrivals, &sent, began, &told)
}

fn plain_runner(context: &Context, plan: Plan, arrivals: &Arrivals) -> Runner {
    let ip = IpAddr::from([127, 0, 0, 1]);
    let arrivals = Arc::clone(arrivals);
    let run = Arc::new(move |_: &Runner, request: &http::Message, writer: &mut TcpStream| {
        let id = request.header("request-id").unwrap_or_default();
        arrivals.lock().expect("an intact lock").push((id.to_string(), Instant::now()));
        thread::sleep(Duration::from_millis(15));
        let limit = plan.server_limit_per_s.map(|limit| limit.to_string());
        let mut headers = vec![
            ("Request-Id", id),
            ("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("Content-Length", "4"),
        ];
        headers.extend(limit.iter().map(|limit| ("Server-Limit", limit.as_str())));
        write_head(writer, "200 OK", &headers) && writer.write_all(b"done").is_ok()
    });
    let capacity = Capacity { slots: 6, queue: 24 };
    Runner::start(ip, "i-1", "roster-app", None, capacity, &context.record, run)
}

/// Counts the arrivals of each window. Under a runner's limit, from [`STABLE`] after the first answer
/// with it, and from entries that have passed on such an answer.
fn judge(context: &Context, plan: Plan, arrivals: &Arrivals, sent: &Sent, began: Instant, told: &[Option<Instant>]) -> Verdict {
    let first = told.iter().flatten().min().copied();
    if plan.server_limit_per_s.is_some() && first.is_none() {
        return Verdict::NotRun;
    }
    let told_at = |letter: char| told[usize::from(u8::try_from(letter).unwrap_or(b'a') - b'a')];
    let arrivals = arrivals.lock().expect("an intact lock");
    let sent = sent.lock().expect("an intact lock");
    let is_told = |id: &str, at: Instant| {
        let letter = id.chars().next().unwrap_or('a');
        told_at(letter).is_some_and(|told| at >= told + TOLD_AFTER)
    };
    // The rule of tenants counts what is both sent and run in the window.
    let from = |id: &str, at: Instant| match plan.server_limit_per_s {
        Some(_) => at,
        None => sent.get(id).copied().unwrap_or(at),
    };
    let counted: Vec<_> = arrivals
        .iter()
        .filter(|(id, at)| plan.server_limit_per_s.is_none() || is_told(id, *at))
        .map(|(id, at)| (from(id, *at), *at))
        .filter(|(_, at)| plan.server_limit_per_s.is_none() || first.is_some_and(|first| *at >= first + STABLE))
        .collect();
    let counts = counted.iter().map(|(start, _)| {
        let is_within = |(from, at): &&(Instant, Instant)| *from >= *start && *at < *start + plan.window;
        (counted.iter().filter(is_within).count(), *start)
    });
    let (most, start) = counts.max().unwrap_or((0, began));
    context.record.say(&format!(
        "arrivals: {}; most in {:?}: {most}, from {:.1} s on; allowed: {}",
        arrivals.len(), plan.window, (start - began).as_secs_f64(), plan.arrivals_max_count
    ));
    if most > plan.arrivals_max_count { Verdict::Broken } else { Verdict::Held }
}

/// Sends requests at a steady rate; returns when the entry first passed on an answer with the limit.
fn send(letter: char, address: SocketAddr, load_per_s: u32, ends_at: Instant, record: &Record, sent: &Sent) -> Option<Instant> {
    let told: Arc<Mutex<Option<Instant>>> = Arc::default();
    let began = Instant::now();
    let mut requesters = Vec::new();
    for number in 0.. {
        let due = began + Duration::from_secs(1) * number / load_per_s;
        if due >= ends_at {
            break;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let (record, told, id) = (record.clone(), Arc::clone(&told), format!("{letter}{number:07x}"));
        sent.lock().expect("an intact lock").insert(id.clone(), Instant::now());
        requesters.push(thread::spawn(move || {
            record.line(&format!("requester sends {id}"));
            let (status, names_limit) = request(address, &id);
            record.line(&format!("requester of {id}: {status}"));
            if names_limit {
                told.lock().expect("an intact lock").get_or_insert(Instant::now());
            }
        }));
    }
    for requester in requesters {
        let _ = requester.join();
    }
    let told = *told.lock().expect("an intact lock");
    told
}

fn request(address: SocketAddr, id: &str) -> (u16, bool) {
    let Ok(mut stream) = TcpStream::connect(address) else { return (0, false) };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
    let _ = stream.write_all(tokens_request(id, DEADLINE_MS, TOKENS).as_bytes());
    let mut reader = BufReader::new(stream);
    match http::read_head(&mut reader) {
        Ok(Some(answer)) => (answer.status(), answer.header("server-limit").is_some()),
        _ => (0, false),
    }
}
