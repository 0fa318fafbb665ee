//! Model engine stand-in.

use std::error::Error;
use std::time::Duration;

use cuminlead_stand_ins::engine::{Engine, EngineConfig};
use cuminlead_stand_ins::http::announce_and_wait;
use gumdrop::Options;

#[derive(Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:0")]
    address: String,
    #[options(help = "role at the start: prefill or decode", default = "prefill")]
    role: String,
    #[options(help = "loaded model as model:version; may be repeated")]
    model: Vec<String>,
    #[options(help = "loaded adapter; may be repeated")]
    adapter: Vec<String>,
    #[options(help = "whether old fencing numbers are refused", default = "true")]
    fenced: String,
    #[options(help = "decodes in one batch", default = "20")]
    batch_max: usize,
    #[options(help = "KV pieces in all", default = "128")]
    total_pieces: u32,
    #[options(help = "prompt tokens computed in a second", default = "20000")]
    prefill_rate: u64,
    #[options(
        help = "blocks of prompts in the prefix cache",
        default = "4096",
        no_short
    )]
    cache_blocks: usize,
    #[options(help = "whether answers end at their limit only", no_short)]
    answers_to_limit: bool,
    #[options(help = "time of a decode step", default = "8000")]
    step_us: u64,
    #[options(help = "time that each sequence adds to a step", default = "300")]
    step_per_sequence_us: u64,
    #[options(help = "bytes of KV cache exported in a second", default = "50000000")]
    transfer_rate: u64,
    #[options(help = "time to load a model or an adapter", default = "500")]
    weight_load_ms: u64,
    #[options(help = "age of load reports and cache events", default = "1000")]
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
