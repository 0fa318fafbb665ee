//! The entry that calls backend servers itself.
//!
//! One traffic thread runs an event loop that owns all state of requests and servers; the control
//! thread follows the registry and hands over what has changed. A thread for each request, as in
//! the entry with agents, costs more memory and wake-ups than a host with a fifth of a core has.
//! hyper is used without axum, because requests need control over the reuse, the cancellation and
//! the closing of connections.
//!
//! | module | holds |
//! |---|---|
//! | [`adapter`] | the borders that a platform implements |
//! | [`app`] | what all requests of the traffic thread share |
//! | [`body`] | the body of an answer to a caller |
//! | [`channel`] | one connection to a backend server |
//! | [`pool`] | kept connections |
//! | [`exchange`] | sends one request to one server |
//! | [`command`] | requests of this process itself: places, and caches that nobody takes |
//! | [`drive`] | carries out the actions of a call |
//! | [`head_timer`] | bounds the time of a head |
//! | [`relay`] | passes a stream on |
//! | [`serve`] | takes the requests of callers |
//! | [`control`] | the thread that follows the registry |
//! | [`status`] | metrics, readiness and the status page |
//! | [`process`] | start and stop |

pub mod adapter;
pub mod app;
pub mod body;
pub mod channel;
pub mod command;
pub mod control;
pub mod drive;
pub mod exchange;
pub mod head_timer;
pub mod pool;
pub mod process;
pub mod relay;
pub mod serve;
pub mod status;
