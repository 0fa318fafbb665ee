//! Why a process cannot start.

use std::fmt;

/// Step at which the start of a process failed; the report's attachments say more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The settings are not valid.
    Settings,
    /// An address cannot be bound; for an agent, another one may hold the host's slot.
    Bind,
    /// A thread or the runtime cannot be started.
    Thread,
    /// The exporter of spans cannot be built.
    Tracing,
    /// No driver is registered under the name in the settings.
    Plugin,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Settings => "the settings are not valid",
            Self::Bind => "an address cannot be bound",
            Self::Thread => "a thread cannot be started",
            Self::Tracing => "the span exporter cannot be built",
            Self::Plugin => "no plug-in has the name in the settings",
        })
    }
}

impl std::error::Error for StartError {}
