//! Launcher that runs a complete fleet on loopback: platform, backend servers, agents and entries.
//!
//! Every process listens on free ports and prints its addresses, so that several fleets can run
//! side by side. The peer addresses of agents and entries are chosen and published before these
//! processes start, so that the first of them already finds the host list. Settings, standard
//! output and logs are files in one temporary directory per fleet.
//!
//! | module | holds |
//! |---|---|
//! | [`caller`] | HTTP client that sends requests to an entry |
//! | [`call_reports`] | non-idempotent calls, and a check of the outcomes reported for them |
//! | [`decisions`] | responses of a fleet to a fixed table of requests |
//! | [`deployment`] | servers and entries of the two deployments, with region and availability zone |
//! | [`handover`] | replacement of running processes while requests are in flight |
//! | [`process`] | one child process: its addresses, logs and signals |
//! | [`lists`] | TOML text of plans and allowances |
//! | [`settings`] | TOML text of settings files |
//! | [`small_deployment`] | deployments of a few servers for tests |
//! | `probe` | queries to the processes of a running fleet |
//! | [`requests`] | model requests with a known output, and raw HTTP requests |

pub mod call_reports;
pub mod caller;
pub mod decisions;
pub mod deployment;
pub mod handover;
pub mod lists;
mod probe;
pub mod process;
pub mod requests;
pub mod settings;
pub mod small_deployment;

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;

use cuminlead_stand_ins::platform::HostRecord;
use cuminlead_stand_ins::{client, ports};
use deployment::{Deployment, EntrySpec, ServerSpec};
use lists::ListsSource;
use process::{Process, Program, Signal, binary, example};

/// Key of the only plans part that a fleet publishes at its start.
pub const PLANS_KEY: &str = "plans/base";
/// Key of the only allowances part that a fleet publishes at its start.
pub const ALLOWANCES_KEY: &str = "allowances/base";
/// Id of the customer in generated plans.
pub const CUSTOMER: &str = "kiosks-norte";

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const PLATFORM_NAME: &str = "platform";

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Servers and entries to start.
    pub deployment: Deployment,
    /// Source of the plans and allowances that are published.
    pub lists: ListsSource,
    /// Timeout until all processes listen, and again until all agents and entries are ready.
    pub ready_max: Duration,
    /// Timeout for the graceful shutdown of an agent or entry.
    pub shutdown_max: Duration,
    /// Request rate (requests per second) and burst size of the plan in generated lists.
    pub requests_per_second: u32,
    /// Target for the time to first token, of the plan in generated lists.
    pub first_token_ms: u64,
    /// Target for the time between tokens, of the plan in generated lists.
    pub between_tokens_ms: u64,
    /// Additional settings of all agents: key and TOML value. They override generated settings.
    pub agent_settings: BTreeMap<String, String>,
    /// Additional settings of all entries: key and TOML value. They override generated settings.
    pub entry_settings: BTreeMap<String, String>,
    /// Additional command-line arguments of all engines.
    pub engine_arguments: Vec<String>,
    /// Additional command-line arguments of all services.
    pub service_arguments: Vec<String>,
    /// Delay with which the platform serves a published host list.
    pub hosts_lag_ms: u64,
    /// Directory of the agent and entry binaries; `None` uses the directory of this build.
    pub binaries: Option<PathBuf>,
}

impl FleetConfig {
    /// Default configuration of a deployment. The drain delay of entries is 200 ms, shorter than in
    /// production, because no load balancer has to notice the drain.
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

/// Running fleet. Dropping it kills every process and removes the directory, unless
/// [`Fleet::keep`] was called.
pub struct Fleet {
    /// Configuration that the fleet was started with.
    pub config: FleetConfig,
    /// API key of the customer in the published plans; random per fleet.
    pub key: String,
    directory: PathBuf,
    processes: BTreeMap<String, Process>,
    draining: Vec<String>,
    address_overrides: BTreeMap<String, String>,
    /// Host number of each process that was replaced; a successor runs on another host.
    host_generations: BTreeMap<String, u32>,
    peer_addresses: BTreeMap<String, String>,
    /// Binary directory per process, where it differs from the one in the configuration.
    binaries: BTreeMap<String, PathBuf>,
    is_kept: bool,
}

impl Fleet {
    /// Starts all processes and waits until all agents and entries are ready.
    ///
    /// Errors carry the ends of the logs of all processes.
    pub fn start(config: FleetConfig) -> io::Result<Self> {
        let mut fleet = Self::empty(config)?;
        let started = fleet.start_all();
        started.map_err(|error| fleet.explain(&error))?;
        Ok(fleet)
    }

