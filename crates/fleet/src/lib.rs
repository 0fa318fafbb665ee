//! Launcher of a whole system on loopback: platform, backend servers, agents and entries.
//!
//! Every process listens on free ports and prints its addresses, so that several fleets can run
//! side by side. The peer addresses of agents and entries are chosen and published before they
//! start.
//! Settings, output and logs are files of one temporary directory.
//!
//! | module | holds |
//! |---|---|
//! | [`caller`] | requests to entries, as callers send them |
//! | [`claims`] | non-idempotent calls and what their callers were told |
//! | [`decisions`] | what a fleet decides on a table of requests |
//! | [`deployment`] | sizes and places of both deployments |
//! | [`handover`] | replacement of running processes |
//! | [`process`] | one started process and its signals |
//! | [`lists`] | text of plans and allowances |
//! | [`settings`] | text of settings files |
//! | [`small`] | deployments of tests |
//! | `probe` | reads of a running fleet |
//! | [`requests`] | requests whose right answer is known |

pub mod caller;
pub mod claims;
pub mod decisions;
pub mod deployment;
pub mod handover;
pub mod lists;
mod probe;
pub mod process;
pub mod requests;
pub mod settings;
pub mod small;

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::TcpListener;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;

use cuminlead_stand_ins::client;
use cuminlead_stand_ins::platform::HostRecord;
use deployment::{Deployment, EntrySpec, ServerSpec};
use lists::ListsSource;
use process::{Process, Program, Signal, binary, example};

/// Key of the one published plans part.
pub const PLANS_KEY: &str = "plans/base";
/// Key of the one published allowances part.
pub const ALLOWANCES_KEY: &str = "allowances/base";
/// Customer that the plans name.
pub const CUSTOMER: &str = "kiosks-norte";

const CALL_LIMIT: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(50);
const PORTS: Range<u16> = 10_000..32_000;
const PORT_TRIES: usize = 100;
const PLATFORM_NAME: &str = "platform";

/// What to start.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Deployment.
    pub deployment: Deployment,
    /// Where the published lists come from.
    pub lists: ListsSource,
    /// Longest time until all entries are ready.
    pub ready_max: Duration,
    /// Longest time that an agent or entry may take to shut down.
    pub shutdown_max: Duration,
    /// Rate and burst of the customer's plan in generated lists.
    pub requests_per_second: u32,
    /// First-token target of the plan in generated lists.
    pub first_token_ms: u64,
    /// Between-tokens target of the plan in generated lists.
    pub between_tokens_ms: u64,
    /// Further settings of all agents: key and TOML value.
    pub agent_settings: BTreeMap<String, String>,
    /// Further settings of all entries: key and TOML value.
    pub entry_settings: BTreeMap<String, String>,
    /// Further arguments of all engines.
    pub engine_arguments: Vec<String>,
    /// Further arguments of all services.
    pub service_arguments: Vec<String>,
    /// Age of the published host list.
    pub hosts_lag_ms: u64,
    /// Directory of the agents' and entries' binaries; that of this build without one.
    pub binaries: Option<PathBuf>,
}

impl FleetConfig {
    /// Usual configuration of a deployment; entries drain faster than in operation, because no
    /// balancer has to notice.
    pub fn new(deployment: Deployment) -> Self {
        let drain = ("drain_delay_ms".to_string(), "200".to_string());
        Self {
            deployment,
            lists: ListsSource::default(),
            ready_max: Duration::from_secs(30),
            shutdown_max: Duration::from_secs(20),
            requests_per_second: 1_000,
            first_token_ms: 2_000,
            between_tokens_ms: 60,
            agent_settings: BTreeMap::new(),
            entry_settings: BTreeMap::from([drain]),
            engine_arguments: Vec::new(),
            service_arguments: Vec::new(),
            hosts_lag_ms: 0,
            binaries: None,
        }
    }
}

