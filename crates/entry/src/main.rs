//! Executable of the entry process.

use std::process::ExitCode;

use cuminlead_entry::process::run;
// Links the platform adapter, which registers itself through `inventory`.
use cuminlead_platform as _;
use cuminlead_process::cli::{self, Program};
use cuminlead_settings::EntrySettings;

fn main() -> ExitCode {
    cli::main(&Program::<EntrySettings> {
        name: "cuminlead-entry",
        run,
    })
}
