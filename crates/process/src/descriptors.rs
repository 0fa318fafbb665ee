//! Number of descriptors that the process may open.

use std::fs;

/// The smaller of `setting` and the limit of the system, if that is known.
pub fn max_count(setting: u32) -> u32 {
    let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"));
    // The first column is the limit that applies; it may be "unlimited".
    let limit = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    limit.map_or(setting, |limit: u32| setting.min(limit))
}
