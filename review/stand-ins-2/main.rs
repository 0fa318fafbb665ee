//! Cases of the second review, each against the project's own processes on loopback addresses.
//!
//! `cases NAME RECORD` writes what happened into the file RECORD. It exits with 1 if the rule was broken,
//! with 0 if it held and with 2 if the case could not run. With `TROUBLE=0` in the environment, the
//! disruption is left out.

mod foreign_entries;
mod http;
mod proxy;
mod restored_store;
mod runner;
mod slow_readers;
mod store;
mod system;
mod two_owners;

use std::fs::{self, File};
use std::io::Write;
use std::panic;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a writable folder");
        Self(Arc::new(Mutex::new(file)), Instant::now())
    }

    pub fn line(&self, text: &str) {
        let ms = self.1.elapsed().as_millis();
        let mut file = self.0.lock().expect("an intact lock");
        let _ = writeln!(file, "{:7}.{:03} s  {text}", ms / 1_000, ms % 1_000);
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.1.elapsed()
    }

    /// A line that is also printed.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// What a case needs beside its own parts.
pub struct Context {
    pub record: Record,
    pub has_trouble: bool,
    /// Temporary folder for settings and logs.
    pub directory: PathBuf,
}

/// Whether the rule held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = arguments.as_slice() else {
        eprintln!("usage: cases NAME RECORD");
        std::process::exit(2);
    };
    let directory = std::env::temp_dir().join(format!("cuminlead-review-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("a writable temporary folder");
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(Path::new(path));
    let context = Context { record, has_trouble, directory: directory.clone() };
    context.record.say(&format!("case {name}, disruption: {has_trouble}"));
    let case = match name.as_str() {
        "slow-readers" => slow_readers::run as fn(&Context) -> Verdict,
        "two-owners" => two_owners::run_limit,
        "two-owners-quota" => two_owners::run_quota,
        "restored-store" => restored_store::run,
        "foreign-entries" => foreign_entries::run,
        _ => not_run,
    };
    let verdict = panic::catch_unwind(panic::AssertUnwindSafe(|| case(&context)));
    let verdict = verdict.unwrap_or(Verdict::NotRun);
    context.record.say(&format!("verdict: {verdict:?}"));
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&directory);
    } else {
        println!("logs: {}", directory.display());
    }
    std::process::exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    });
}

fn not_run(_: &Context) -> Verdict {
    Verdict::NotRun
}

/// Key of the only tenant.
pub const API_KEY: &str = "k-7d2c91";

/// Configuration of a plain service with one route and one tenant.
pub fn plain_config(kind: &str, timeout_ms: u64) -> String {
    tenant_config(kind, timeout_ms, 0)
}

/// The same with a limit of the tenant, in tokens a second and at once; 0 for none.
pub fn tenant_config(kind: &str, timeout_ms: u64, tokens: usize) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"roster.example\",\"prefix\":\"/app/\",\
         \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":200,\"priority\":1,\
         \"service\":\"roster-app\",\"max_attempts\":1}}],\
         \"services\":[{{\"name\":\"roster-app\",\"health_path\":\"/health\",\"max_connections\":190,\
         \"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"note-summariser\",\"health_path\":\"/health\",\"max_connections\":244,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":12,\"kv_capacity\":72189,\"kv_token_bytes\":96256,\
         \"kv_hold_s\":0.5,\"stage_switch_s\":6.0,\"hold_ms\":2000.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"tenants\":[{{\"name\":\"t-1\",\"api_keys\":[\"{API_KEY}\"],\"unit\":\"tokens\",\
         \"plain_tokens\":200,\"rate_per_s\":{tokens},\"burst\":{tokens}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Request of a caller to the plain service.
pub fn plain_request(method: &str, id: &str, deadline_ms: u64, body: &str) -> String {
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    format!(
        "{method} /app/item HTTP/1.1\r\nHost: roster.example\r\nRequest-Id: {id}\r\nApi-Key: {API_KEY}\r\n\
         Deadline-Ms: {deadline_ms}\r\n{length}\r\n{body}"
    )
}

/// Request without a body that states its tokens.
pub fn tokens_request(id: &str, deadline_ms: u64, tokens: usize) -> String {
    let counts = format!("Token-Counts: {},80\r\nDeadline-Ms", tokens - 80);
    plain_request("GET", id, deadline_ms, "").replacen("Deadline-Ms", &counts, 1)
}
