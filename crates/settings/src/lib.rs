//! TOML settings of both binaries, checked with findings.
