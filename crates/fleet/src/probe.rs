//! Queries to the processes of a running fleet, and waiting for conditions on the results.

use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{CALL_TIMEOUT, Fleet, POLL_INTERVAL};
use crate::caller::Caller;
use cuminlead_stand_ins::client;

impl Fleet {
    /// JSON body of a process's response to a GET of `path`, at the address printed under `key`.
    pub fn get_json(&self, name: &str, key: &str, path: &str) -> io::Result<Value> {
        let url = format!("http://{}{path}", self.address(name, key)?);
        let answer = client::get(&client::agent(CALL_TIMEOUT), &url).map_err(io::Error::other)?;
        Ok(answer.body)
    }

    /// Sequences for which an engine retains KV memory.
    pub fn sequences(&self, engine: &str) -> io::Result<Vec<String>> {
        let inventory = self.get_json(engine, "address", "/v1/inventory")?;
        let sequences = inventory["sequences"].as_array().cloned();
        let sequences =
            sequences.ok_or_else(|| io::Error::other("the inventory has no list of sequences"))?;
        Ok(sequences.iter().map(ToString::to_string).collect())
    }

    /// Value of one of an engine's work counters, such as `prefills` or `generated_tokens`.
    pub fn count(&self, engine: &str, count: &str) -> io::Result<u64> {
        let counts = self.get_json(engine, "address", "/control/counts")?;
        let count = counts[count].as_u64();
        count.ok_or_else(|| io::Error::other("the engine has no such counter"))
    }

    /// Number of effects of one service server by reference.
    pub fn effects_of(&self, service: &str) -> io::Result<BTreeMap<String, u64>> {
        let answer = self.get_json(service, "address", "/effects")?;
        let effects = answer["effects"].as_object();
        let effects = effects
            .ok_or_else(|| io::Error::other("the response of the service has no effects"))?;
        let counts = effects.iter();
        let counts = counts.map(|(name, count)| (name.clone(), count.as_u64().unwrap_or_default()));
        Ok(counts.collect())
    }

    /// Number of effects of all service servers by reference.
    pub fn effects(&self) -> io::Result<BTreeMap<String, u64>> {
        let mut effects = BTreeMap::new();
        let services = self.config.deployment.servers.iter();
        for spec in services.filter(|spec| spec.role().is_none()) {
            for (reference, count) in self.effects_of(&spec.id)? {
                *effects.entry(reference).or_default() += count;
            }
        }
        Ok(effects)
    }

    /// Status document of an agent or entry.
    pub fn status(&self, name: &str) -> io::Result<Value> {
        self.get_json(name, "admin", "/status")
    }

    /// Active revision of the lists at an agent or entry.
    pub fn lists_revision(&self, name: &str) -> io::Result<u64> {
        let status = self.status(name)?;
        let revision = status["lists_revision"].as_u64();
        revision.ok_or_else(|| io::Error::other("the status has no lists_revision"))
    }

    /// Text of all metrics of an agent or entry.
    pub fn metrics(&self, name: &str) -> io::Result<String> {
        let url = format!("http://{}/metrics", self.address(name, "admin")?);
        let answer = client::agent(CALL_TIMEOUT).get(&url).call();
        let text = answer
            .map_err(io::Error::other)?
            .body_mut()
            .read_to_string();
        text.map_err(io::Error::other)
    }

    /// Sum of all samples whose names and labels start with `metric`; 0 if there is none.
    pub fn metric(&self, name: &str, metric: &str) -> io::Result<f64> {
        let text = self.metrics(name)?;
        let samples = text.lines().filter(|line| line.starts_with(metric));
        let values = samples.filter_map(|line| line.rsplit(' ').next());
        Ok(values.filter_map(|value| value.parse::<f64>().ok()).sum())
    }

    /// Names of all agents and then of all entries, in the order of the deployment.
    pub fn agent_and_entry_names(&self) -> Vec<String> {
        let deployment = &self.config.deployment;
        let agents = deployment.servers.iter().map(|spec| spec.agent_name());
        let entries = deployment.entries.iter().map(|spec| spec.name.clone());
        agents.chain(entries).collect()
    }

    /// HTTP client of an entry with the customer's key; each request fails after `timeout`.
    pub fn caller(&self, entry: &str, timeout: Duration) -> io::Result<Caller> {
        let address = self.address(entry, "callers")?;
        Ok(Caller::new(&address, &self.key, timeout))
    }

    /// Polls until a condition is met; an error of the condition counts as not met. After `timeout`
    /// the error names the condition, its last result and the ends of the logs.
    pub fn wait_for(
        &self,
        condition: &str,
        timeout: Duration,
        mut is_met: impl FnMut(&Self) -> io::Result<bool>,
    ) -> io::Result<()> {
        let deadline = Instant::now() + timeout;
        loop {
            let last_result = is_met(self);
            if matches!(last_result, Ok(true)) {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let reason = format!(
                    "condition not met within {timeout:?}: {condition} (last result: {last_result:?})"
                );
                return Err(self.explain(&io::Error::other(reason)));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
