//! The entry binary.

use std::process::ExitCode;

use cuminlead_entry::process::run;
use cuminlead_process::cli::{self, Program};
use cuminlead_settings::EntrySettings;

fn main() -> ExitCode {
    cli::main(&Program::<EntrySettings> {
        name: "cuminlead-entry",
        run,
    })
}
