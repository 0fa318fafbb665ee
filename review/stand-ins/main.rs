//! Scripts of the review. Each starts the project's programs as a small deployment with stand-ins
//! on loopback, plays one case and judges what runners and requesters saw.
//!
//! Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

mod cases;
mod client;
mod http;
mod record;
mod runner;
mod store;
mod system;

use std::process::exit;
use std::thread;
use std::time::Duration;

/// Longest time of a script.
const TIME_MAX: Duration = Duration::from_secs(115);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: scene CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(TIME_MAX);
        eprintln!("the script took too long");
        system::end_all();
        exit(2);
    });
    let (case, record) = (case.clone(), record.clone());
    let played = thread::spawn(move || cases::play(&case, &record, has_trouble)).join();
    system::end_all();
    let status = match played {
        Ok(Ok(is_broken)) => i32::from(is_broken),
        Ok(Err(reason)) => {
            eprintln!("the case could not run: {reason}");
            2
        }
        Err(_) => 2,
    };
    exit(status);
}
