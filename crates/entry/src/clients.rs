//! Connections to agents.
//!
//! One HTTP/2 connection for each agent is kept and shared. Keep-alive runs only while calls are
//! open: pings on 2,300 idle connections would exceed the control budget of a node. A call that is
//! lost drops the connection, so the next one is made anew.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use cuminlead_lists::{HostList, HostState};
use cuminlead_process::secret::PeerSecret;
use cuminlead_types::BackendServerId;
use cuminlead_wire::MESSAGE_MAX_BYTES;
use cuminlead_wire::proto::agent_client::AgentClient;
use tonic::transport::{Channel, Endpoint};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// No connection could be made, so nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectFailed;

/// Connections to agents.
#[derive(Debug, Default)]
pub struct Clients {
    addresses: ArcSwap<HashMap<BackendServerId, String>>,
    channels: Mutex<HashMap<String, Channel>>,
    secret: PeerSecret,
}

impl Clients {
    /// No connections yet.
    pub fn new(secret: PeerSecret) -> Self {
        Self {
            secret,
            ..Self::default()
        }
    }

    /// Secret that messages carry.
    pub fn secret(&self) -> &PeerSecret {
        &self.secret
    }

    /// Takes the addresses of agents from a host list and drops connections to others.
    pub fn update(&self, hosts: &HostList) {
        let mut addresses: HashMap<_, _> = HashMap::new();
        // While a server moves, both hosts may be listed; the live one has the agent that takes work.
        let leaving_first = hosts
            .hosts
            .iter()
            .filter(|host| host.state == HostState::Leaving);
        let live = hosts
            .hosts
            .iter()
            .filter(|host| host.state == HostState::Live);
        for host in leaving_first.chain(live) {
            if let Some(server) = &host.server {
                addresses.insert(server.clone(), host.address.clone());
            }
        }
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        channels.retain(|address, _| addresses.values().any(|known| known == address));
        self.addresses.store(addresses.into());
    }

    /// Client of a server's agent, over a new connection if `fresh`.
    pub async fn client(
        &self,
        server: &BackendServerId,
        fresh: bool,
    ) -> Result<AgentClient<Channel>, ConnectFailed> {
        let address = self
            .addresses
            .load()
            .get(server)
            .cloned()
            .ok_or(ConnectFailed)?;
        if fresh {
            self.drop_channel(&address);
        }
        let kept = self.lock().get(&address).cloned();
        let channel = match kept {
            Some(channel) => channel,
            None => self.connect(&address).await?,
        };
        Ok(AgentClient::new(channel)
            .max_decoding_message_size(MESSAGE_MAX_BYTES)
            .max_encoding_message_size(MESSAGE_MAX_BYTES))
    }

    /// Drops the connection to a server's agent after a call on it was lost.
    pub fn forget(&self, server: &BackendServerId) {
        if let Some(address) = self.addresses.load().get(server) {
            self.drop_channel(address);
        }
    }

    async fn connect(&self, address: &str) -> Result<Channel, ConnectFailed> {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|_| ConnectFailed)?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .tcp_nodelay(true);
        let channel = endpoint.connect().await.map_err(|_| ConnectFailed)?;
        self.lock().insert(address.to_string(), channel.clone());
        Ok(channel)
    }

    fn drop_channel(&self, address: &str) {
        self.lock().remove(address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, Channel>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
