//! Reads of a running fleet and waits for a condition.

use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{CALL_LIMIT, Fleet, POLL};
use crate::caller::Caller;
use cuminlead_stand_ins::client;

impl Fleet {
    /// JSON answer of a process to a GET.
    pub fn read(&self, name: &str, key: &str, path: &str) -> io::Result<Value> {
        let url = format!("http://{}{path}", self.address(name, key)?);
        let answer = client::get(&client::agent(CALL_LIMIT), &url).map_err(io::Error::other)?;
        Ok(answer.body)
    }

    /// Sequences that hold memory of an engine.
    pub fn sequences(&self, engine: &str) -> io::Result<Vec<String>> {
        let inventory = self.read(engine, "address", "/v1/inventory")?;
        let held = inventory["sequences"].as_array().cloned();
        let held = held.ok_or_else(|| io::Error::other("no inventory"))?;
        Ok(held.iter().map(ToString::to_string).collect())
    }

    /// Work that an engine has done: one of its counts.
    pub fn count(&self, engine: &str, count: &str) -> io::Result<u64> {
        let counts = self.read(engine, "address", "/control/counts")?;
        let count = counts[count].as_u64();
        count.ok_or_else(|| io::Error::other("no such count"))
    }

    /// Effects of one service by reference.
    pub fn effects_of(&self, service: &str) -> io::Result<BTreeMap<String, u64>> {
        let answer = self.read(service, "address", "/effects")?;
        let effects = answer["effects"].as_object();
        let effects = effects.ok_or_else(|| io::Error::other("no effects"))?;
        let counts = effects.iter();
        let counts = counts.map(|(name, count)| (name.clone(), count.as_u64().unwrap_or_default()));
        Ok(counts.collect())
    }

    /// Effects of all services by reference.
    pub fn effects(&self) -> io::Result<BTreeMap<String, u64>> {
        let mut effects = BTreeMap::new();
        let services = self.config.deployment.servers.iter();
        for place in services.filter(|place| place.role().is_none()) {
            for (reference, count) in self.effects_of(&place.id)? {
                *effects.entry(reference).or_default() += count;
            }
        }
        Ok(effects)
    }

    /// Status page of an agent or entry.
    pub fn status(&self, name: &str) -> io::Result<Value> {
        self.read(name, "admin", "/status")
    }

    /// Revision of the lists in force at an agent or entry.
    pub fn lists_revision(&self, name: &str) -> io::Result<u64> {
        let status = self.status(name)?;
        let revision = status["lists_revision"].as_u64();
        revision.ok_or_else(|| io::Error::other("no lists_revision"))
    }

    /// All metrics of an agent or entry.
    pub fn metrics(&self, name: &str) -> io::Result<String> {
        let url = format!("http://{}/metrics", self.address(name, "admin")?);
        let answer = client::agent(CALL_LIMIT).get(&url).call();
        let text = answer
            .map_err(io::Error::other)?
            .body_mut()
            .read_to_string();
        text.map_err(io::Error::other)
    }

    /// Sum of the samples of a metric over its labels; zero when there is none.
    pub fn metric(&self, name: &str, metric: &str) -> io::Result<f64> {
        let text = self.metrics(name)?;
        let samples = text.lines().filter(|line| line.starts_with(metric));
        let values = samples.filter_map(|line| line.rsplit(' ').next());
        Ok(values.filter_map(|value| value.parse::<f64>().ok()).sum())
    }

    /// Names of all agents and entries.
    pub fn own_processes(&self) -> Vec<String> {
        let deployment = &self.config.deployment;
        let agents = deployment.servers.iter().map(|place| place.agent_name());
        let entries = deployment.entries.iter().map(|place| place.name.clone());
        agents.chain(entries).collect()
    }

    /// Caller of an entry; a request ends after `limit`.
    pub fn caller(&self, entry: &str, limit: Duration) -> io::Result<Caller> {
        let address = self.address(entry, "callers")?;
        Ok(Caller::new(&address, &self.key, limit))
    }

    /// Waits until a condition holds; an error of the condition counts as not yet.
    pub fn wait_for(
        &self,
        what: &str,
        limit: Duration,
        mut is_met: impl FnMut(&Self) -> io::Result<bool>,
    ) -> io::Result<()> {
        let deadline = Instant::now() + limit;
        loop {
            let seen = is_met(self);
            if matches!(seen, Ok(true)) {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let reason = format!("not within {limit:?}: {what} (last: {seen:?})");
                return Err(self.explain(&io::Error::other(reason)));
            }
            std::thread::sleep(POLL);
        }
    }
}