/// Started system. Dropping it kills every process and removes the directory, unless it is kept.
pub struct Fleet {
    /// What was started.
    pub config: FleetConfig,
    /// Key of the customer.
    pub key: String,
    directory: PathBuf,
    processes: BTreeMap<String, Process>,
    leaving: Vec<String>,
    routed: BTreeMap<String, String>,
    /// Number of the host that a process is on, for processes that were replaced.
    generations: BTreeMap<String, u32>,
    peer_addresses: BTreeMap<String, String>,
    /// Directory of the binary, for processes that differ from the configuration.
    binaries: BTreeMap<String, PathBuf>,
    is_kept: bool,
}

impl Fleet {
    /// Starts everything and waits until all entries are ready.
    pub fn start(config: FleetConfig) -> io::Result<Self> {
        let mut fleet = Self::empty(config)?;
        let started = fleet.start_all();
        started.map_err(|error| fleet.explain(&error))?;
        Ok(fleet)
    }

    /// Starts platform and backend servers only.
    pub fn start_stand_ins(config: FleetConfig) -> io::Result<Self> {
        let mut fleet = Self::empty(config)?;
        let started = fleet.start_platform_and_servers();
        started.map_err(|error| fleet.explain(&error))?;
        Ok(fleet)
    }

    fn empty(config: FleetConfig) -> io::Result<Self> {
        static FLEETS: AtomicU32 = AtomicU32::new(0);
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let name = format!("cuminlead-fleet-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        Ok(Self {
            config,
            key: format!("{:032x}", rand::random::<u128>()),
            directory,
            processes: BTreeMap::new(),
            leaving: Vec::new(),
            routed: BTreeMap::new(),
            generations: BTreeMap::new(),
            peer_addresses: BTreeMap::new(),
            binaries: BTreeMap::new(),
            is_kept: false,
        })
    }

    fn start_all(&mut self) -> io::Result<()> {
        self.start_platform_and_servers()?;
        self.start_processes()
    }

    /// Starts agents and entries beside running stand-ins and waits until all entries are ready.
    pub fn start_processes(&mut self) -> io::Result<()> {
        self.publish_lists()?;
        for name in self.own_processes() {
            self.reserve_peer_address(&name)?;
        }
        self.publish_hosts()?;
        for place in self.config.deployment.servers.clone() {
            self.spawn_agent(&place)?;
        }
        for place in self.config.deployment.entries.clone() {
            self.spawn_entry(&place)?;
        }
        self.wait_until_listening()?;
        self.wait_until_ready()
    }

    fn start_platform_and_servers(&mut self) -> io::Result<()> {
        let lag = self.config.hosts_lag_ms.to_string();
        let mut platform = Program::new(PLATFORM_NAME, example("platform"));
        platform.arguments = vec!["--hosts-lag-ms".to_string(), lag];
        self.spawn(&platform)?;
        for place in self.config.deployment.servers.clone() {
            self.spawn_server(&place)?;
        }
        self.wait_until_listening()
    }

    fn spawn_server(&mut self, place: &ServerSpec) -> io::Result<()> {
        let deployment = &self.config.deployment;
        let Some(role) = place.role() else {
            let mut program = Program::new(&place.id, example("service"));
            program.arguments = self.config.service_arguments.clone();
            return self.spawn(&program);
        };
        let mut program = Program::new(&place.id, example("engine"));
        let model = format!("{}:{}", deployment.model, deployment.version);
        let arguments = ["--role", role, "--model", &model];
        program.arguments.extend(arguments.map(str::to_string));
        let adapter = ["--adapter", &deployment.adapter];
        program.arguments.extend(adapter.map(str::to_string));
        program
            .arguments
            .extend(self.config.engine_arguments.clone());
        self.spawn(&program)
    }

    /// Starts the agent beside a backend server.
    pub fn spawn_agent(&mut self, place: &ServerSpec) -> io::Result<()> {
        let backend = self.address(&place.id, "address")?;
        let platform = self.platform_address()?;
        let name = place.agent_name();
        let further = self.with_place(&name, self.config.agent_settings.clone())?;
        let text = settings::agent(place, &backend, &platform, &further);
        self.spawn_binary("cuminlead-agent", &name, &text)
    }

    /// Starts a process from the binaries of a directory from its next start on.
    pub fn use_binaries(&mut self, name: &str, directory: &Path) {
        let directory = directory.to_path_buf();
        self.binaries.insert(name.to_string(), directory);
    }

    /// Starts an entry.
    pub fn spawn_entry(&mut self, place: &EntrySpec) -> io::Result<()> {
        let platform = self.platform_address()?;
        let weight = self.config.deployment.wasted_prefill_weight;
        let further = self.with_place(&place.name, self.config.entry_settings.clone())?;
        let text = settings::entry(place, &platform, weight, &further);
        self.spawn_binary("cuminlead-entry", &place.name, &text)
    }

    fn spawn_binary(&mut self, file: &str, name: &str, settings: &str) -> io::Result<()> {
        let path = self.directory.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let directory = self.binaries.get(name).or(self.config.binaries.as_ref());
        let path_of_binary = directory.map_or_else(|| binary(file), |found| found.join(file));
        let mut program = Program::new(name, path_of_binary);
        let path = path.display().to_string();
        program.arguments = vec!["--settings".to_string(), path, "run".to_string()];
        self.spawn(&program)
    }

    fn spawn(&mut self, program: &Program) -> io::Result<()> {
        let process = Process::start(program, &self.directory)?;
        self.processes.insert(program.name.clone(), process);
        Ok(())
    }

    /// Waits until every process has printed its addresses.
    pub fn wait_until_listening(&mut self) -> io::Result<()> {
        let deadline = Instant::now() + self.config.ready_max;
        for process in self.processes.values_mut() {
            process.wait_until_listening(deadline)?;
        }
        Ok(())
    }

    /// Waits until every running agent and entry answers 200 on `/ready`.
    pub fn wait_until_ready(&mut self) -> io::Result<()> {
        let deadline = Instant::now() + self.config.ready_max;
        for name in self.own_processes() {
            if self.process(&name)?.is_killed() {
                continue;
            }
            self.wait_until_process_ready(&name, deadline)?;
        }
        Ok(())
    }

    fn wait_until_process_ready(&mut self, name: &str, deadline: Instant) -> io::Result<()> {
        let url = format!("http://{}/ready", self.address(name, "admin")?);
        let agent = client::agent(CALL_LIMIT);
        loop {
            let seen = match client::get(&agent, &url) {
                Ok(answer) if answer.status == 200 => return Ok(()),
                Ok(answer) => format!("status {} {}", answer.status, answer.body),
                Err(error) => error.to_string(),
            };
            if let Some(process) = self.processes.get_mut(name) {
                process.check_running()?;
            }
            if Instant::now() >= deadline {
                return Err(io::Error::other(format!("{name} is not ready: {seen}")));
            }
            std::thread::sleep(POLL);
        }
    }

    /// Publishes plans and allowances of the configuration.
    pub fn publish_lists(&self) -> io::Result<()> {
        if let ListsSource::Examples(examples) = self.config.lists {
            self.publish(PLANS_KEY, &examples.plans_with(&self.key))?;
            return self.publish(ALLOWANCES_KEY, examples.allowances);
        }
        self.publish(PLANS_KEY, &lists::plans(&self.config, &self.key))?;
        self.publish(ALLOWANCES_KEY, &lists::allowances(&self.config.deployment))
    }

    /// Publishes one part, as an operator does.
    pub fn publish(&self, key: &str, text: &str) -> io::Result<()> {
        let body = json!({ "key": key, "text": text });
        self.control(PLATFORM_NAME, "/control/publish", &body)
    }

    /// Sets the mode of a stand-in.
    pub fn set_mode(
        &self,
        stand_in: &str,
        mode: cuminlead_stand_ins::behaviour::Mode,
    ) -> io::Result<()> {
        self.control(stand_in, "/control", &json!({ "mode": mode }))
    }

    /// Publishes the host list with the present addresses.
    pub fn publish_hosts(&self) -> io::Result<()> {
        let hosts = json!({ "hosts": self.hosts()? });
        self.control(PLATFORM_NAME, "/control/hosts", &hosts)
    }

    /// Publishes a process as leaving from now on.
    pub fn publish_leaving(&mut self, name: &str) -> io::Result<()> {
        self.leaving.push(name.to_string());
        self.publish_hosts()
    }

    /// Makes other processes reach a process at another address, such as that of a relay: the
    /// platform for processes started later, agents and entries from the next host list on.
    pub fn route(&mut self, name: &str, address: &str) {
        self.routed.insert(name.to_string(), address.to_string());
    }

    fn platform_address(&self) -> io::Result<String> {
        match self.routed.get(PLATFORM_NAME) {
            Some(address) => Ok(address.clone()),
            None => self.address(PLATFORM_NAME, "address"),
        }
    }

    /// Present host list.
    pub fn hosts(&self) -> io::Result<Vec<HostRecord>> {
        let deployment = &self.config.deployment;
        let mut hosts = Vec::new();
        for place in &deployment.entries {
            let address = self.peer_address(&place.name)?;
            hosts.push(self.present(&place.name, place.host_record(address)));
        }
        for place in &deployment.servers {
            let name = place.agent_name();
            let address = self.peer_address(&name)?;
            hosts.push(self.present(&name, place.host_record(address)));
        }
        Ok(hosts)
    }

    /// Record with the present host and state of a process.
    fn present(&self, name: &str, mut record: HostRecord) -> HostRecord {
        record.host = self.host_of(name);
        if self.leaving.iter().any(|leaving| leaving == name) {
            record.state = "leaving".to_string();
        }
        record
    }

    fn host_of(&self, name: &str) -> String {
        let prefix = deployment::HOST_PREFIX;
        match self.generations.get(name) {
            Some(generation) => format!("{prefix}{name}-{generation}"),
            None => format!("{prefix}{name}"),
        }
    }

    /// Settings with the present host and peer address of a process.
    fn with_place(
        &mut self,
        name: &str,
        mut further: BTreeMap<String, String>,
    ) -> io::Result<BTreeMap<String, String>> {
        let address = self.reserve_peer_address(name)?;
        further.insert("host".to_string(), format!("\"{}\"", self.host_of(name)));
        further.insert("peer_address".to_string(), format!("\"{address}\""));
        Ok(further)
    }

    /// Peer address of an agent or entry, which it keeps over restarts. It is chosen before the
    /// start, so that the host list is there when the first process asks for it.
    fn reserve_peer_address(&mut self, name: &str) -> io::Result<String> {
        if let Some(address) = self.peer_addresses.get(name) {
            return Ok(address.clone());
        }
        let address = free_address()?;
        let reserved = &mut self.peer_addresses;
        reserved.insert(name.to_string(), address.clone());
        Ok(address)
    }

    fn peer_address(&self, name: &str) -> io::Result<String> {
        let address = self.routed.get(name).or(self.peer_addresses.get(name));
        let address = address.cloned();
        address.ok_or_else(|| io::Error::other(format!("{name} has no peer address")))
    }

    fn control(&self, stand_in: &str, path: &str, body: &serde_json::Value) -> io::Result<()> {
        let url = format!("http://{}{path}", self.address(stand_in, "address")?);
        let answer = client::post(&client::agent(CALL_LIMIT), &url, body);
        let answer = answer.map_err(io::Error::other)?;
        if answer.status == 200 {
            return Ok(());
        }
        let reason = format!(
            "{stand_in}{path} answered {} {}",
            answer.status, answer.body
        );
        Err(io::Error::other(reason))
    }

    /// Address that a process printed under a key.
    pub fn address(&self, name: &str, key: &str) -> io::Result<String> {
        let process = self.processes.get(name);
        let address = process.and_then(|process| process.address(key));
        address.ok_or_else(|| io::Error::other(format!("{name} has no {key} address")))
    }

    /// Started process.
    pub fn process(&mut self, name: &str) -> io::Result<&mut Process> {
        let process = self.processes.get_mut(name);
        process.ok_or_else(|| io::Error::other(format!("no process {name}")))
    }

    /// All started processes by name.
    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        self.processes.values()
    }

    /// Directory of settings, output and logs.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Starts a stopped process again and waits for its new addresses; the host list is not
    /// published.
    pub fn restart(&mut self, name: &str) -> io::Result<()> {
        let deadline = Instant::now() + self.config.ready_max;
        let directory = self.directory.clone();
        let process = self.process(name)?;
        process.kill();
        let mut fresh = Process::start(process.program(), &directory)?;
        fresh.wait_until_listening(deadline)?;
        self.processes.insert(name.to_string(), fresh);
        Ok(())
    }

    /// Shuts down entries, then agents, then the stand-ins; collects everything that went wrong.
    pub fn stop(mut self) -> io::Result<()> {
        let deployment = self.config.deployment.clone();
        let entries: Vec<String> = deployment.entries.iter().map(|p| p.name.clone()).collect();
        let agents: Vec<String> = deployment.servers.iter().map(|p| p.agent_name()).collect();
        let mut reasons = self.shut_down(&entries);
        reasons.extend(self.shut_down(&agents));
        for process in self.processes.values_mut() {
            process.kill();
        }
        if reasons.is_empty() {
            return Ok(());
        }
        Err(self.explain(&io::Error::other(reasons.join("; "))))
    }

    fn shut_down(&mut self, names: &[String]) -> Vec<String> {
        let mut reasons = Vec::new();
        for name in names {
            if let Some(process) = self.processes.get_mut(name).filter(|p| !p.is_killed()) {
                let sent = process.signal(Signal::Terminate);
                reasons.extend(sent.err().map(|error| error.to_string()));
            }
        }
        let deadline = Instant::now() + self.config.shutdown_max;
        for name in names {
            if let Some(process) = self.processes.get_mut(name).filter(|p| !p.is_killed()) {
                let ended = process.wait_for_clean_end(deadline);
                reasons.extend(ended.err().map(|error| error.to_string()));
            }
        }
        reasons
    }

    /// Leaves all processes and the directory in place.
    pub fn keep(mut self) {
        self.is_kept = true;
        for process in self.processes.values_mut() {
            process.keep();
        }
    }

    /// Error with the end of the logs of all agents and entries.
    pub fn explain(&self, error: &io::Error) -> io::Error {
        let mut text = error.to_string();
        for process in self.processes.values() {
            let tail = process.log_tail();
            if !tail.is_empty() {
                text += &format!("\n--- {} ---\n{tail}", process.name());
            }
        }
        io::Error::other(text)
    }
}

/// Free loopback address with a port below those that the system gives to connections.
fn free_address() -> io::Result<String> {
    let mut tried = Ok(());
    for _ in 0..PORT_TRIES {
        let port = rand::random_range(PORTS);
        let address = format!("127.0.0.1:{port}");
        match TcpListener::bind(&address) {
            Ok(_) => return Ok(address),
            Err(error) => tried = Err(error),
        }
    }
    tried.map(|()| String::new())
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if self.is_kept {
            return;
        }
        self.processes.clear();
        if let Err(error) = fs::remove_dir_all(&self.directory) {
            eprintln!("level=warning event=directory_not_removed reason=\"{error}\"");
        }
    }
}
