//! Stand-ins of runners: plain services and model engines.

use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::Record;

/// Runs one request and writes its answer; false if the connection is to be closed.
pub type Run = Arc<dyn Fn(&Runner, &Message, &mut TcpStream) -> bool + Send + Sync>;

/// A runner on a loopback address.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    stage: Option<&'static str>,
    slots: usize,
    /// Requests that wait for a slot beside those that run.
    queue: usize,
    born: u64,
    present: Arc<AtomicUsize>,
    /// Ids of the requests that it has run, in order.
    pub runs: Arc<Mutex<Vec<String>>>,
    run: Run,
    record: Record,
}

/// Bounds of a runner.
#[derive(Clone, Copy)]
pub struct Capacity {
    pub slots: usize,
    pub queue: usize,
}

impl Runner {
    pub fn start(
        ip: IpAddr,
        id: &str,
        service: &str,
        stage: Option<&'static str>,
        capacity: Capacity,
        record: &Record,
        run: Run,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let runner = Self {
            id: id.to_string(),
            address: listener.local_addr().expect("a bound listener"),
            service: service.to_string(),
            stage,
            slots: capacity.slots,
            queue: capacity.queue,
            born: u64::try_from(now.as_millis()).unwrap_or(0),
            present: Arc::default(),
            runs: Arc::default(),
            run,
            record: record.clone(),
        };
        let served = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        runner
    }

    /// Entry in the store.
    pub fn entry(&self, state: &str) -> String {
        self.entry_with(state, 1)
    }

    /// Entry in the store with a sequence number.
    pub fn entry_with(&self, state: &str, sequence: u64) -> String {
        let stage = self.stage.map(|stage| format!("\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],"));
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"pa-a\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_left_ms\":0,{}\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.slots, stage.unwrap_or_default(), self.born
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &mut request) == http::BodyEnd::BrokenOff {
                return;
            }
            let path = request.target().to_string();
            let is_kept = match (request.method(), path.as_str()) {
                ("GET", "/report") => http::write_json(&mut writer, 200, &self.report()).is_ok(),
                ("GET", "/health") => write_health(&mut writer, &self.id),
                ("POST", "/order") => http::write_json(&mut writer, 200, "{}").is_ok(),
                ("DELETE", _) => http::write_json(&mut writer, 200, "{}").is_ok(),
                _ => self.answer(&request, &mut writer),
            };
            if !is_kept {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let running = self.present.load(Ordering::SeqCst).min(self.slots);
        format!(
            "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
             \"sequence\":1,\"waiting\":0,\"running\":{running},\"kv_used\":0,\"kv_total\":79304,\
             \"kv_handles\":0,\"runs\":[],\"born\":{}}}",
            self.stage.unwrap_or("decode"), self.born
        )
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let id = request.header("request-id").unwrap_or_default().to_string();
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            return write_head(writer, "421 Misdirected Request", &[("Instance-Id", &self.id), ("Content-Length", "0")]);
        }
        let present = self.present.fetch_add(1, Ordering::SeqCst);
        if present >= self.slots + self.queue {
            self.present.fetch_sub(1, Ordering::SeqCst);
            return write_head(writer, "503 Service Unavailable", &[("Not-Executed", "1"), ("Request-Id", &id), ("Content-Length", "0")]);
        }
        while self.present.load(Ordering::SeqCst) > self.slots + self.queue {
            thread::sleep(Duration::from_millis(1));
        }
        self.runs.lock().expect("an intact lock").push(id.clone());
        self.record.line(&format!("runner {} runs {id}", self.id));
        let is_kept = (self.run)(self, request, writer);
        self.present.fetch_sub(1, Ordering::SeqCst);
        is_kept
    }
}

fn write_health(writer: &mut TcpStream, id: &str) -> bool {
    write_head(writer, "200 OK", &[("Instance-Id", id), ("Content-Length", "0")])
}

/// Writes a head; false if the connection has ended.
pub fn write_head(writer: &mut TcpStream, status: &str, headers: &[(&str, &str)]) -> bool {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    writer.write_all(head.as_bytes()).is_ok()
}

/// Writes a complete answer of the given size to a request.
pub fn write_answer(writer: &mut TcpStream, request: &Message, body: &[u8]) -> bool {
    let id = request.header("request-id").unwrap_or_default();
    let length = body.len().to_string();
    let headers = [("Request-Id", id), ("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"), ("Content-Length", &length)];
    write_head(writer, "200 OK", &headers) && writer.write_all(body).is_ok()
}
