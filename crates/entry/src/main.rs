//! The entry binary.

use std::process::ExitCode;

use cuminlead_entry::process::run;
// Links the adapter, which registers itself.
use cuminlead_platform as _;
use cuminlead_process::cli::{self, Program};
use cuminlead_settings::EntrySettings;

fn main() -> ExitCode {
    cli::main(&Program::<EntrySettings> {
        name: "cuminlead-entry",
        run,
    })
}
