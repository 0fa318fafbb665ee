//! Generated gRPC code and conversions between its messages and the types of the other packages.
//!
//! The generated code is committed; `cargo run -p cuminlead-codegen --example codegen` regenerates
//! it from `proto/cuminlead.proto`. Conversions from protobuf messages validate every field,
//! because a peer of another version or an unrelated client may send anything. Conversions to
//! protobuf messages are infallible.
//!
//! | module | converts |
//! |---|---|
//! | [`envelope`] | the fields common to all messages and replies, and ids |
//! | [`request`] | messages from an entry to an agent |
//! | [`reply`] | replies from an agent |
//! | [`stream`] | messages on a decode stream |
//! | [`peer`] | updates of lists and host list between processes |

pub mod envelope;
pub mod error;
pub mod peer;
pub mod reply;
pub mod request;
pub mod stream;

pub use error::WireError;

/// Generated protobuf messages, gRPC clients and servers.
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/cuminlead.v1.rs"]
pub mod proto;

/// Key of the gRPC metadata with the secret that all processes of a deployment share.
pub const PEER_SECRET_METADATA: &str = "x-cuminlead-peer-secret";

/// Largest message between an entry and an agent: a prompt or body of 4 MiB plus its envelope.
pub const MESSAGE_MAX_BYTES: usize = 6 * 1024 * 1024;

/// Largest update between processes. The configuration service stores values of up to 1 MB each,
/// and a full update contains all of them and the host list.
pub const LISTS_MAX_BYTES: usize = 64 * 1024 * 1024;
