//! Processor time and memory of this process, as the system counts them.

use std::{fs, time::Duration};

/// Ticks in a second of the system's accounting; fixed on Linux for user space.
const TICKS_PER_SECOND: u64 = 100;
const PAGE_BYTES: u64 = 4_096;

/// Returns the processor time used so far.
#[must_use]
pub fn processor_time() -> Duration {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
    const USER: usize = 11;
    const SYSTEM: usize = 12;
    Duration::from_millis((ticks(USER) + ticks(SYSTEM)) * 1_000 / TICKS_PER_SECOND)
}

/// Returns the memory in use now, in bytes.
#[must_use]
pub fn memory() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|f| f.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
