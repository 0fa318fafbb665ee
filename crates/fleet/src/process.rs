//! Child process of a fleet: start, printed addresses, logs, signals and exit.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use strum::{Display, IntoStaticStr};

const POLL_INTERVAL: Duration = Duration::from_millis(5);
const LISTENING_PREFIX: &str = "listening ";
const LOG_TAIL_LINES: usize = 15;
/// Allocator settings that `docs/OPERATIONS.md` requires. Without them the allocator of the C library
/// retains, in the arena of each thread, the memory that is needed briefly to install lists.
const ALLOCATOR_ENVIRONMENT: [(&str, &str); 3] = [
    ("MALLOC_ARENA_MAX", "1"),
    ("MALLOC_MMAP_THRESHOLD_", "131072"),
    ("MALLOC_TRIM_THRESHOLD_", "131072"),
];

/// Signal that is sent to a process; displayed as the name that `kill` expects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
pub enum Signal {
    /// Terminates the process immediately.
    #[strum(serialize = "KILL")]
    Kill,
    /// Requests a graceful shutdown.
    #[strum(serialize = "TERM")]
    Terminate,
    /// Pauses the process.
    #[strum(serialize = "STOP")]
    Stop,
    /// Resumes a paused process.
    #[strum(serialize = "CONT")]
    Continue,
}

/// Executable with its arguments, and the name of the process to start from it.
#[derive(Clone, Debug)]
pub struct Program {
    /// Name of the process, unique within the fleet; its files are named after it.
    pub name: String,
    /// Path of the executable.
    pub path: PathBuf,
    /// Command-line arguments, without the program name.
    pub arguments: Vec<String>,
}

impl Program {
    /// Program without command-line arguments.
    pub fn new(name: &str, path: PathBuf) -> Self {
        Self {
            name: name.to_string(),
            path,
            arguments: Vec::new(),
        }
    }
}

/// Path of a workspace binary in the build directory of the running executable. The binary must
/// have been built.
pub fn binary(name: &str) -> PathBuf {
    build_directory().join(name)
}

/// Path of a workspace example in the build directory of the running executable. The example must
/// have been built.
pub fn example(name: &str) -> PathBuf {
    build_directory().join("examples").join(name)
}

/// Build directory of the running executable: the parent of the `examples` or `deps` directory in
/// which the executable is; empty if it cannot be determined.
pub fn build_directory() -> PathBuf {
    let executable = std::env::current_exe().unwrap_or_default();
    let directory = executable.parent().and_then(Path::parent);
    directory.map(Path::to_path_buf).unwrap_or_default()
}

/// Child process; killed on drop unless [`Process::keep`] was called.
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
    /// Starts a program. Its standard output goes to `NAME.out` and its logs (standard error) are
    /// appended to `NAME.log` in `directory`.
    pub fn start(program: &Program, directory: &Path) -> io::Result<Self> {
        let output = directory.join(format!("{}.out", program.name));
        let log = directory.join(format!("{}.log", program.name));
        let log_file = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(&program.path)
            .args(&program.arguments)
            .envs(ALLOCATOR_ENVIRONMENT)
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

    /// Name that is unique within the fleet.
    pub fn name(&self) -> &str {
        &self.program.name
    }

    /// Program that the process was started from.
    pub fn program(&self) -> &Program {
        &self.program
    }

    /// Process id given by the operating system.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Address that the process printed under `key`; `None` before it listens.
    pub fn address(&self, key: &str) -> Option<String> {
        self.addresses.get(key).cloned()
    }

    /// All printed addresses by key; empty before the process listens.
    pub fn addresses(&self) -> &BTreeMap<String, String> {
        &self.addresses
    }

    /// Waits for the output line that lists the addresses. Error if the process exits first or the
    /// deadline passes.
    pub fn wait_until_listening(&mut self, deadline: Instant) -> io::Result<()> {
        while self.addresses.is_empty() {
            let text = fs::read_to_string(&self.output)?;
            if let Some(addresses) = find_addresses(&text) {
                self.addresses = addresses;
                break;
            }
            self.check_running()?;
            if Instant::now() >= deadline {
                return Err(self.error("printed no addresses before the deadline"));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Error if the process has exited.
    pub fn check_running(&mut self) -> io::Result<()> {
        match self.child.try_wait()? {
            Some(status) => Err(self.error(&format!("ended with {status}"))),
            None => Ok(()),
        }
    }

    /// Sends a signal with the `kill` program. Error if the process has exited.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        // The system does not reuse the id of an exited child before the child is waited for, so
        // the id cannot belong to another process here.
        self.check_running()?;
        let option = format!("-{signal}");
        let pid = self.pid().to_string();
        let status = Command::new("kill").args([option, pid]).status()?;
        if status.success() {
            return Ok(());
        }
        Err(self.error(&format!("could not be sent the signal {signal}")))
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        self.is_killed = true;
        // Both calls fail only if the process has exited and was already waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether [`Process::kill`] was called.
    pub fn is_killed(&self) -> bool {
        self.is_killed
    }

    /// Waits for the process to exit; `None` if it still runs at the deadline.
    pub fn wait(&mut self, deadline: Instant) -> io::Result<Option<ExitStatus>> {
        loop {
            let status = self.child.try_wait()?;
            if status.is_some() || Instant::now() >= deadline {
                return Ok(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits for the process to exit. Error unless it exits with code 0 before the deadline.
    pub fn wait_for_clean_end(&mut self, deadline: Instant) -> io::Result<()> {
        match self.wait(deadline)? {
            Some(status) if status.success() => Ok(()),
            Some(status) => Err(self.error(&format!("ended with {status}"))),
            None => Err(self.error("did not shut down before the deadline")),
        }
    }

    /// Leaves the process running after this handle is dropped.
    pub fn keep(&mut self) {
        self.is_kept = true;
    }

    /// Last 15 lines of the logs; empty if they cannot be read.
    pub fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let first = lines.len().saturating_sub(LOG_TAIL_LINES);
        lines[first..].join("\n")
    }

    /// Full text of the logs, those of earlier starts under the same name included.
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

/// Addresses in the first complete line that lists them; the process may still be writing the last
/// line.
fn find_addresses(text: &str) -> Option<BTreeMap<String, String>> {
    let complete_lines = text.rfind('\n').map(|end| &text[..end])?;
    let line = complete_lines
        .lines()
        .find_map(|line| line.strip_prefix(LISTENING_PREFIX))?;
    let pairs = line.split_whitespace().filter_map(|p| p.split_once('='));
    Some(
        pairs
            .map(|pair| (pair.0.to_string(), pair.1.to_string()))
            .collect(),
    )
}
