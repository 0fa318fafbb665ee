//! The process between callers and agents.
