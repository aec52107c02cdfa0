//! A steady clock that also counts the time for which the machine was suspended.
//!
//! The runtime's clock stands still while a machine is suspended. A process that wakes would take what it knows for
//! younger than it is, just where an age is the proof that nothing has changed since: it would renew leases of runs
//! that were started elsewhere meanwhile, or let in callers whose keys were taken away. So every age that proves
//! something is measured by this clock.
//!
//! Timers stay with the runtime's clock: one that fires late proves nothing. So do the leases of a worker, which it
//! measures by a clock that stands still as well: they are over no sooner than that clock says.

use std::cell::Cell;
use std::ops::Add;
use std::time::Duration;

/// Reads a clock: time since a moment that stays the same.
pub type ClockSource = fn() -> Duration;

thread_local! {
    static SOURCE: Cell<ClockSource> = const { Cell::new(since_boot) };
}

/// Reads moments on this thread from another source, such as virtual time.
pub fn set_clock_source(source: ClockSource) {
    SOURCE.set(source);
}

/// A moment by the clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

impl Moment {
    /// Returns the present moment.
    #[must_use]
    pub fn now() -> Self {
        Self((SOURCE.get())())
    }

    /// Returns the time since this moment; zero if it is to come.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }

    /// Returns the moment so long before this one, if the clock goes back that far.
    #[must_use]
    pub fn checked_sub(self, time: Duration) -> Option<Self> {
        self.0.checked_sub(time).map(Self)
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0 + time)
    }
}

#[cfg(any(target_os = "linux", target_os = "android"))]
const CLOCK: nix::time::ClockId = nix::time::ClockId::CLOCK_BOOTTIME;
// Elsewhere the monotonic clock is the nearest there is; some of them count suspension.
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const CLOCK: nix::time::ClockId = nix::time::ClockId::CLOCK_MONOTONIC;

/// Reads the time since the machine was started.
///
/// # Panics
///
/// Panics if the machine has no such clock: without it no age can be told.
fn since_boot() -> Duration {
    nix::time::clock_gettime(CLOCK).map(Duration::from).expect("the machine has a steady clock")
}
