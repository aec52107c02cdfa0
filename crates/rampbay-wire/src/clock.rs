//! The hybrid logical clock that orders events over all processes.

use std::{fmt, time::Duration};

use rampbay_core::ids::Incarnation;
use serde::{Deserialize, Serialize};
use uhlc::{HLC, HLCBuilder, ID, NTP64, Timestamp};

/// A time that is close to the wall clock and never contradicts the order of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// Seconds since the epoch, in units of 2^-32 s.
    pub time: u64,
    /// Tells stamps of the same time apart: the incarnation of the process.
    pub process: Incarnation,
}

impl Stamp {
    /// Returns the time since the epoch.
    #[must_use]
    pub fn since_epoch(self) -> Duration {
        NTP64(self.time).to_duration()
    }
}

/// One process's clock.
pub struct Clock {
    hlc: HLC,
    process: Incarnation,
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").field("process", &self.process).finish_non_exhaustive()
    }
}

/// A message from further in the future than this doesn't move the clock.
const MAX_AHEAD: Duration = Duration::from_millis(500);

impl Clock {
    /// Creates the clock of one incarnation of a process.
    ///
    /// # Panics
    ///
    /// Never: the id that is passed on is at least 1.
    #[must_use]
    pub fn new(process: Incarnation) -> Self {
        let id = ID::try_from(u128::from(process.max(1)).to_le_bytes()).expect("id is not zero");
        let hlc = HLCBuilder::new().with_id(id).with_max_delta(MAX_AHEAD).build();
        Self { hlc, process }
    }

    /// Returns a stamp later than all that were given or seen.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        Stamp { time: self.hlc.new_timestamp().get_time().0, process: self.process }
    }

    /// Takes in a stamp from a message; returns whether it was plausible.
    pub fn observe(&self, stamp: Stamp) -> bool {
        let Ok(id) = ID::try_from(u128::from(stamp.process.max(1)).to_le_bytes()) else {
            return false;
        };
        self.hlc.update_with_timestamp(&Timestamp::new(NTP64(stamp.time), id)).is_ok()
    }
}
