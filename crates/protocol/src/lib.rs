//! Typed messages between the processes and towards back ends.
//!
//! The decision cores speak only these types. `cuminlead-wire` converts the messages between
//! processes to and from the generated protobuf types; the agent process converts the commands and
//! events of [`backend`] to HTTP calls.
//!
//! | module | holds |
//! |---|---|
//! | [`envelope`] | what every message and every reply carries |
//! | [`request`] | messages from an entry to an agent |
//! | [`reply`] | answers of an agent |
//! | [`stream`] | the two-way decode stream |
//! | [`backend`] | commands to and events from the back end beside an agent |

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
