//! The borders that a platform implements.
//!
//! A platform decides how configuration and backend servers are published, and which headers carry
//! the identity of a request, its remaining time and the evidence of a run. An adapter translates
//! that into the types of `cuminlead-direct-core` and registers itself here by name.

use std::sync::Arc;

use cuminlead_direct_core::Registry;
use cuminlead_settings::EntrySettings;
use cuminlead_types::{BackendServerId, DurationUs, Tokens};
use http::{HeaderMap, Method, StatusCode};

/// What a request says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// Identity, unique for each attempt of the caller.
    pub id: String,
    /// Time that the caller waits.
    pub caller_timeout: Option<DurationUs>,
    /// Tokens of the prompt, for model calls.
    pub prompt_tokens: Option<Tokens>,
    /// Tokens of the answer as the caller expects them, often far off.
    pub answer_tokens: Option<Tokens>,
}

/// What a run tells its server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunHeaders<'a> {
    /// Incarnation that is meant.
    pub server: &'a BackendServerId,
    /// Time left for the answer.
    pub time_left: DurationUs,
    /// Address and name of the KV cache to take.
    pub cache: Option<(std::net::SocketAddr, &'a str)>,
    /// Name of the place that is held for it.
    pub reservation: Option<&'a str>,
    /// Id of the last event that the caller has; the stream continues after it.
    pub resume_after: Option<&'a str>,
}

/// What the head of an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The request succeeded.
    Success,
    /// The server ran the request and failed, and says so in a form that can be passed on.
    Failure,
    /// The server did not run the request and has no room.
    Rejected,
    /// The server is another incarnation than the one that was meant; it ran nothing.
    OtherIncarnation,
    /// It is not an answer to this request, or cannot be passed on.
    Unusable,
}

/// Headers by which requests, runs and answers are described.
pub trait Dialect: Send + Sync {
    /// Reads what a request says of itself; the error is a reason for the caller.
    fn read_request(&self, headers: &HeaderMap) -> Result<CallerRequest, String>;

    /// Headers of a request that are passed on to servers.
    fn forwarded(&self, headers: &HeaderMap) -> HeaderMap;

    /// Adds what a run tells its server.
    fn write_run_headers(&self, headers: &mut HeaderMap, order: &RunHeaders<'_>);

    /// Adds that only the prompt is to be computed.
    fn write_prefill_headers(&self, headers: &mut HeaderMap, order: &RunHeaders<'_>);

    /// Reads the head of an answer.
    fn read_answer(
        &self,
        request: &CallerRequest,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseClass;

    /// Reads the name of the KV cache from the answer to a prefill.
    fn read_prefill(&self, body: &[u8]) -> Result<String, String>;

    /// Request that frees a KV cache at its server.
    fn release(&self, handle: &str) -> (Method, String);

    /// Request that holds a place and memory at an engine: method, path and JSON body.
    fn reserve(&self, memory_tokens: Tokens, ttl: DurationUs) -> (Method, String, Vec<u8>);

    /// Reads the name of a held place.
    fn read_reserved(&self, body: &[u8]) -> Result<String, String>;

    /// Request that gives a held place back.
    fn unreserve(&self, reservation: &str) -> (Method, String);

    /// Headers of an answer that are passed on to the caller.
    fn answered(&self, headers: &HeaderMap) -> HeaderMap;
}

/// Platform, ready for use by one process.
pub struct Adapter {
    /// Where configuration and servers are published.
    pub registry: Box<dyn Registry>,
    /// Headers of requests and answers.
    pub dialect: Arc<dyn Dialect>,
}

/// Registration of an adapter.
#[derive(Clone, Copy, Debug)]
pub struct AdapterPlugin {
    /// Name in the settings.
    pub name: &'static str,
    /// Builds the adapter.
    pub build: fn(&EntrySettings) -> Adapter,
}

inventory::collect!(AdapterPlugin);

/// Adapter by name.
pub fn find(name: &str) -> Option<&'static AdapterPlugin> {
    inventory::iter::<AdapterPlugin>
        .into_iter()
        .find(|plugin| plugin.name == name)
}
