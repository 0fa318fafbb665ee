//! A runner crashes, and the runner that resumes one of its streams fails with a long answer.
//!
//! The entry adds the body of the failure to the stream, and the stream ends as complete.

#[path = "../stand-ins-3/common.rs"]
mod common;

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::{
    Body, EngineState, Head, Record, Store, answer_command, finish, free_address, has_trouble,
    loopback, send, serve, server_entry, shared_port, start_agent, start_entry, start_watchdog,
    unix_ms, wait_until_ready,
};

/// Pieces of a whole stream, and the time between two.
const PIECES: u64 = 70;
const PIECE_INTERVAL: Duration = Duration::from_millis(60);
/// Crashes of two runners at a time: the first, the time between two, and the time until a
/// runner has started again.
const FIRST_CRASH: Duration = Duration::from_secs(6);
const CRASH_INTERVAL: Duration = Duration::from_secs(4);
const CRASHED_FOR: Duration = Duration::from_secs(2);
const CRASHES: u8 = 20;
/// Size of the failure answers of the runner in trouble.
const FAILURE_BYTES: usize = 300_000;
/// Share of its runs that the runner in trouble fails, in percent.
const FAILED_PERCENT: u64 = 45;
/// The runner is in trouble for 6.5 s at a time, again and again.
const TROUBLE_FOR_S: f64 = 6.5;
const TROUBLE_EVERY_S: f64 = 8.0;
/// Runners: one that reads prompts, and those that make tokens. One of them is in trouble.
const RUNNERS: u8 = 8;
const IN_TROUBLE: &str = "i-decode1";
const REQUESTS: u64 = 930;
/// 10 requests a second, as the sheet has for each 8 runners in a burst of 1.9.
const REQUEST_INTERVAL: Duration = Duration::from_millis(97);

/// State of a runner that its crashes change.
struct Life {
    is_down: AtomicBool,
    born: AtomicU64,
}

fn piece(request: &str, number: u64) -> String {
    format!("id: {number}\ndata: {request} piece {number}\n\n")
}

/// What a whole stream holds.
fn whole(request: &str) -> String {
    (1..=PIECES).map(|number| piece(request, number)).collect()
}

/// Failure report of a runner: paragraphs with blank lines between them.
fn failure_report(size: usize) -> Vec<u8> {
    let mut text = String::from("model runner failed\n\n");
    let mut thread_number = 0;
    while text.len() < size {
        thread_number += 1;
        text.push_str(&format!("thread {thread_number}\n  at step()\n  at run()\n\n"));
    }
    text.into_bytes()
}

/// Runs a request: the whole stream, or what comes after the last event that the caller has.
fn run(
    stream: &TcpStream,
    head: &Head,
    life: &Life,
    runs: &Runs,
    record: &Record,
    name: &str,
) -> bool {
    let id = head.get("request-id").unwrap_or_default().to_string();
    let after = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let number = {
        let mut runs = runs.lock().unwrap();
        let number = runs.entry(id.clone()).or_insert(0_u32);
        *number += 1;
        *number
    };
    record.line(&format!("{name} runs {id} after event {after}, run {number}"));
    let draw = id.bytes().fold(7_u64, |sum, byte| sum.wrapping_mul(31) + u64::from(byte)) % 100;
    let born = life.born.load(Ordering::SeqCst);
    let is_in_trouble = record.seconds() % TROUBLE_EVERY_S < TROUBLE_FOR_S;
    if has_trouble() && is_in_trouble && name == IN_TROUBLE && draw < FAILED_PERCENT {
        let headers = format!(
            "Request-Id: {id}\r\nResponse-Signature: {name}.{id}.500\r\nContent-Type: text/plain\r\n"
        );
        let report = failure_report(FAILURE_BYTES);
        record.line(&format!("{name} answers {id} with 500 and {} bytes", report.len()));
        return common::respond(stream, 500, &headers, &report);
    }
    let mut writer = stream;
    let start = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {name}.{id}.200\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if writer.write_all(start.as_bytes()).is_err() {
        return false;
    }
    for number in after + 1..=PIECES {
        let text = piece(&id, number);
        if life.is_down.load(Ordering::SeqCst) || life.born.load(Ordering::SeqCst) != born {
            let _ = write!(writer, "{:x}\r\n{}", text.len(), &text[..text.len() / 2]);
            record.line(&format!("{name} crashes and breaks off {id} in event {number}"));
            return false;
        }
        if write!(writer, "{:x}\r\n{text}\r\n", text.len()).is_err() {
            return false;
        }
        thread::sleep(PIECE_INTERVAL);
    }
    writer.write_all(b"0\r\n\r\n").is_ok()
}

type Runs = Arc<Mutex<HashMap<String, u32>>>;

fn config() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-brief\",\"host\":\"ficu95.example\",\"prefix\":\"/brief/\",\
     \"kind\":\"streaming\",\"timeout_ms\":14000,\"target_latency_ms\":800,\"priority\":0,\
     \"service\":\"model\",\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":300}],\
     \"services\":[{\"name\":\"model\",\"health_path\":\"/health\",\"max_connections\":244,\
     \"engine\":{\"slots\":12,\"kv_capacity\":72189,\"kv_hold_s\":0.5,\"hold_ms\":2000.0}}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000}}"
        .to_string()
}

