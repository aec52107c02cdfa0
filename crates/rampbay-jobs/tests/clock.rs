//! The clock that counts suspension, as the machine has it.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use rampbay_jobs::clock::{Moment, set_clock_source};

#[test]
fn moments_follow_the_time_since_boot() {
    let boot = || clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).expect("a clock");
    let (before, moment, after) = (boot(), Moment::now(), boot());
    let zero = Moment::now().checked_sub(boot()).map_or(Duration::MAX, |start| start.elapsed());
    assert!(moment.checked_sub(before).is_some(), "no earlier than the reading before");
    assert!(moment.checked_sub(after).is_none() || before == after, "no later than the one after");
    assert!(zero >= after, "counted from the start of the machine");
}

#[test]
fn age_counts_what_another_source_counts() {
    set_clock_source(|| Duration::from_secs(100));
    let moment = Moment::now();
    set_clock_source(|| Duration::from_secs(107));
    assert_eq!(moment.elapsed(), Duration::from_secs(7));
    assert_eq!((moment + Duration::from_secs(10)).elapsed(), Duration::ZERO);
}
