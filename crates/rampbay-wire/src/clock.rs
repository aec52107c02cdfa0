//! The hybrid logical clock that orders events over all processes.

use std::{fmt, time::Duration};

use rampbay_core::ids::Incarnation;
use serde::{Deserialize, Serialize};
use uhlc::{HLC, HLCBuilder, ID, NTP64, Timestamp};

/// A timestamp that is close to the wall clock and consistent with the order of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// Seconds since the epoch, in units of 2^-32 s.
    pub time: u64,
    /// The incarnation of the process that issued the stamp; orders stamps of the same time.
    pub process: Incarnation,
}

impl Stamp {
    /// Returns the time since the epoch.
    #[must_use]
    pub fn since_epoch(self) -> Duration {
        NTP64(self.time).to_duration()
    }
}

/// The hybrid logical clock of one process.
pub struct Clock {
    hlc: HLC,
    process: Incarnation,
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").field("process", &self.process).finish_non_exhaustive()
    }
}

/// A stamp that is further ahead of the wall clock than this is rejected.
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

    /// Returns a stamp later than all stamps that this clock has issued or observed.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        Stamp { time: self.hlc.new_timestamp().get_time().0, process: self.process }
    }

    /// Advances the clock past the stamp of a received message.
    ///
    /// Returns whether the stamp was accepted; one too far ahead leaves the clock as it is.
    pub fn observe(&self, stamp: Stamp) -> bool {
        let Ok(id) = ID::try_from(u128::from(stamp.process.max(1)).to_le_bytes()) else {
            return false;
        };
        self.hlc.update_with_timestamp(&Timestamp::new(NTP64(stamp.time), id)).is_ok()
    }
}
