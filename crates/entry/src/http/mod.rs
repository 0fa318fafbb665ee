//! HTTP API for callers.
//!
//! | module | contents |
//! |---|---|
//! | [`completion`] | request and response formats of chat and text completion |
//! | [`handler`] | authentication and other checks before a call starts |
//! | [`model`] | model calls |
//! | [`response`] | HTTP responses: complete, streamed, errors |
//! | [`service`] | application calls |

pub mod completion;
pub mod handler;
pub mod model;
pub mod response;
pub mod service;
