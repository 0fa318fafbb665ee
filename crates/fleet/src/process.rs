//! One started process: its addresses, logs and signals.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use strum::{Display, IntoStaticStr};

const POLL: Duration = Duration::from_millis(5);
const LISTENING: &str = "listening ";
const LOG_TAIL_LINES: usize = 15;
/// Environment of a host's slot, as `docs/OPERATIONS.md` asks for: the allocator of the C library
/// otherwise keeps in each thread's arena what taking the lists needs for a moment.
const ENVIRONMENT: [(&str, &str); 3] = [
    ("MALLOC_ARENA_MAX", "1"),
    ("MALLOC_MMAP_THRESHOLD_", "131072"),
    ("MALLOC_TRIM_THRESHOLD_", "131072"),
];

/// Signal sent to a process by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
pub enum Signal {
    /// Ends the process at once.
    #[strum(serialize = "KILL")]
    Kill,
    /// Asks for a graceful shutdown.
    #[strum(serialize = "TERM")]
    Terminate,
    /// Pauses the process.
    #[strum(serialize = "STOP")]
    Stop,
    /// Resumes a paused process.
    #[strum(serialize = "CONT")]
    Continue,
}

/// Program to start.
#[derive(Clone, Debug)]
pub struct Program {
    /// Name of the process, unique in the fleet.
    pub name: String,
    /// Executable.
    pub path: PathBuf,
    /// Arguments.
    pub arguments: Vec<String>,
}

impl Program {
    /// Program without arguments.
    pub fn new(name: &str, path: PathBuf) -> Self {
        Self {
            name: name.to_string(),
            path,
            arguments: Vec::new(),
        }
    }
}

/// Path of a binary of the workspace, in the build directory of this executable.
pub fn binary(name: &str) -> PathBuf {
    build_directory().join(name)
}

/// Path of an example of this package, in the build directory of this executable.
pub fn example(name: &str) -> PathBuf {
    build_directory().join("examples").join(name)
}

/// Directory of this build: above the `examples` or `deps` directory that this executable is in.
pub fn build_directory() -> PathBuf {
    let executable = std::env::current_exe().unwrap_or_default();
    let directory = executable.parent().and_then(Path::parent);
    directory.map(Path::to_path_buf).unwrap_or_default()
}

/// Started process, killed when dropped unless it is kept.
pub struct Process {
    program: Program,
    child: Child,
    output: PathBuf,
    log: PathBuf,
    addresses: BTreeMap<String, String>,
    is_killed: bool,
    is_kept: bool,
}

impl Process {
    /// Starts a program; its output and logs are files of `directory`.
    pub fn start(program: &Program, directory: &Path) -> io::Result<Self> {
        let output = directory.join(format!("{}.out", program.name));
        let log = directory.join(format!("{}.log", program.name));
        let log_file = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(&program.path)
            .args(&program.arguments)
            .envs(ENVIRONMENT)
            .stdin(Stdio::null())
            .stdout(File::create(&output)?)
            .stderr(log_file)
            .spawn()
            .map_err(|error| {
                let path = program.path.display();
                io::Error::new(error.kind(), format!("cannot start {path}: {error}"))
            })?;
        Ok(Self {
            program: program.clone(),
            child,
            output,
            log,
            addresses: BTreeMap::new(),
            is_killed: false,
            is_kept: false,
        })
    }

    /// Name.
    pub fn name(&self) -> &str {
        &self.program.name
    }

    /// Program and arguments.
    pub fn program(&self) -> &Program {
        &self.program
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Address that the process printed under a key.
    pub fn address(&self, key: &str) -> Option<String> {
        self.addresses.get(key).cloned()
    }

    /// All printed addresses by key.
    pub fn addresses(&self) -> &BTreeMap<String, String> {
        &self.addresses
    }

    /// Waits for the line with the addresses.
    pub fn wait_until_listening(&mut self, deadline: Instant) -> io::Result<()> {
        while self.addresses.is_empty() {
            let text = fs::read_to_string(&self.output)?;
            if let Some(addresses) = find_addresses(&text) {
                self.addresses = addresses;
                break;
            }
            self.check_running()?;
            if Instant::now() >= deadline {
                return Err(self.error("prints no addresses"));
            }
            std::thread::sleep(POLL);
        }
        Ok(())
    }

    /// Error when the process has ended.
    pub fn check_running(&mut self) -> io::Result<()> {
        match self.child.try_wait()? {
            Some(status) => Err(self.error(&format!("ended with {status}"))),
            None => Ok(()),
        }
    }

    /// Sends a signal through the `kill` program.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        // An ended child keeps its id until it is waited for, so the id cannot be another's here.
        self.check_running()?;
        let option = format!("-{signal}");
        let pid = self.pid().to_string();
        let status = Command::new("kill").args([option, pid]).status()?;
        if status.success() {
            return Ok(());
        }
        Err(self.error(&format!("cannot be sent {signal}")))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.is_killed = true;
        // Both fail only when the process has ended and been waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process was killed by its handle.
    pub fn is_killed(&self) -> bool {
        self.is_killed
    }

    /// Waits for the end of the process; `None` when it still runs at the deadline.
    pub fn wait(&mut self, deadline: Instant) -> io::Result<Option<ExitStatus>> {
        loop {
            let status = self.child.try_wait()?;
            if status.is_some() || Instant::now() >= deadline {
                return Ok(status);
            }
            std::thread::sleep(POLL);
        }
    }

    /// Waits for an end with exit code 0.
    pub fn wait_for_clean_end(&mut self, deadline: Instant) -> io::Result<()> {
        match self.wait(deadline)? {
            Some(status) if status.success() => Ok(()),
            Some(status) => Err(self.error(&format!("ended with {status}"))),
            None => Err(self.error("does not shut down")),
        }
    }

    /// Leaves the process running when this handle is dropped.
    pub fn keep(&mut self) {
        self.is_kept = true;
    }

    /// Last lines of the logs.
    pub fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let first = lines.len().saturating_sub(LOG_TAIL_LINES);
        lines[first..].join("\n")
    }

    /// Whole text of the logs.
    pub fn log(&self) -> io::Result<String> {
        fs::read_to_string(&self.log)
    }

    fn error(&self, what: &str) -> io::Error {
        io::Error::other(format!("{} {what}", self.program.name))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.is_kept {
            self.kill();
        }
    }
}

/// Addresses of the first whole line that lists them.
fn find_addresses(text: &str) -> Option<BTreeMap<String, String>> {
    let whole = text.rfind('\n').map(|end| &text[..end])?;
    let line = whole
        .lines()
        .find_map(|line| line.strip_prefix(LISTENING))?;
    let pairs = line.split_whitespace().filter_map(|p| p.split_once('='));
    Some(
        pairs
            .map(|pair| (pair.0.to_string(), pair.1.to_string()))
            .collect(),
    )
}
