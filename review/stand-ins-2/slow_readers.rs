//! Requesters that pause while they read an answer.
//!
//! Each asks for one document of 300 KB, reads its beginning, pauses for ten seconds and reads the
//! rest, all within its time budget. The stand-in of the platform kills an entry that exceeds the
//! memory of its machine and starts it again, as the pages say.

use std::io::{BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::runner::{Capacity, Runner, write_answer};
use crate::store::Store;
use crate::system::{Process, free_port};
use crate::{Context, Record, Verdict, http, plain_config, plain_request};

/// Memory of the smallest `front` machines of the site.
const MACHINE_BYTES: u64 = 88 * 1024 * 1024;
const ANSWER_BYTES: usize = 300 * 1024;
/// Requests to each entry, and the time between two of them.
const REQUESTS_COUNT: usize = 2_600;
const INTERVAL: Duration = Duration::from_millis(16);
const PAUSE: Duration = Duration::from_secs(10);
const DEADLINE_MS: u64 = 14_000;
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Ends of one machine's processes from which the machine counts, and the machines that count.
const ENDS_COUNT: usize = 3;
const MACHINES_COUNT: usize = 2;

#[derive(Default)]
struct Counts {
    whole: AtomicUsize,
    refused: AtomicUsize,
    unconnected: AtomicUsize,
    cut: AtomicUsize,
}

pub fn run(context: &Context) -> Verdict {
    let ip = IpAddr::from([127, 0, 0, 1]);
    let store = Store::start();
    store.put("op/config", &plain_config("safe", DEADLINE_MS));
    let document = vec![b'd'; ANSWER_BYTES];
    let run = Arc::new(move |_: &Runner, request: &http::Message, writer: &mut TcpStream| {
        thread::sleep(Duration::from_millis(15));
        write_answer(writer, request, &document)
    });
    for number in 1..=6 {
        let capacity = Capacity { slots: 6, queue: 24 };
        let id = format!("i-{number}");
        let runner = Runner::start(ip, &id, "roster-app", None, capacity, &context.record, run.clone());
        store.put(&runner.key(), &runner.entry("ready"));
    }
    let machines: Vec<_> = (1..=MACHINES_COUNT)
        .map(|number| Machine::start(context, &format!("front-pa-a-{number}"), store.address))
        .collect();
    if !machines.iter().all(|machine| machine.wait_until_ready()) {
        return Verdict::NotRun;
    }
    let counts: Arc<Counts> = Arc::default();
    let crowds: Vec<_> = machines
        .iter()
        .enumerate()
        .map(|(crowd, machine)| {
            let (address, ends) = (machine.address, Arc::clone(&machine.ends));
            let (record, pauses, counts) = (context.record.clone(), context.has_trouble, Arc::clone(&counts));
            thread::spawn(move || send_crowd(address, crowd, pauses, &ends, &record, &counts))
        })
        .collect();
    for crowd in crowds {
        let _ = crowd.join();
    }
    let ends: Vec<_> = machines.iter().map(|machine| machine.ends.load(Ordering::SeqCst)).collect();
    let peaks: Vec<_> = machines.iter().map(|machine| *machine.peak_bytes.lock().expect("an intact lock") / 1024).collect();
    drop(machines);
    context.record.say(&format!(
        "read whole: {}; refused: {}; not connected: {}; cut off: {}",
        counts.whole.load(Ordering::SeqCst), counts.refused.load(Ordering::SeqCst),
        counts.unconnected.load(Ordering::SeqCst), counts.cut.load(Ordering::SeqCst)
    ));
    context.record.say(&format!(
        "ends of the machines' processes: {ends:?}; peak memory in KiB: {peaks:?} of {}",
        MACHINE_BYTES / 1024
    ));
    let counted = ends.iter().filter(|ends| **ends >= ENDS_COUNT).count();
    if counted >= MACHINES_COUNT { Verdict::Broken } else { Verdict::Held }
}

/// A `front` machine: kills its entry when it exceeds the machine's memory, and starts it again.
struct Machine {
    address: SocketAddr,
    ready_address: SocketAddr,
    ends: Arc<AtomicUsize>,
    peak_bytes: Arc<Mutex<u64>>,
    is_stopped: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Machine {
    fn start(context: &Context, name: &str, store: SocketAddr) -> Self {
        let ip = IpAddr::from([127, 0, 0, 1]);
        let (ports, agent_port) = ([0; 3].map(|_: u16| free_port()), free_port());
        let (directory, name, record) = (context.directory.clone(), name.to_string(), context.record.clone());
        let (ends, peak_bytes): (Arc<AtomicUsize>, Arc<Mutex<u64>>) = Default::default();
        let is_stopped: Arc<AtomicBool> = Arc::default();
        let shared = (Arc::clone(&ends), Arc::clone(&peak_bytes), Arc::clone(&is_stopped));
        let thread = thread::spawn(move || {
            let (ends, peak_bytes, is_stopped) = shared;
            let start = || Process::entry_at(&directory, &name, store, agent_port, ports);
            let mut entry = start();
            while !is_stopped.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
                let used = entry.memory();
                let mut peak = peak_bytes.lock().expect("an intact lock");
                *peak = used.map_or(*peak, |used| used.max(*peak));
                drop(peak);
                if used.is_some_and(|used| used <= MACHINE_BYTES) && !entry.has_ended() {
                    continue;
                }
                record.say(&format!("{name}: memory {:?} KiB; the platform ends the process", used.map(|used| used / 1024)));
                entry.kill();
                ends.fetch_add(1, Ordering::SeqCst);
                thread::sleep(RESTART_DELAY);
                entry = start();
            }
        });
        let address = SocketAddr::new(ip, ports[0]);
        let ready_address = SocketAddr::new(ip, ports[1]);
        Self { address, ready_address, ends, peak_bytes, is_stopped, thread: Some(thread) }
    }

    fn wait_until_ready(&self) -> bool {
        crate::system::wait_until_ready(self.ready_address, Duration::from_secs(15))
    }
}

/// Sends the requests of one crowd, each on a channel of its own.
fn send_crowd(address: SocketAddr, crowd: usize, pauses: bool, ends: &AtomicUsize, record: &Record, counts: &Arc<Counts>) {
    let mut requesters = Vec::new();
    let began = Instant::now();
    for number in 0..REQUESTS_COUNT {
        if ends.load(Ordering::SeqCst) >= ENDS_COUNT {
            break;
        }
        let (record, counts, id) = (record.clone(), Arc::clone(counts), format!("q{crowd:02x}{number:06x}"));
        requesters.push(thread::spawn(move || {
            record.line(&format!("requester sends {id}"));
            let end = request(address, &id, pauses, &counts);
            record.line(&format!("requester of {id}: {end}"));
        }));
        let next = INTERVAL * u32::try_from(number + 1).unwrap_or(u32::MAX);
        thread::sleep(next.saturating_sub(began.elapsed()));
    }
    for requester in requesters {
        let _ = requester.join();
    }
}

fn request(address: SocketAddr, id: &str, pauses: bool, counts: &Counts) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else {
        counts.unconnected.fetch_add(1, Ordering::SeqCst);
        return "no connection".to_string();
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
    let _ = stream.write_all(plain_request("GET", id, DEADLINE_MS, "").as_bytes());
    let mut reader = BufReader::new(stream);
    let Ok(Some(head)) = http::read_head(&mut reader) else {
        counts.cut.fetch_add(1, Ordering::SeqCst);
        return "closed without an answer".to_string();
    };
    if head.status() != 200 {
        counts.refused.fetch_add(1, Ordering::SeqCst);
        return head.first_line;
    }
    let mut start = vec![0; 4_096];
    let is_started = reader.read_exact(&mut start).is_ok();
    if pauses {
        thread::sleep(PAUSE);
    }
    let mut rest = Vec::new();
    let is_whole = is_started && read_chunked_rest(&mut reader, &mut rest);
    if is_whole {
        counts.whole.fetch_add(1, Ordering::SeqCst);
        return "200, whole".to_string();
    }
    counts.cut.fetch_add(1, Ordering::SeqCst);
    format!("200, cut off after {} bytes", start.len() + rest.len())
}

/// Reads the rest of a body in chunks up to its end; false if it is cut off.
fn read_chunked_rest(reader: &mut BufReader<TcpStream>, rest: &mut Vec<u8>) -> bool {
    let mut buffer = [0; 32 * 1024];
    loop {
        match reader.read(&mut buffer) {
            Ok(0) | Err(_) => return false,
            Ok(count) => rest.extend_from_slice(&buffer[..count]),
        }
        if rest.ends_with(b"\r\n0\r\n\r\n") {
            return rest.len() + 4_096 > ANSWER_BYTES;
        }
    }
}
