//! Runs a platform stand-in and prints its address.

use std::error::Error;
use std::time::Duration;

use cuminlead_stand_ins::http::announce_and_wait;
use cuminlead_stand_ins::platform::{Platform, PlatformConfig};
use gumdrop::Options;

#[derive(Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "listen address", default = "127.0.0.1:0")]
    address: String,
    #[options(
        help = "time until a published host list becomes visible, in milliseconds",
        default = "0"
    )]
    hosts_lag_ms: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let config = PlatformConfig {
        address: arguments.address,
        hosts_lag: Duration::from_millis(arguments.hosts_lag_ms),
        ..PlatformConfig::default()
    };
    announce_and_wait(Platform::start(&config)?)
}
