//! Runs a plain service stand-in and prints its address.

use std::error::Error;
use std::time::Duration;

use cuminlead_stand_ins::http::announce_and_wait;
use cuminlead_stand_ins::service::{Service, ServiceConfig};
use gumdrop::Options;

#[derive(Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "listen address", default = "127.0.0.1:0")]
    address: String,
    #[options(help = "processing time of each call, in milliseconds", default = "2")]
    work_ms: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let config = ServiceConfig {
        address: arguments.address,
        work: Duration::from_millis(arguments.work_ms),
    };
    announce_and_wait(Service::start(&config)?)
}
