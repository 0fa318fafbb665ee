//! The address for callers.
//!
//! | module | holds |
//! |---|---|
//! | [`answer`] | bodies of answers: whole, streamed, errors |
//! | [`chat`] | the shape of chat and text completion |
//! | [`handler`] | checks that come before any work |
//! | [`model`] | model calls |
//! | [`service`] | application calls |

pub mod answer;
pub mod chat;
pub mod handler;
pub mod model;
pub mod service;
