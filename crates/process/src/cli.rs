//! Command line of both binaries.
//!
//! Exit status: 0 on success, 1 when there are findings or the command failed, 2 when the command
//! line is invalid.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fs;
use std::process::ExitCode;

use cuminlead_kernel::{PluginPoint, plugins_at};
use cuminlead_lists::{Lists, Part, PartKey, Snapshot};
use cuminlead_settings::{AgentSettings, EntrySettings};
use cuminlead_types::{Findings, Revision, SourceLocation};
use error_stack::{AttachmentKind, FrameKind, Report};
use gumdrop::{Options, ParsingStyle};
use strum::IntoEnumIterator;

use crate::error::StartError;

const EXIT_FAILURE: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Largest value that the configuration service stores.
const PART_MAX_BYTES: usize = 1_000_000;

/// Runs the process, checks its settings or the lists, or describes the binary.
#[derive(Debug, Options)]
pub struct CommandLine {
    /// print this help
    help: bool,

    /// TOML file with the settings of the process
    #[options(meta = "FILE")]
    settings: Option<String>,

    #[options(command)]
    command: Option<Command>,
}

/// Subcommands of both binaries.
#[derive(Debug, Options)]
enum Command {
    /// run the process until SIGTERM or SIGINT
    Run(NoOptions),

    /// check the settings and report every finding with file, line and key
    Check(NoOptions),

    /// print the effective settings; secrets are redacted
    Print(NoOptions),

    /// check plans and allowances before they are published
    CheckLists(ListOptions),

    /// list the plug-ins in this binary
    Plugins(NoOptions),

    /// print the version
    Version(NoOptions),
}

#[derive(Debug, Options)]
struct NoOptions {
    /// print this help
    help: bool,
}

#[derive(Debug, Options)]
struct ListOptions {
    /// print this help
    help: bool,

    /// file with one part of the plans; may be repeated
    #[options(meta = "FILE")]
    plans: Vec<String>,

    /// file with one part of the allowances; may be repeated
    #[options(meta = "FILE")]
    allowances: Vec<String>,
}

impl ListOptions {
    fn is_empty(&self) -> bool {
        self.plans.is_empty() && self.allowances.is_empty()
    }
}

/// Settings type of one of the binaries.
pub trait ProcessSettings: Display + Sized {
    /// Parses the text of a settings file; `file` is its name in findings.
    fn parse_file(file: &str, text: &str) -> Result<Self, Findings>;
}

impl ProcessSettings for EntrySettings {
    fn parse_file(file: &str, text: &str) -> Result<Self, Findings> {
        Self::parse(file, text)
    }
}

impl ProcessSettings for AgentSettings {
    fn parse_file(file: &str, text: &str) -> Result<Self, Findings> {
        Self::parse(file, text)
    }
}

/// One of the two binaries.
#[derive(Clone, Copy, Debug)]
pub struct Program<S> {
    /// Name of the binary.
    pub name: &'static str,
    /// Runs the process until it is signalled to stop.
    pub run: fn(&S) -> Result<(), Report<StartError>>,
}

