//! Starts the project's programs with the commands and templates of the deploy file.

use std::fs;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const SETTINGS_PATH: &str = "/etc/cuminlead/local.conf";
const ZONES_SECTION: &str = "{{#zones}}{{@}}={{.}}{{,}}{{/zones}}";

/// Processes that were started, so that all of them can be ended.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn end_all() {
    let mut children = CHILDREN.lock().unwrap_or_else(|error| error.into_inner());
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    let _ = fs::remove_dir_all(directory());
}

fn directory() -> PathBuf {
    std::env::temp_dir().join(format!("cuminlead-review-{}", std::process::id()))
}

pub fn free_port(ip: IpAddr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// Values of the settings that a role's template uses.
type Values<'a> = &'a [(&'a str, String)];

/// Writes the settings of a process and starts it; returns its index among [`CHILDREN`].
fn start(role: &str, name: &str, values: Values<'_>) -> usize {
    let deploy = fs::read_to_string("deploy/system.toml").expect("deploy file");
    let section = deploy
        .split(&format!("[roles.{role}]"))
        .nth(1)
        .expect("role");
    let value = |key: &str| {
        let mut lines = section
            .lines()
            .take_while(|line| !line.starts_with("[roles"));
        let line = lines.find(|line| line.starts_with(&format!("{key} =")));
        let line = line.expect("a key of the role");
        line.split('"').nth(1).expect("a text").to_string()
    };
    let mut settings = fs::read_to_string(value("template")).expect("template");
    settings = settings.replace(ZONES_SECTION, "a1=a");
    for (key, text) in values {
        settings = settings.replace(&format!("{{{{{key}}}}}"), text);
    }
    assert!(!settings.contains("{{"), "placeholder without a value");
    fs::create_dir_all(directory()).expect("temporary folder");
    let file = directory().join(format!("{name}.toml"));
    fs::write(&file, settings).expect("settings");
    let log = directory().join(format!("{name}.log"));
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("log");
    let run = value("run");
    let mut words = run.split(' ');
    let program = Path::new(words.next().expect("a program"));
    let arguments = words.map(|word| {
        if word == SETTINGS_PATH {
            file.clone().into_os_string()
        } else {
            word.into()
        }
    });
    let child = Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("log"))
        .stderr(log)
        .spawn()
        .expect("a program of the deploy file");
    let mut children = CHILDREN.lock().expect("children");
    children.push(child);
    children.len() - 1
}

/// Running entry.
pub struct Entry {
    pub callers: SocketAddr,
    admin: SocketAddr,
    name: String,
    values: Vec<(&'static str, String)>,
    child: Mutex<usize>,
}

impl Entry {
    pub fn start(name: &str, store: SocketAddr, place_port: u16) -> Self {
        let ip = IpAddr::from([127, 0, 0, 1]);
        let (callers, control, ready) = (free_port(ip), free_port(ip), free_port(ip));
        let values = vec![
            ("node", name.to_string()),
            ("region", "a".to_string()),
            ("zone", "a1".to_string()),
            ("bounds.retry_slack", "54".to_string()),
            ("listen.front", format!("{ip}:{callers}")),
            ("listen.control", format!("{ip}:{control}")),
            ("listen.ready", format!("{ip}:{ready}")),
            ("platform.address", store.to_string()),
            ("internal_ports.0", place_port.to_string()),
        ];
        let child = start("entry", name, &values);
        Self {
            callers: SocketAddr::new(ip, callers),
            admin: SocketAddr::new(ip, ready),
            name: name.to_string(),
            values,
            child: Mutex::new(child),
        }
    }

    /// Kills the process.
    pub fn kill(&self) {
        let index = *self.child.lock().expect("child");
        let mut children = CHILDREN.lock().expect("children");
        let _ = children[index].kill();
        let _ = children[index].wait();
    }

    /// Tells the process that its settings file has changed.
    pub fn hang_up(&self) {
        let index = *self.child.lock().expect("child");
        let pid = CHILDREN.lock().expect("children")[index].id().to_string();
        let sent = Command::new("kill").args(["-HUP", &pid]).status();
        assert!(sent.expect("kill").success());
    }

    /// Starts the process again with the same settings.
    pub fn restart(&self) {
        *self.child.lock().expect("child") = start("entry", &self.name, &self.values);
    }

    /// Resident memory in KiB; 0 if the process has ended.
    pub fn resident_kib(&self) -> u64 {
        let index = *self.child.lock().expect("child");
        let pid = CHILDREN.lock().expect("children")[index].id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        kib.unwrap_or(0)
    }

    /// Waits until the entry answers `GET /ready` with 200.
    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            assert!(Instant::now() < until, "the entry does not become ready");
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.admin) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let _ = crate::http::write(&stream, request);
        let head = crate::http::read_head(&mut std::io::BufReader::new(&stream));
        matches!(head, Ok(Some(head)) if head.status() == 200)
    }
}

/// Starts the agent beside an engine.
pub fn start_agent(name: &str, store: SocketAddr, engine: SocketAddr, place_port: u16) {
    let values = [
        ("node", name.to_string()),
        ("region", "a".to_string()),
        ("zone", "a1".to_string()),
        ("app", engine.to_string()),
        ("ip", engine.ip().to_string()),
        ("internal_ports.0", place_port.to_string()),
        ("internal_ports.1", free_port(engine.ip()).to_string()),
        ("platform.address", store.to_string()),
    ];
    start("agent", name, &values);
}

/// Port that is free on all given addresses.
pub fn common_port(ips: &[IpAddr]) -> u16 {
    loop {
        let port = free_port(ips[0]);
        if ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok()) {
            return port;
        }
    }
}
