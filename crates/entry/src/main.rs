//! The entry binary.

use std::process::ExitCode;

use cuminlead_entry::process::{CheckedSettings, run};
use cuminlead_process::cli::{self, Program};

fn main() -> ExitCode {
    cli::main(&Program::<CheckedSettings> {
        name: "cuminlead-entry",
        run,
    })
}