fn main() {
    let record = Record::create("review/11/record.txt");
    start_watchdog(Duration::from_secs(112));
    let store = Store::new();
    store.put("op/config", &config());
    let store_address = store.listen(free_address(loopback(1)), || false);
    let runs = Runs::default();
    let ips: Vec<_> = (11..11 + RUNNERS).map(loopback).collect();
    let agent_port = shared_port(&ips);
    let born = unix_ms() - 600_000;
    let mut crashing = Vec::new();
    for (index, ip) in ips.iter().enumerate() {
        let stage = if index == 0 { "prefill" } else { "decode" };
        let name = format!("i-{stage}{index}");
        let life = Arc::new(Life { is_down: AtomicBool::new(false), born: AtomicU64::new(born) });
        let (runs, record, served_as) = (Arc::clone(&runs), record.clone(), name.clone());
        let lived = Arc::clone(&life);
        let engine = serve(free_address(*ip), move |stream: &TcpStream, head: &Head, _: &Body| {
            if lived.is_down.load(Ordering::SeqCst) {
                return false;
            }
            let state = EngineState { stage, born: lived.born.load(Ordering::SeqCst), notice: "" };
            answer_command(stream, head, &state)
                .unwrap_or_else(|| run(stream, head, &lived, &runs, &record, &served_as))
        });
        let entry = server_entry("model", engine, 12, Some(stage), born);
        store.put(&format!("servers/{name}"), &entry);
        start_agent(index as u8 + 1, store_address, engine, agent_port);
        if name != IN_TROUBLE && stage == "decode" {
            crashing.push((name, engine, life));
        }
    }
    let entry = start_entry(1, store_address, agent_port);
    wait_until_ready(&entry);
    thread::sleep(Duration::from_millis(700));

    let broken_ids: Arc<Mutex<Vec<String>>> = Arc::default();
    if has_trouble() {
        let (store, record) = (store.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(FIRST_CRASH);
            for number in 0..CRASHES {
                let first = usize::from(number) * 2;
                let pair = [first, first + 1].map(|index| &crashing[index % crashing.len()]);
                for (name, _, life) in pair {
                    record.line(&format!("{name} crashes"));
                    life.is_down.store(true, Ordering::SeqCst);
                }
                thread::sleep(CRASHED_FOR);
                for (name, address, life) in pair {
                    // It starts again under its id.
                    let born = unix_ms();
                    life.born.store(born, Ordering::SeqCst);
                    life.is_down.store(false, Ordering::SeqCst);
                    let entry = server_entry("model", *address, 12, Some("decode"), born);
                    store.put(&format!("servers/{name}"), &entry);
                    record.line(&format!("{name} has started again"));
                }
                thread::sleep(CRASH_INTERVAL - CRASHED_FOR);
            }
        });
    }
    let whole_count = Arc::new(Mutex::new(0));
    let mut callers = Vec::new();
    for number in 1..=REQUESTS {
        let id = format!("q{number}");
        let (record, address) = (record.clone(), entry.callers);
        let (broken_ids, whole_count) = (Arc::clone(&broken_ids), Arc::clone(&whole_count));
        callers.push(thread::spawn(move || {
            let headers = format!(
                "Host: ficu95.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Counts: 500,80\r\n\
                 Prefix-Hash: a{number}:200,own{number}:300\r\nDeadline-Ms: 14000\r\n"
            );
            record.line(&format!("caller sends {id}"));
            let wait = Duration::from_millis(3_200);
            let answer = send(address, "POST", "/brief/x", &headers, b"prompt", wait);
            let Ok(answer) = answer else {
                record.line(&format!("{id}: the channel ended without an answer"));
                return;
            };
            let (text, expected) = (answer.text(), whole(&id));
            let is_part = expected.starts_with(&text);
            let verdict = match (answer.status, answer.is_complete) {
                (200, true) if text == expected => "the whole stream",
                (200, false) if is_part => "a part of the stream, and it does not look complete",
                (200, true) => "BROKEN: a success that looks complete and is not the stream",
                (200, false) => "other bytes, and it does not look complete",
                _ => "a failure",
            };
            let line = format!(
                "{id}: {} {}, {} bytes, last event {:?}: {verdict}",
                answer.status,
                if answer.is_complete { "complete" } else { "incomplete" },
                text.len(),
                text.lines().filter(|line| line.starts_with("id: ")).next_back().unwrap_or_default(),
            );
            if verdict.starts_with("BROKEN") {
                broken_ids.lock().unwrap().push(id.clone());
                record.say(&line);
            } else {
                *whole_count.lock().unwrap() += u64::from(verdict == "the whole stream");
                record.line(&line);
            }
        }));
        thread::sleep(REQUEST_INTERVAL);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let (broken_ids, whole_count) = (broken_ids.lock().unwrap(), *whole_count.lock().unwrap());
    let broken_count = broken_ids.len();
    record.say(&format!("{REQUESTS} requests, {whole_count} whole streams, {broken_count} broken"));
    if whole_count < REQUESTS / 2 {
        common::not_run("less than half of the streams were served");
    }
    for line in common::logs("front").lines() {
        if broken_ids.iter().any(|id| line.ends_with(&format!("request={id}"))) {
            record.line(&format!("log of the entry: {line}"));
        }
    }
    finish(i32::from(broken_count > 0));
}
