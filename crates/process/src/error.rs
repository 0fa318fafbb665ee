//! Errors that prevent a process from starting.

use std::fmt;

/// Step at which the start of a process failed; attachments of the report give details.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The settings are invalid.
    Settings,
    /// An address cannot be bound. For an agent, another agent on the host may already use it.
    Bind,
    /// A thread or the runtime cannot be started.
    Thread,
    /// The span exporter cannot be built.
    Tracing,
    /// No plug-in is registered under the name in the settings.
    Plugin,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Settings => "invalid settings",
            Self::Bind => "cannot bind address",
            Self::Thread => "cannot start thread or runtime",
            Self::Tracing => "cannot build span exporter",
            Self::Plugin => "no plug-in registered under the name in the settings",
        })
    }
}

impl std::error::Error for StartError {}
