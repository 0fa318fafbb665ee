//! Generates the tonic code of `cuminlead-wire`; see the example `codegen`.
//!
//! A package of its own that depends on no other package of the workspace, so that it builds while
//! the generated code does not match the messages.
