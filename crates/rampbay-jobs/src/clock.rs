//! A monotonic clock that also counts the time for which the machine was suspended.
//!
//! The runtime's clock stops while a machine is suspended. A process that resumes would take its
//! knowledge for younger than it is, where the age is what proves that nothing has changed: it
//! would renew leases of runs that were started elsewhere in the meantime, or accept callers whose
//! API keys were removed. So every age that serves as a proof is measured by this clock.
//!
//! Timers use the runtime's clock, since a timer that fires late proves nothing. So do the leases
//! of a worker, which the worker also measures by a clock that stops during a suspension: the
//! leases end no earlier than that clock says.

use std::cell::Cell;
use std::ops::Add;
use std::time::Duration;

/// Reads a clock: the time since a fixed moment.
pub type ClockSource = fn() -> Duration;

thread_local! {
    static SOURCE: Cell<ClockSource> = const { Cell::new(since_boot) };
}

/// Sets the clock from which this thread reads moments, such as virtual time.
pub fn set_clock_source(source: ClockSource) {
    SOURCE.set(source);
}

/// A moment by this module's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

impl Moment {
    /// Returns the present moment.
    #[must_use]
    pub fn now() -> Self {
        Self((SOURCE.get())())
    }

    /// Returns the time since this moment; zero if it lies in the future.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }

    /// Returns the moment that lies `time` before this one, if the clock goes back that far.
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
// Elsewhere the monotonic clock is the closest equivalent; some of them count suspension.
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const CLOCK: nix::time::ClockId = nix::time::ClockId::CLOCK_MONOTONIC;

/// Returns the time since the machine was booted.
///
/// # Panics
///
/// Panics if the machine has no such clock: without it no age can be measured.
fn since_boot() -> Duration {
    nix::time::clock_gettime(CLOCK).map(Duration::from).expect("the clock can be read")
}
