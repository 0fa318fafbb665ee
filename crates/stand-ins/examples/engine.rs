//! Runs an inference engine stand-in and prints its address.

use std::error::Error;
use std::time::Duration;

use cuminlead_stand_ins::engine::{Engine, EngineConfig};
use cuminlead_stand_ins::http::announce_and_wait;
use gumdrop::Options;

#[derive(Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "listen address", default = "127.0.0.1:0")]
    address: String,
    #[options(help = "role at the start: prefill or decode", default = "prefill")]
    role: String,
    #[options(help = "model loaded at the start, as model:version; repeatable")]
    model: Vec<String>,
    #[options(help = "adapter loaded at the start; repeatable")]
    adapter: Vec<String>,
    #[options(
        help = "whether orders with an old fencing number are rejected",
        default = "true"
    )]
    fenced: String,
    #[options(help = "most sequences decoded in one step", default = "20")]
    batch_max: usize,
    #[options(help = "KV memory in pieces of 4,096 tokens", default = "128")]
    total_pieces: u32,
    #[options(help = "prompt tokens computed per second", default = "20000")]
    prefill_rate: u64,
    #[options(
        help = "capacity of the prefix cache in prompt blocks",
        default = "4096",
        no_short
    )]
    cache_blocks: usize,
    #[options(help = "generate every answer up to its output limit", no_short)]
    answers_to_limit: bool,
    #[options(
        help = "text in a prompt on which the engine crashes when it generates output",
        no_short
    )]
    crash_text: Option<String>,
    #[options(
        help = "fixed time of a decode step, in microseconds",
        default = "8000"
    )]
    step_us: u64,
    #[options(
        help = "time that each sequence adds to a decode step, in microseconds",
        default = "300"
    )]
    step_per_sequence_us: u64,
    #[options(help = "KV cache bytes exported per second", default = "50000000")]
    transfer_rate: u64,
    #[options(
        help = "time to load a model or an adapter, in milliseconds",
        default = "500"
    )]
    weight_load_ms: u64,
    #[options(
        help = "delay of load reports and cache events, in milliseconds",
        default = "1000"
    )]
    report_lag_ms: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let defaults = EngineConfig::default();
    let weight_bytes = defaults.weight_bytes_per_second * arguments.weight_load_ms / 1_000;
    let config = EngineConfig {
        address: arguments.address,
        role: arguments.role,
        models: arguments.model,
        adapters: arguments.adapter,
        fenced: arguments.fenced.parse()?,
        batch_max: arguments.batch_max,
        total_pieces: arguments.total_pieces,
        cache_blocks: arguments.cache_blocks,
        answers_to_limit: arguments.answers_to_limit,
        crash_text: arguments.crash_text,
        prefill_tokens_per_second: arguments.prefill_rate,
        step: Duration::from_micros(arguments.step_us),
        step_per_sequence: Duration::from_micros(arguments.step_per_sequence_us),
        transfer_bytes_per_second: arguments.transfer_rate,
        weight_bytes,
        report_lag: Duration::from_millis(arguments.report_lag_ms),
        ..defaults
    };
    announce_and_wait(Engine::start(&config)?)
}
