//! Routing policies as plug-ins and load estimates.

pub mod need;

pub use need::*;
