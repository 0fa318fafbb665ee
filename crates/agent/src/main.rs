//! The agent binary.

use std::process::ExitCode;

use cuminlead_agent::process::run;
// Links the adapter, which registers itself.
use cuminlead_platform as _;
use cuminlead_process::cli::{self, Program};
use cuminlead_settings::AgentSettings;

fn main() -> ExitCode {
    cli::main(&Program::<AgentSettings> {
        name: "cuminlead-agent",
        run,
    })
}
