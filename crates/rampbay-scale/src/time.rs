//! Virtual time: it passes only while nothing is left to do.

use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::Instant;

/// Beyond any age that is subtracted from a moment.
const BOOTED: Duration = Duration::from_secs(1_000_000);
/// The time of day at which virtual time begins, in milliseconds since the Unix epoch.
const FIRST_WALL_MS: u64 = 1_000_000;

thread_local! {
    static START: Instant = Instant::now();
}

/// Runs a future on virtual time, on one thread, and returns what it came to.
///
/// # Panics
///
/// Panics if no runtime can be made.
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
    BOOTED + START.with(Instant::elapsed)
}

/// Returns the time of day, in milliseconds since the Unix epoch.
#[must_use]
pub fn wall_clock() -> u64 {
    FIRST_WALL_MS + START.with(Instant::elapsed).as_millis() as u64
}