    /// Starts the platform and the backend servers only, without agents and entries.
    pub fn start_stand_ins(config: FleetConfig) -> io::Result<Self> {
        let mut fleet = Self::empty(config)?;
        let started = fleet.start_platform_and_servers();
        started.map_err(|error| fleet.explain(&error))?;
        Ok(fleet)
    }

    fn empty(config: FleetConfig) -> io::Result<Self> {
        static FLEETS_STARTED: AtomicU32 = AtomicU32::new(0);
        let number = FLEETS_STARTED.fetch_add(1, Ordering::Relaxed);
        let name = format!("cuminlead-fleet-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        Ok(Self {
            config,
            key: format!("{:032x}", rand::random::<u128>()),
            directory,
            processes: BTreeMap::new(),
            draining: Vec::new(),
            address_overrides: BTreeMap::new(),
            host_generations: BTreeMap::new(),
            peer_addresses: BTreeMap::new(),
            binaries: BTreeMap::new(),
            is_kept: false,
        })
    }

    fn start_all(&mut self) -> io::Result<()> {
        self.start_platform_and_servers()?;
        self.start_processes()
    }

    /// Publishes lists and hosts, starts agents and entries beside the running stand-ins and waits
    /// until all of them are ready.
    pub fn start_processes(&mut self) -> io::Result<()> {
        self.publish_lists()?;
        for name in self.agent_and_entry_names() {
            self.reserve_peer_address(&name)?;
        }
        self.publish_hosts()?;
        for spec in self.config.deployment.servers.clone() {
            self.spawn_agent(&spec)?;
        }
        for spec in self.config.deployment.entries.clone() {
            self.spawn_entry(&spec)?;
        }
        self.wait_until_listening()?;
        self.wait_until_ready()
    }

    fn start_platform_and_servers(&mut self) -> io::Result<()> {
        let lag = self.config.hosts_lag_ms.to_string();
        let mut platform = Program::new(PLATFORM_NAME, example("platform"));
        platform.arguments = vec!["--hosts-lag-ms".to_string(), lag];
        self.spawn(&platform)?;
        for spec in self.config.deployment.servers.clone() {
            self.spawn_server(&spec)?;
        }
        self.wait_until_listening()
    }

