//! Faults that can be switched on.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Faults of one stand-in; all off by default.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSet {
    /// Every call is refused with no effect.
    pub down: bool,
    /// Delay of every answer, in milliseconds.
    pub delay_ms: u64,
    /// Share of writes that take effect but whose answer is lost, in percent.
    pub lose_answer_percent: u8,
    /// Share of calls that end with a server error after they have run, in percent.
    pub fail_percent: u8,
    /// Share of answers that are cut short, in percent.
    pub cut_percent: u8,
    /// Stops of tasks are acknowledged but not carried out.
    pub ignore_stop: bool,
}

/// Faults that may change while the stand-in runs.
#[derive(Debug, Default)]
pub struct Faults {
    set: Mutex<FaultSet>,
    rng_state: Mutex<u64>,
}

impl Faults {
    /// Returns the faults that are on.
    #[must_use]
    pub fn get(&self) -> FaultSet {
        *lock(&self.set)
    }

    /// Replaces the faults.
    pub fn set(&self, set: FaultSet) {
        *lock(&self.set) = set;
    }

    /// Decides whether a fault that affects a share of calls affects this one.
    ///
    /// The decisions follow a fixed pseudorandom sequence, so that a run can be repeated.
    #[must_use]
    pub fn hits(&self, percent: u8) -> bool {
        if percent == 0 {
            return false;
        }
        let mut state = lock(&self.rng_state);
        *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = *state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % 100 < u64::from(percent)
    }

    /// Waits for the configured delay of answers.
    pub async fn pause(&self) {
        let delay = self.get().delay_ms;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
    }
}

/// Locks a mutex, also after a holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
