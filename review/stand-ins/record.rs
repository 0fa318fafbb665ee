//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Adds a line with the time since the start of the script.
    pub fn line(&self, text: &str) {
        let elapsed_s = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = writeln!(file, "{elapsed_s:8.3} {text}");
    }
}
