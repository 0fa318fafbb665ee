//! Entry that calls backend servers directly, without an agent on the request path.
//!
//! A single traffic thread runs an event loop that owns all state of requests and servers. The
//! control thread watches the registry and sends updates to the traffic thread. A thread for each
//! request, as in the entry with agents, needs more memory and wake-ups than a host with a fifth of
//! a core can spare. The crate uses hyper without axum, because it controls when a connection is
//! reused, cancelled or closed.
//!
//! | module | contents |
//! |---|---|
//! | [`adapter`] | interfaces that a platform implements |
//! | [`app`] | state shared by all requests of the traffic thread |
//! | [`connections`] | callers' connections under the budget of the process |
//! | `request_body` | reads the bodies of callers' requests |
//! | [`body`] | body of a response to a caller |
//! | [`caller_buffer`] | bytes of a relayed response that its caller has not taken |
//! | [`connection`] | one connection to a backend server |
//! | [`correlation`] | whether a response belongs to a request |
//! | [`response_validity`] | whether a response is valid and complete |
//! | [`shared_stream`] | TCP stream that can be inspected while hyper owns it |
//! | [`pool`] | idle connections to backend servers |
//! | [`exchange`] | one request to one server, and its response |
//! | [`server_response`] | responses of servers to runs, and their connections |
//! | [`engine_resources`] | reservation of decode slots, release of slots and KV caches |
//! | `owners` | agents that own the counts which all entries share |
//! | `permits` | permits for requests to servers that have named a limit |
//! | `team_usage` | admission of requests by the usage limits of their teams |
//! | `crash_reports` | reports of crashed engines, as evidence against prompt parts |
//! | [`drive`] | execution of a call's actions |
//! | [`head_timer`] | timeout for the head of a caller's request |
//! | [`relay`] | forwarding of streams |
//! | [`serve`] | callers' connections and requests |
//! | [`agent_configuration`] | configuration through an agent |
//! | [`control`] | thread that watches the registry |
//! | `configuration_metrics` | metrics of the configuration in force |
//! | [`status`] | metrics, readiness and the status page |
//! | `slow_servers` | log lines for servers that are slower than others of their service |
//! | [`process`] | start and shutdown |

pub mod adapter;
pub mod agent_configuration;
pub mod app;
pub mod body;
pub mod caller_buffer;
mod configuration_metrics;
pub mod connection;
pub mod connections;
pub mod control;
pub mod correlation;
mod crash_reports;
pub mod drive;
pub mod engine_resources;
pub mod exchange;
pub mod head_timer;
mod owners;
mod permits;
pub mod pool;
pub mod process;
pub mod relay;
mod request_body;
pub mod response_validity;
pub mod serve;
pub mod server_response;
pub mod shared_stream;
mod slow_servers;
pub mod status;
mod team_usage;
