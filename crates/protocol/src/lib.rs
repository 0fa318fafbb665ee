//! Typed messages between entries and agents, and between agents and backend servers.
//!
//! The core packages, which make the decisions without I/O, use only these types. `cuminlead-wire`
//! converts the messages between processes to and from the generated protobuf types; the agent
//! process maps the commands and events of [`backend`] to HTTP calls.
//!
//! | module | contents |
//! |---|---|
//! | [`envelope`] | the fields common to all messages and replies |
//! | [`request`] | requests from an entry to an agent |
//! | [`reply`] | replies from an agent |
//! | [`stream`] | messages on the bidirectional decode stream |
//! | [`backend`] | commands to the backend server beside an agent, and events from it |

pub mod backend;
pub mod envelope;
pub mod reply;
pub mod request;
pub mod stream;

pub use backend::*;
pub use envelope::*;
pub use reply::*;
pub use request::*;
pub use stream::*;
