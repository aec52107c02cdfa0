//! Virtual time: it advances only while no task is ready to run.

use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::Instant;

/// Time since boot at the start of virtual time; longer than any age that is subtracted from an instant.
const UPTIME_AT_START: Duration = Duration::from_secs(1_000_000);
/// Wall-clock time at which virtual time begins, in milliseconds since the Unix epoch.
const FIRST_WALL_MS: u64 = 1_000_000;

thread_local! {
    static START: Instant = Instant::now();
}

/// Runs a future to completion in virtual time, on one thread, and returns its output.
///
/// # Panics
///
/// Panics if no runtime can be built.
pub fn run<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    rampbay_jobs::clock::set_clock_source(since_boot);
    LocalSet::new().block_on(&runtime, future)
}

fn since_boot() -> Duration {
    UPTIME_AT_START + START.with(Instant::elapsed)
}

/// Returns the wall-clock time, in milliseconds since the Unix epoch.
#[must_use]
pub fn wall_clock() -> u64 {
    FIRST_WALL_MS + START.with(Instant::elapsed).as_millis() as u64
}
