//! HTTP/2 connections to agents.
//!
//! All calls to an agent share one connection. Keep-alive pings are sent only while calls are open:
//! pings on 2,300 idle connections would exceed the control traffic budget of a node. When a call
//! is lost, its connection is closed and the next call opens a new one.

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

/// The connection could not be established, so nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectFailed;

/// Connections to agents by address, and the addresses by backend server.
#[derive(Debug, Default)]
pub struct AgentConnections {
    addresses: ArcSwap<HashMap<BackendServerId, String>>,
    channels: Mutex<HashMap<String, Channel>>,
    secret: PeerSecret,
}

impl AgentConnections {
    /// Starts without addresses or connections; `secret` is attached to every message.
    pub fn new(secret: PeerSecret) -> Self {
        Self {
            secret,
            ..Self::default()
        }
    }

    /// Secret that authenticates this process to agents.
    pub fn secret(&self) -> &PeerSecret {
        &self.secret
    }

    /// Replaces the addresses with those of a host list and closes connections to other addresses.
    pub fn update(&self, hosts: &HostList) {
        let mut addresses: HashMap<_, _> = HashMap::new();
        // While a server moves between hosts, both may be listed. The live host is inserted last,
        // because its agent is the one that accepts work.
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

    /// Returns a client of a server's agent. `use_new_connection` closes the shared
    /// connection first and opens a new one. Fails when the server's address is unknown or the agent
    /// can't be reached.
    pub async fn client(
        &self,
        server: &BackendServerId,
        use_new_connection: bool,
    ) -> Result<AgentClient<Channel>, ConnectFailed> {
        let address = self
            .addresses
            .load()
            .get(server)
            .cloned()
            .ok_or(ConnectFailed)?;
        if use_new_connection {
            self.drop_channel(&address);
        }
        let existing = self.lock_channels().get(&address).cloned();
        let channel = match existing {
            Some(channel) => channel,
            None => self.connect(&address).await?,
        };
        Ok(AgentClient::new(channel)
            .max_decoding_message_size(MESSAGE_MAX_BYTES)
            .max_encoding_message_size(MESSAGE_MAX_BYTES))
    }

    /// Closes the connection to a server's agent after a call on it was lost.
    pub fn disconnect(&self, server: &BackendServerId) {
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
        self.lock_channels()
            .insert(address.to_string(), channel.clone());
        Ok(channel)
    }

    fn drop_channel(&self, address: &str) {
        self.lock_channels().remove(address);
    }

    fn lock_channels(&self) -> std::sync::MutexGuard<'_, HashMap<String, Channel>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