/// Parses the command line and runs the command.
pub fn main<S: ProcessSettings>(program: &Program<S>) -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let command_line = match CommandLine::parse_args(&arguments, ParsingStyle::AllOptions) {
        Ok(command_line) => command_line,
        Err(error) => {
            eprintln!("{}: {error}; try --help", program.name);
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if command_line.help_requested() || command_line.command.is_none() {
        print_help(program.name, &command_line);
        return ExitCode::from(if command_line.help_requested() {
            0
        } else {
            EXIT_USAGE
        });
    }
    run_command(program, command_line)
}

fn print_help(name: &str, command_line: &CommandLine) {
    println!(
        "Usage: {name} --settings FILE COMMAND\n\n{}",
        command_line.self_usage()
    );
    if let Some(commands) = command_line.self_command_list() {
        println!("\nCommands:\n{commands}");
    }
    println!("\nExit status: 0 success, 1 findings or failure, 2 invalid command line.");
}

fn run_command<S: ProcessSettings>(program: &Program<S>, command_line: CommandLine) -> ExitCode {
    match command_line.command {
        Some(Command::Run(_)) => with_settings(program, command_line.settings, |settings| {
            report((program.run)(settings).map_err(|error| one_line(&error)))
        }),
        Some(Command::Check(_)) => with_settings(program, command_line.settings, |_| {
            println!("no findings");
            ExitCode::SUCCESS
        }),
        Some(Command::Print(_)) => with_settings(program, command_line.settings, |settings| {
            print!("{settings}");
            ExitCode::SUCCESS
        }),
        Some(Command::CheckLists(options)) if options.is_empty() => {
            eprintln!(
                "{}: check-lists needs --plans FILE or --allowances FILE",
                program.name
            );
            ExitCode::from(EXIT_USAGE)
        }
        Some(Command::CheckLists(options)) => report(check_lists(&options)),
        Some(Command::Plugins(_)) => {
            print_plugins();
            ExitCode::SUCCESS
        }
        Some(Command::Version(_)) | None => {
            println!("{} {}", program.name, env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
    }
}

/// Joins the contexts and printable attachments of an error into one line, outermost first.
fn one_line(error: &Report<StartError>) -> String {
    let texts = error.frames().filter_map(|frame| match frame.kind() {
        FrameKind::Context(context) => Some(context.to_string()),
        FrameKind::Attachment(AttachmentKind::Printable(text)) => Some(text.to_string()),
        FrameKind::Attachment(_) => None,
    });
    texts.collect::<Vec<_>>().join(": ")
}

fn report(result: Result<(), String>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("{}", text.trim_end());
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn with_settings<S: ProcessSettings>(
    program: &Program<S>,
    file: Option<String>,
    action: impl FnOnce(&S) -> ExitCode,
) -> ExitCode {
    let Some(file) = file else {
        eprintln!("{}: this command needs --settings FILE", program.name);
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = read_file(&file).and_then(|text| S::parse_file(&file, &text));
    match settings {
        Ok(settings) => action(&settings),
        Err(findings) => report(Err(findings.to_string())),
    }
}

fn read_file(file: &str) -> Result<String, Findings> {
    fs::read_to_string(file).map_err(|error| file_finding(file, format!("cannot be read: {error}")))
}

fn file_finding(file: &str, message: String) -> Findings {
    let mut findings = Findings::new();
    let location = SourceLocation {
        file: file.to_string(),
        ..SourceLocation::default()
    };
    findings.add(location, message);
    findings
}

fn check_lists(options: &ListOptions) -> Result<(), String> {
    let plans = options.plans.iter().map(|file| ("plans", file));
    let allowances = options.allowances.iter().map(|file| ("allowances", file));
    let mut findings = Findings::new();
    let mut files = BTreeMap::new();
    let mut parts = Vec::new();
    for (kind, file) in plans.chain(allowances) {
        match read_part(file) {
            Ok(text) => {
                let key = format!("{kind}/{file}");
                files.insert(key.clone(), file);
                parts.push(Part {
                    key: PartKey::new(key),
                    revision: Revision(1),
                    text,
                });
            }
            Err(read_findings) => findings.extend(read_findings),
        }
    }
    let checked = Snapshot::new(Revision(1), parts).check();
    let lists = match checked {
        Ok(lists) => lists,
        Err(list_findings) => {
            for finding in list_findings.iter() {
                findings.add(
                    location_in_file(&finding.location, &files),
                    finding.message.clone(),
                );
            }
            Lists::default()
        }
    };
    if !findings.is_empty() {
        return Err(findings.to_string());
    }
    let (customers, servers) = (lists.customers.len(), lists.servers.len());
    println!("no findings: customers={customers} servers={servers}");
    Ok(())
}

fn read_part(file: &str) -> Result<String, Findings> {
    let text = read_file(file)?;
    if text.len() <= PART_MAX_BYTES {
        return Ok(text);
    }
    let message = format!(
        "{} bytes are more than the {PART_MAX_BYTES} that the configuration service stores; \
         split the list into parts",
        text.len()
    );
    Err(file_finding(file, message))
}

/// Replaces the part key in a location by the name of the file that the part was read from.
fn location_in_file(
    location: &SourceLocation,
    files: &BTreeMap<String, &String>,
) -> SourceLocation {
    let mut location = location.clone();
    if let Some(file) = files.get(&location.file) {
        location.file.clone_from(file);
    }
    location
}

fn print_plugins() {
    for point in PluginPoint::iter() {
        for plugin in plugins_at(point) {
            println!("{point} {}: {}", plugin.name, plugin.summary);
        }
    }
}