    fn spawn_server(&mut self, spec: &ServerSpec) -> io::Result<()> {
        let deployment = &self.config.deployment;
        let Some(role) = spec.role() else {
            let mut program = Program::new(&spec.id, example("service"));
            program.arguments = self.config.service_arguments.clone();
            return self.spawn(&program);
        };
        let mut program = Program::new(&spec.id, example("engine"));
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

    /// Starts the agent of a backend server, which must already be listening.
    pub fn spawn_agent(&mut self, spec: &ServerSpec) -> io::Result<()> {
        let backend = self.address(&spec.id, "address")?;
        let platform = self.platform_address()?;
        let name = spec.agent_name();
        let extra_settings =
            self.with_host_and_peer_address(&name, self.config.agent_settings.clone())?;
        let text = settings::agent(spec, &backend, &platform, &extra_settings);
        self.spawn_binary("cuminlead-agent", &name, &text)
    }

    /// Selects the directory of an agent's or entry's binary from its next start on.
    pub fn use_binaries(&mut self, name: &str, directory: &Path) {
        let directory = directory.to_path_buf();
        self.binaries.insert(name.to_string(), directory);
    }

    /// Starts an entry, which need not be part of the configured deployment.
    pub fn spawn_entry(&mut self, spec: &EntrySpec) -> io::Result<()> {
        let platform = self.platform_address()?;
        let weight = self.config.deployment.wasted_prefill_weight;
        let extra_settings =
            self.with_host_and_peer_address(&spec.name, self.config.entry_settings.clone())?;
        let text = settings::entry(spec, &platform, weight, &extra_settings);
        self.spawn_binary("cuminlead-entry", &spec.name, &text)
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

    /// Waits until every process has printed its addresses, for at most `ready_max`.
    pub fn wait_until_listening(&mut self) -> io::Result<()> {
        let deadline = Instant::now() + self.config.ready_max;
        for process in self.processes.values_mut() {
            process.wait_until_listening(deadline)?;
        }
        Ok(())
    }

    /// Waits until every agent and entry that was not killed returns 200 on `/ready`, for at most
    /// `ready_max`.
    pub fn wait_until_ready(&mut self) -> io::Result<()> {
        let deadline = Instant::now() + self.config.ready_max;
        for name in self.agent_and_entry_names() {
            if self.process(&name)?.is_killed() {
                continue;
            }
            self.wait_until_process_ready(&name, deadline)?;
        }
        Ok(())
    }

    fn wait_until_process_ready(&mut self, name: &str, deadline: Instant) -> io::Result<()> {
        let url = format!("http://{}/ready", self.address(name, "admin")?);
        let agent = client::agent(CALL_TIMEOUT);
        loop {
            let last_response = match client::get(&agent, &url) {
                Ok(answer) if answer.status == 200 => return Ok(()),
                Ok(answer) => format!("status {}, body {}", answer.status, answer.body),
                Err(error) => error.to_string(),
            };
            if let Some(process) = self.processes.get_mut(name) {
                process.check_running()?;
            }
            if Instant::now() >= deadline {
                return Err(io::Error::other(format!(
                    "{name} did not become ready in time; last response: {last_response}"
                )));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Publishes the plans and allowances that the configuration selects.
    pub fn publish_lists(&self) -> io::Result<()> {
        if let ListsSource::Examples(examples) = self.config.lists {
            self.publish(PLANS_KEY, &examples.plans_with(&self.key))?;
            return self.publish(ALLOWANCES_KEY, examples.allowances);
        }
        self.publish(PLANS_KEY, &lists::plans(&self.config, &self.key))?;
        self.publish(ALLOWANCES_KEY, &lists::allowances(&self.config.deployment))
    }

    /// Publishes one part of the lists, as an operator does.
    pub fn publish(&self, key: &str, text: &str) -> io::Result<()> {
        let body = json!({ "key": key, "text": text });
        self.control(PLATFORM_NAME, "/control/publish", &body)
    }

    /// Sets the failure mode of a stand-in (platform, engine or service).
    pub fn set_mode(
        &self,
        stand_in: &str,
        mode: cuminlead_stand_ins::behaviour::Mode,
    ) -> io::Result<()> {
        self.control(stand_in, "/control", &json!({ "mode": mode }))
    }

    /// Publishes the host list with the current addresses and states.
    pub fn publish_hosts(&self) -> io::Result<()> {
        let hosts = json!({ "hosts": self.hosts()? });
        self.control(PLATFORM_NAME, "/control/hosts", &hosts)
    }

    /// Publishes an agent or entry as draining (state `leaving`) in this and later host lists.
    pub fn publish_draining(&mut self, name: &str) -> io::Result<()> {
        self.draining.push(name.to_string());
        self.publish_hosts()
    }

    /// Replaces the address at which other processes reach a process, for example by that of a
    /// relay. For the platform this applies to processes started later, for agents and entries from
    /// the next published host list on.
    pub fn override_address(&mut self, name: &str, address: &str) {
        self.address_overrides
            .insert(name.to_string(), address.to_string());
    }

    fn platform_address(&self) -> io::Result<String> {
        match self.address_overrides.get(PLATFORM_NAME) {
            Some(address) => Ok(address.clone()),
            None => self.address(PLATFORM_NAME, "address"),
        }
    }

    /// Host list with the current addresses and states.
    pub fn hosts(&self) -> io::Result<Vec<HostRecord>> {
        let deployment = &self.config.deployment;
        let mut hosts = Vec::new();
        for spec in &deployment.entries {
            let address = self.peer_address(&spec.name)?;
            hosts.push(self.current_record(&spec.name, spec.host_record(address)));
        }
        for spec in &deployment.servers {
            let name = spec.agent_name();
            let address = self.peer_address(&name)?;
            hosts.push(self.current_record(&name, spec.host_record(address)));
        }
        Ok(hosts)
    }

    /// Host list record with the current host and state of a process.
    fn current_record(&self, name: &str, mut record: HostRecord) -> HostRecord {
        record.host = self.host_of(name);
        if self.draining.iter().any(|draining| draining == name) {
            record.state = "leaving".to_string();
        }
        record
    }

    fn host_of(&self, name: &str) -> String {
        let prefix = deployment::HOST_PREFIX;
        match self.host_generations.get(name) {
            Some(host_generation) => format!("{prefix}{name}-{host_generation}"),
            None => format!("{prefix}{name}"),
        }
    }

    /// Adds the current host and peer address of a process to its settings.
    fn with_host_and_peer_address(
        &mut self,
        name: &str,
        mut extra_settings: BTreeMap<String, String>,
    ) -> io::Result<BTreeMap<String, String>> {
        let address = self.reserve_peer_address(name)?;
        extra_settings.insert("host".to_string(), format!("\"{}\"", self.host_of(name)));
        extra_settings.insert("peer_address".to_string(), format!("\"{address}\""));
        Ok(extra_settings)
    }

    /// Peer address of an agent or entry, which stays the same across restarts. It is chosen before
    /// the start, so that the host list is published when the first process requests it.
    fn reserve_peer_address(&mut self, name: &str) -> io::Result<String> {
        if let Some(address) = self.peer_addresses.get(name) {
            return Ok(address.clone());
        }
        let address = format!("127.0.0.1:{}", ports::free_port()?);
        let reserved = &mut self.peer_addresses;
        reserved.insert(name.to_string(), address.clone());
        Ok(address)
    }

    fn peer_address(&self, name: &str) -> io::Result<String> {
        let address = self
            .address_overrides
            .get(name)
            .or(self.peer_addresses.get(name));
        let address = address.cloned();
        address.ok_or_else(|| io::Error::other(format!("no peer address is reserved for {name}")))
    }

    fn control(&self, stand_in: &str, path: &str, body: &serde_json::Value) -> io::Result<()> {
        let url = format!("http://{}{path}", self.address(stand_in, "address")?);
        let answer = client::post(&client::agent(CALL_TIMEOUT), &url, body);
        let answer = answer.map_err(io::Error::other)?;
        if answer.status == 200 {
            return Ok(());
        }
        let reason = format!(
            "{stand_in}{path} returned status {}, body {}",
            answer.status, answer.body
        );
        Err(io::Error::other(reason))
    }

    /// Address that a process printed under `key`, such as `admin`, `peer` or `callers` for an entry
    /// and `address` for a stand-in. Error if there is no such process or key.
    pub fn address(&self, name: &str, key: &str) -> io::Result<String> {
        let process = self.processes.get(name);
        let address = process.and_then(|process| process.address(key));
        address.ok_or_else(|| io::Error::other(format!("{name} has printed no {key} address")))
    }

    /// Handle of a process. Error if none of that name was started.
    pub fn process(&mut self, name: &str) -> io::Result<&mut Process> {
        let process = self.processes.get_mut(name);
        process.ok_or_else(|| io::Error::other(format!("no process named {name} was started")))
    }

    /// All started processes, killed ones included, in the order of their names.
    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        self.processes.values()
    }

    /// Directory of the settings, output and log files.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Kills a process if it still runs, starts it again and waits for its new addresses. Does not
    /// publish the host list.
    pub fn restart(&mut self, name: &str) -> io::Result<()> {
        let deadline = Instant::now() + self.config.ready_max;
        let directory = self.directory.clone();
        let process = self.process(name)?;
        process.kill();
        let mut restarted = Process::start(process.program(), &directory)?;
        restarted.wait_until_listening(deadline)?;
        self.processes.insert(name.to_string(), restarted);
        Ok(())
    }

    /// Shuts down entries and then agents gracefully, and kills the stand-ins. The error lists every
    /// process that failed to shut down cleanly.
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

    /// Leaves all processes running and the directory in place.
    pub fn keep(mut self) {
        self.is_kept = true;
        for process in self.processes.values_mut() {
            process.keep();
        }
    }

    /// Error with the last log lines of every process appended.
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
