//! What every rampbay process shares: checked settings, logs, metrics and the HTTP server.

pub mod logs;
pub mod metrics;
pub mod serve;
pub mod settings;

use rampbay_core::ids::Incarnation;

/// Returns a random incarnation for a process that starts; never 0.
#[must_use]
pub fn draw_incarnation() -> Incarnation {
    rand::random::<u64>().max(1)
}

/// Returns the time since the epoch.
#[must_use]
pub fn epoch_now() -> std::time::Duration {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default()
}
