//! Generated tonic code and conversions.
//!
//! The generated code is committed; `cargo run -p cuminlead-codegen --example codegen` renews it from
//! `proto/cuminlead.proto`. Conversions from the wire check every field, because a peer of another
//! version or a stray client may send anything; conversions to the wire cannot fail.
//!
//! | module | converts |
//! |---|---|
//! | [`envelope`] | what every message and reply carries |
//! | [`request`] | messages from an entry to an agent |
//! | [`reply`] | answers of an agent |
//! | [`stream`] | the decode stream |
//! | [`peer`] | updates between processes |

pub mod envelope;
pub mod error;
pub mod peer;
pub mod reply;
pub mod request;
pub mod stream;

pub use error::WireError;

/// Generated messages, clients and servers.
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/cuminlead.v1.rs"]
pub mod proto;

/// Metadata key that carries the secret shared by the processes of a deployment.
pub const PEER_SECRET_METADATA: &str = "x-cuminlead-peer-secret";

/// Largest message between processes: a prompt or body of 4 MiB and its envelope.
pub const MESSAGE_MAX_BYTES: usize = 6 * 1024 * 1024;

/// Largest update between processes: the configuration service holds values up to 1 MB, and a full
/// update carries all of them and the host list.
pub const LISTS_MAX_BYTES: usize = 64 * 1024 * 1024;
