//! A key is passed on from one tenant to another; then the store comes back from a copy that is some
//! seconds old, and a machine is added before the operator has written the configuration again.

use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::runner::{Capacity, Runner, write_answer};
use crate::store::Store;
use crate::system::{Process, free_port};
use crate::{API_KEY, Context, Verdict, http, plain_config, plain_request};

const DEADLINE_MS: u64 = 2_000;
/// Time between the copy and the restore.
const COPY_AGE: Duration = Duration::from_secs(4);
/// Time from the restore until the operator has written the configuration again.
const REWRITE: Duration = Duration::from_millis(2_000);

pub fn run(context: &Context) -> Verdict {
    let ip = IpAddr::from([127, 0, 0, 1]);
    let store = Store::start();
    store.put("op/config", &plain_config("safe", DEADLINE_MS));
    let tenants: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let run = {
        let (tenants, record) = (Arc::clone(&tenants), context.record.clone());
        Arc::new(move |_: &Runner, request: &http::Message, writer: &mut TcpStream| {
            let id = request.header("request-id").unwrap_or_default().to_string();
            let tenant = request.header("tenant").unwrap_or("none").to_string();
            record.line(&format!("{id} runs with Tenant {tenant}"));
            tenants.lock().expect("an intact lock").push((id, tenant));
            thread::sleep(Duration::from_millis(15));
            write_answer(writer, request, &[b'a'; 800])
        })
    };
    let capacity = Capacity { slots: 6, queue: 24 };
    let runner = Runner::start(ip, "i-1", "roster-app", None, capacity, &context.record, run);
    store.put(&runner.key(), &runner.entry("ready"));
    let first = Process::entry(&context.directory, "front-pa-a-1", store.address, free_port());
    if !first.wait_until_ready(Duration::from_secs(15)) {
        return Verdict::NotRun;
    }
    let copy = store.copy();
    thread::sleep(COPY_AGE / 2);
    let passed_on = plain_config("safe", DEADLINE_MS)
        .replace("\"version\":7", "\"version\":8")
        .replace("\"name\":\"t-1\"", "\"name\":\"t-2\"");
    store.put("op/config", &passed_on);
    context.record.say(&format!("version 8 is confirmed: key {API_KEY} is now that of t-2, no longer of t-1"));
    thread::sleep(COPY_AGE / 2);
    send(first.address, "a", 5, context);
    if context.has_trouble {
        store.restore(&copy);
        context.record.say("the store is back from a copy of version 7");
    }
    let restored_at = Instant::now();
    let second = Process::entry(&context.directory, "front-pa-a-2", store.address, free_port());
    context.record.say("planned work: a machine is added");
    if !second.wait_until_ready(REWRITE) {
        return Verdict::NotRun;
    }
    context.record.say(&format!("it is ready after {:?}", restored_at.elapsed()));
    while restored_at.elapsed() < REWRITE {
        send(second.address, "b", 1, context);
        send(first.address, "c", 1, context);
        thread::sleep(Duration::from_millis(100));
    }
    store.put("op/config", &passed_on);
    context.record.say("the operator has written version 8 again");
    thread::sleep(Duration::from_secs(1));
    send(second.address, "d", 5, context);
    let tenants = tenants.lock().expect("an intact lock");
    let of = |phase: &str, tenant: &str| {
        tenants.iter().filter(|(id, name)| id.starts_with(phase) && name == tenant).count()
    };
    let wrong: usize = ["a", "b", "c", "d"].iter().map(|phase| of(phase, "t-1")).sum();
    context.record.say(&format!(
        "ran as t-2: {} before, {} at the first and {} at the added machine, {} at the end; as t-1: {} at the added machine, {wrong} in all",
        of("a", "t-2"), of("c", "t-2"), of("b", "t-2"), of("d", "t-2"), of("b", "t-1")
    ));
    if wrong > 0 { Verdict::Broken } else { Verdict::Held }
}

fn send(address: SocketAddr, phase: &str, count: usize, context: &Context) {
    for _ in 0..count {
        let id = format!("{phase}{:08x}", context.record.elapsed().as_micros());
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
        let _ = stream.write_all(plain_request("GET", &id, DEADLINE_MS, "").as_bytes());
        context.record.line(&format!("requester sends {id}"));
        let mut reader = BufReader::new(stream);
        if let Ok(Some(mut answer)) = http::read_head(&mut reader) {
            let end = http::read_body(&mut reader, &mut answer);
            context.record.line(&format!("requester of {id}: {} {end:?}", answer.status()));
        }
    }
}
