//! The project's own processes, started with the commands of the deploy file.

use std::fs;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use std::{io::Write, thread};

use crate::http;

/// A running process of the system; killed when dropped.
pub struct Process {
    child: Child,
    /// Address for callers of an entry, or for entries of an agent.
    pub address: SocketAddr,
    /// Address that says whether the process is ready.
    pub ready_address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

unsafe extern "C" {
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// Has the system kill this process when the one that starts it ends.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // Without the option, only a script that is stopped early leaves processes behind.
    let _ = unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
    Ok(())
}

static GIVEN_PORTS: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// Port that is free on all loopback addresses, below those that the system gives to connections.
pub fn free_port() -> u16 {
    loop {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let drawn = now.subsec_nanos() / 64 + std::process::id() * 7_919;
        let port = 20_000 + u16::try_from(drawn % 10_000).unwrap_or(0);
        let mut given = GIVEN_PORTS.lock().expect("an intact lock");
        if !given.contains(&port) && TcpListener::bind(("0.0.0.0", port)).is_ok() {
            given.push(port);
            return port;
        }
    }
}

fn fill(template: &str, values: &[(&str, String)]) -> String {
    let zones = "{{#zones}}{{@}}={{.}}{{,}}{{/zones}}";
    let mut text = fs::read_to_string(template).expect("a template of the repository");
    text = text.replace(zones, "pa-a=palermo,pa-b=palermo,ct-a=catania");
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "placeholder without a value: {text}");
    text
}

impl Process {
    /// Starts an entry with the settings of the deploy file's template, at free ports.
    pub fn entry(directory: &PathBuf, name: &str, store: SocketAddr, agent_port: u16) -> Self {
        let ports = [0; 3].map(|_: u16| free_port());
        Self::entry_at(directory, name, store, agent_port, ports)
    }

    /// Starts an entry at the given ports for callers, readiness and control.
    pub fn entry_at(directory: &PathBuf, name: &str, store: SocketAddr, agent_port: u16, ports: [u16; 3]) -> Self {
        let ip = IpAddr::from([127, 0, 0, 1]);
        let [callers, ready, control] = ports;
        let values = [
            ("node", name.to_string()),
            ("region", "palermo".to_string()),
            ("zone", "pa-a".to_string()),
            ("bounds.retry_slack", "84".to_string()),
            ("listen.front", format!("{ip}:{callers}")),
            ("listen.control", format!("{ip}:{control}")),
            ("listen.ready", format!("{ip}:{ready}")),
            ("platform.address", store.to_string()),
            ("internal_ports.0", agent_port.to_string()),
        ];
        let settings = fill("platform/entry.toml.template", &values);
        let addresses = [SocketAddr::new(ip, callers), SocketAddr::new(ip, ready)];
        Self::start(directory, "entry", &settings, addresses)
    }

    /// Starts the agent beside an engine.
    pub fn agent(directory: &PathBuf, store: SocketAddr, engine: SocketAddr, agent_port: u16) -> Self {
        let ready = free_port();
        let name = format!("side-{}", engine.ip());
        let values = [
            ("node", name.clone()),
            ("region", "palermo".to_string()),
            ("zone", "pa-a".to_string()),
            ("app", engine.to_string()),
            ("ip", engine.ip().to_string()),
            ("internal_ports.0", agent_port.to_string()),
            ("internal_ports.1", ready.to_string()),
            ("platform.address", store.to_string()),
        ];
        let settings = fill("platform/agent.toml.template", &values);
        let addresses = [SocketAddr::new(engine.ip(), agent_port), SocketAddr::new(engine.ip(), ready)];
        Self::start(directory, "agent", &settings, addresses)
    }

    fn start(directory: &PathBuf, role: &str, settings: &str, addresses: [SocketAddr; 2]) -> Self {
        let port = addresses[1].port();
        let path = directory.join(format!("{role}-{port}.conf"));
        fs::write(&path, settings).expect("a writable folder");
        let log = fs::File::create(directory.join(format!("{role}-{port}.log"))).expect("a writable folder");
        let mut command = Command::new(format!("target/release/cuminlead-{role}"));
        // A script that is stopped early leaves no process behind.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .arg("--settings")
            .arg(&path)
            .arg("run")
            .env("CUMINLEAD_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("an open file"))
            .stderr(log)
            .spawn()
            .expect("target/release holds the programs of the deploy file");
        Self { child, address: addresses[0], ready_address: addresses[1] }
    }

    /// Waits until the process says that it is ready.
    pub fn wait_until_ready(&self, wait_max: Duration) -> bool {
        wait_until_ready(self.ready_address, wait_max)
    }

    /// Memory in use, in bytes; `None` once the process has ended.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let field = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
            Some(kb * 1024)
        };
        field("VmRSS:")
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

/// Waits until the process at an address says that it is ready.
pub fn wait_until_ready(address: SocketAddr, wait_max: Duration) -> bool {
    let until = Instant::now() + wait_max;
    while Instant::now() < until {
        if is_ready(address) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    if stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").is_err() {
        return false;
    }
    let head = http::read_head(&mut std::io::BufReader::new(stream));
    matches!(head, Ok(Some(head)) if head.status() == 200)
}
