//! Another writer has entries in the store, of a service that the configuration does not name, with
//! the addresses of sound runners. Then the day ends with a final fault: all processes are killed.

use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::runner::{Capacity, Runner, write_answer};
use crate::store::Store;
use crate::system::{Process, free_port, wait_until_ready};
use crate::{Context, Record, Verdict, http, plain_config, plain_request};

const DEADLINE_MS: u64 = 2_000;
const INTERVAL: Duration = Duration::from_millis(50);
const BEFORE_FAULT: Duration = Duration::from_secs(8);
const AFTER_RECOVERY: Duration = Duration::from_secs(10);
const DOWN: Duration = Duration::from_millis(1_000);
/// `recover_s` of the site.
const RECOVER: Duration = Duration::from_secs(15);
/// Time between two writes of a runner's entry (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub fn run(context: &Context) -> Verdict {
    let ip = IpAddr::from([127, 0, 0, 1]);
    let store = Store::start();
    store.put("op/config", &plain_config("safe", DEADLINE_MS));
    let run = Arc::new(|_: &Runner, request: &http::Message, writer: &mut TcpStream| {
        thread::sleep(Duration::from_millis(15));
        write_answer(writer, request, &[b'a'; 800])
    });
    let mut runners = Vec::new();
    for number in 1..=3 {
        let capacity = Capacity { slots: 6, queue: 24 };
        let id = format!("i-{number}");
        let runner = Runner::start(ip, &id, "roster-app", None, capacity, &context.record, run.clone());
        store.put(&runner.key(), &runner.entry("ready"));
        runners.push(runner);
    }
    {
        let (store, runners) = (store.clone(), runners.clone());
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                for runner in &runners {
                    store.renew(&runner.key(), &runner.entry_with("ready", sequence));
                }
            }
        });
    }
    let ports = [0; 3].map(|_: u16| free_port());
    let start = || Process::entry_at(&context.directory, "front-pa-a-1", store.address, ports[0], ports);
    let mut entry = start();
    if !entry.wait_until_ready(Duration::from_secs(15)) {
        return Verdict::NotRun;
    }
    let half = BEFORE_FAULT / 2;
    let (mut served, mut sent) = send(entry.address, "a", half, &context.record);
    if context.has_trouble {
        for runner in &runners {
            let key = format!("servers/x-{}", runner.id);
            context.record.say(&format!("another writer writes {key}"));
            store.put(&key, &foreign_entry(runner.address));
        }
    }
    let (more_served, more_sent) = send(entry.address, "b", half, &context.record);
    context.record.say(&format!(
        "before the final fault: {served} of {sent} served, then {more_served} of {more_sent}"
    ));
    served += more_served;
    sent += more_sent;
    context.record.say("final fault: all processes are killed");
    entry.kill();
    thread::sleep(DOWN);
    entry = start();
    let back_at = Instant::now();
    let is_ready = wait_until_ready(entry.ready_address, RECOVER);
    context.record.say(&format!("the entry is back, ready: {is_ready} after {:?}", back_at.elapsed()));
    thread::sleep(RECOVER.saturating_sub(back_at.elapsed()));
    let (after_served, after_sent) = send(entry.address, "c", AFTER_RECOVERY, &context.record);
    context.record.say(&format!(
        "sent later than recover_s after it: {after_served} of {after_sent} served; entry ended: {}",
        entry.has_ended()
    ));
    let was_served = served * 4 >= sent;
    if was_served && after_served * 4 < after_sent { Verdict::Broken } else { Verdict::Held }
}

/// Entry of a service that the configuration does not name.
fn foreign_entry(address: SocketAddr) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    format!(
        "{{\"service\":\"host-metrics\",\"address\":\"{address}\",\"zone\":\"pa-a\",\"version\":\"v1\",\"slots\":1,\
         \"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,\"born\":{now}}}"
    )
}

/// Sends requests for a while; returns how many were served and sent. A requester retries once, on a
/// new channel, after the time that it is told.
fn send(address: SocketAddr, phase: &str, time: Duration, record: &Record) -> (usize, usize) {
    let began = Instant::now();
    let mut requesters = Vec::new();
    while began.elapsed() < time {
        let (record, id) = (record.clone(), format!("{phase}{:05x}", requesters.len()));
        requesters.push(thread::spawn(move || {
            for attempt in 0..2 {
                let id = format!("{id}{attempt}");
                record.line(&format!("requester sends {id}"));
                let (status, wait) = request(address, &id);
                record.line(&format!("requester of {id}: {status}"));
                if status == 200 {
                    return true;
                }
                thread::sleep(wait);
            }
            false
        }));
        thread::sleep(INTERVAL);
    }
    let sent = requesters.len();
    let served = requesters.into_iter().filter_map(|requester| requester.join().ok()).filter(|served| *served).count();
    (served, sent)
}

/// Status of the answer, 0 without one, and the time after which to come back.
fn request(address: SocketAddr, id: &str) -> (u16, Duration) {
    let no_answer = (0, Duration::from_millis(200));
    let Ok(mut stream) = TcpStream::connect(address) else { return no_answer };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
    let _ = stream.write_all(plain_request("GET", id, DEADLINE_MS, "").as_bytes());
    let mut reader = BufReader::new(stream);
    let Ok(Some(mut answer)) = http::read_head(&mut reader) else { return no_answer };
    if http::read_body(&mut reader, &mut answer) == http::BodyEnd::BrokenOff {
        return no_answer;
    }
    let wait = answer.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.2);
    (answer.status(), Duration::from_secs_f64(f64::min(wait, 0.6)))
}
