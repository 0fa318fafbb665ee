//! Home of the example `codegen`, which generates the tonic code of `cuminlead-wire` from its
//! protocol file.
//!
//! The generator is a separate package without dependencies on other packages of the workspace, so
//! that it builds even while the generated code does not match the protocol file and
//! `cuminlead-wire` does not compile.
