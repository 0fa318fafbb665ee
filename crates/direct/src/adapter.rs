//! Interfaces that a platform implements.
//!
//! A platform decides how configuration and backend servers are published, and which headers carry
//! the identity of a request, its remaining time and the proof that a server ran it. An adapter
//! translates these into the types of `cuminlead-direct-core` and registers itself here under a
//! name.

use std::sync::Arc;

use cuminlead_direct_core::{KeyDigest, OperatorConfig, Registry, RequestPriority, ServerNotice};
use cuminlead_settings::EntrySettings;
use cuminlead_types::{BackendServerId, DurationUs, PromptPartId, TeamName, Tokens};
use http::{HeaderMap, Method, StatusCode};

/// Properties of a request that its headers state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// Request id, unique for each attempt of the caller.
    pub id: String,
    /// Time that the caller waits; the route's timeout applies if absent.
    pub caller_timeout: Option<DurationUs>,
    /// Digest of the caller's key; `None` if it sent none, or several.
    pub key: Option<KeyDigest>,
    /// Prompt tokens and most output tokens of a model call together, if stated.
    pub stated_tokens: Option<Tokens>,
    /// Prompt size of a model call; estimated from the body if absent.
    pub prompt_tokens: Option<Tokens>,
    /// The caller's estimate of the output length, often inaccurate.
    pub answer_tokens: Option<Tokens>,
    /// Parts of the prompt that other requests may share, in order; without the last part, which is
    /// the request's own.
    pub prompt_parts: Vec<PromptPartId>,
}

/// What a forwarded request tells about its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity<'a> {
    /// Callers need no key, and headers about them are forwarded as any other.
    Unchecked,
    /// Keys are not forwarded, and servers get the name of the team instead.
    Checked {
        /// Team of the caller; `None` for a caller without a known key.
        team: Option<&'a TeamName>,
        /// Urgency of the request.
        priority: RequestPriority,
    },
}

/// Values that the headers of a run or prefill pass to the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunHeaders<'a> {
    /// Incarnation that the request is meant for.
    pub server: &'a BackendServerId,
    /// Time left until the response must be complete.
    pub time_left: DurationUs,
    /// Address of the prefill server and name of the KV cache to import.
    pub cache: Option<(std::net::SocketAddr, &'a str)>,
    /// Name of the slot reservation at the engine.
    pub reservation: Option<&'a str>,
    /// Id of the last event that the caller received; the stream continues after it.
    pub resume_after: Option<&'a str>,
}

/// Meaning of a response's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The request succeeded.
    Success,
    /// The server ran the request and failed; the response can be forwarded to the caller.
    Failure,
    /// The server rejected the request for lack of capacity and did not run it.
    Rejected,
    /// Another incarnation than the addressed one received the request and did not run it.
    OtherIncarnation,
    /// Response that can't be forwarded and proves nothing about the request.
    Unusable,
}

/// Mapping of requests, runs and responses to the platform's headers and paths.
pub trait ProtocolMapping: Send + Sync {
    /// Parses the headers of a caller's request. The error is the reason given to the caller.
    fn read_request(&self, headers: &HeaderMap) -> Result<CallerRequest, String>;

    /// Selects the request headers that are forwarded to servers, and adds the caller's identity.
    fn request_headers(&self, headers: &HeaderMap, identity: &Identity<'_>) -> HeaderMap;

    /// Adds the headers of a run.
    fn write_run_headers(&self, headers: &mut HeaderMap, order: &RunHeaders<'_>);

    /// Adds the headers of a prefill, which computes only the prompt.
    fn write_prefill_headers(&self, headers: &mut HeaderMap, order: &RunHeaders<'_>);

    /// Id of the request that a response states to be for; `None` if it states none.
    fn response_id<'h>(&self, headers: &'h HeaderMap) -> Option<&'h str>;

    /// Classifies a response to a run or a prefill by its head.
    fn classify_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseClass;

    /// Parses what the server says about itself; malformed values are taken as absent.
    fn read_notice(&self, status: StatusCode, headers: &HeaderMap) -> ServerNotice;

    /// Parses the name of the KV cache from the response to a prefill. The error says what is
    /// malformed.
    fn read_prefill(&self, body: &[u8]) -> Result<String, String>;

    /// Method and path of the request that releases a KV cache at its server.
    fn release(&self, handle: &str) -> (Method, String);

    /// Method, path and JSON body of the request that reserves a decode slot and KV memory at an
    /// engine.
    fn reserve(&self, memory_tokens: Tokens, ttl: DurationUs) -> (Method, String, Vec<u8>);

    /// Parses the name of the reservation from the response. The error says what is malformed.
    fn read_reserved(&self, body: &[u8]) -> Result<String, String>;

    /// Method and path of the request that releases a slot reservation.
    fn unreserve(&self, reservation: &str) -> (Method, String);

    /// Selects the response headers that are forwarded to the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;
}

/// Platform interfaces for one process.
pub struct Adapter {
    /// Source of the configuration and of the backend servers.
    pub registry: Box<dyn Registry>,
    /// Decodes a published configuration that came through an agent. The error is the reason why it
    /// cannot be used.
    pub decode_configuration: fn(&[u8]) -> Result<OperatorConfig, String>,
    /// Protocol mapping of the platform.
    pub protocol_mapping: Arc<dyn ProtocolMapping>,
}

/// Registration of a platform's adapter.
#[derive(Clone, Copy, Debug)]
pub struct AdapterPlugin {
    /// Name by which the settings select the adapter.
    pub name: &'static str,
    /// Builds the adapter from the settings of the process.
    pub build: fn(&EntrySettings) -> Adapter,
}

inventory::collect!(AdapterPlugin);

/// Finds a registered adapter by its name.
pub fn find(name: &str) -> Option<&'static AdapterPlugin> {
    inventory::iter::<AdapterPlugin>
        .into_iter()
        .find(|plugin| plugin.name == name)
}
