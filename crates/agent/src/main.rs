//! The agent binary.

use std::process::ExitCode;

use cuminlead_agent::process::{CheckedSettings, run};
use cuminlead_process::cli::{self, Program};

fn main() -> ExitCode {
    cli::main(&Program::<CheckedSettings> {
        name: "cuminlead-agent",
        run,
    })
}
