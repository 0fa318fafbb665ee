//! Generated tonic code and conversions.
//!
//! The generated code is committed; `cargo run -p cuminlead-dev --example codegen` renews it from
//! `proto/cuminlead.proto`.

/// Generated messages, clients and servers.
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/cuminlead.v1.rs"]
pub mod proto;
