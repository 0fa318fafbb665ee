//! Executable of the agent process.

use std::process::ExitCode;

use cuminlead_agent::process::run;
// Links the platform adapter, which registers itself through `inventory`.
use cuminlead_platform as _;
use cuminlead_process::cli::{self, Program};
use cuminlead_settings::AgentSettings;

fn main() -> ExitCode {
    cli::main(&Program::<AgentSettings> {
        name: "cuminlead-agent",
        run,
    })
}
