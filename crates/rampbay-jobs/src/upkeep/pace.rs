//! Limits the calls to the interface. Each call is paid for, and the interface refuses calls above a rate that all
//! processes share.

use std::time::Duration;

/// Shortest time between two calls: at most 5 a second, as the users ask for.
pub const CALL_INTERVAL: Duration = Duration::from_millis(200);
/// First pause after a call that was refused as one too many, or got no answer; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest of these pauses. An interface that is back is noticed within that time, about two turns of a wave.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// When the next call may be made.
#[derive(Debug, Default)]
pub(super) struct CallPace {
    next: Duration,
    pause: Option<Duration>,
}

impl CallPace {
    /// Returns whether a call may be made.
    pub fn is_ready(&self, now: Duration) -> bool {
        now >= self.next
    }

    /// Notes a call.
    pub fn note_call(&mut self, now: Duration) {
        self.next = self.next.max(now + CALL_INTERVAL);
    }

    /// Notes that a call was answered.
    pub fn note_answer(&mut self) {
        self.pause = None;
    }

    /// Notes that a call was one too many, or got no answer.
    pub fn back_off(&mut self, now: Duration) {
        let pause = self.pause.map_or(FIRST_PAUSE, |pause| (pause * 2).min(MAX_PAUSE));
        self.pause = Some(pause);
        self.next = self.next.max(now + pause);
    }
}
