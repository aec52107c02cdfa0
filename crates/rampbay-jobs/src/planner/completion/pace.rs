//! The pace of a run, by the reports of its agent.
//!
//! Reports may come late, out of order, more than once or not at all, and the process that writes them may be restarted,
//! which then counts the run's time anew. So the rate is measured by the run's own time, and a report that contradicts
//! earlier ones moves the expected end by no more than the time since the report before.

use std::time::Duration;

use tokio::time::Instant;

use crate::planner::progress::FULL_PERCENT;
use crate::record::RunProgress;

/// Shortest time over which a rate is measured, in milliseconds.
const MIN_RATE_TIME_MS: u64 = 900;
/// Time, in milliseconds, after which a mark is replaced, so that the rate is that of the last seconds.
const MARK_AGE_MS: u64 = 3_000;
/// Progress after which a mark is replaced. Progress is reported in whole percents, so that a rate over less of it is
/// off by more than a tenth.
const MARK_PERCENT: u32 = 10;
/// Time, in milliseconds, from which a stretch with little progress may be a stall. A shorter one may come from reports
/// a second apart.
const MIN_STALL_MS: u64 = 2_000;
/// Share of the progress expected by the rate below which such a stretch is a stall.
const STALL_SHARE: f64 = 0.5;

/// Number of earlier reports by which the start of a run is confirmed.
const RECENT_STARTS: usize = 3;

/// Time by which a report may be later than others so that the time since the one before is certain.
const TIMELY: Duration = Duration::from_millis(300);

/// Progress of a run at a time of its own clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Mark {
    percent: u32,
    ran_ms: u64,
}

/// The pace of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Greatest reported progress, and the time by the run's clock at which it was last seen.
    latest: Mark,
    /// Time by the run's clock at which the progress last grew.
    grew_at_ms: u64,
    /// Marks from which the rate is measured.
    older: Mark,
    newer: Mark,
    percent_per_s: Option<f64>,
    /// Progress over which the rate was measured.
    rate_percent: u32,
    /// Whether the last growth followed a stall.
    has_stalled: bool,
    /// Whole time of the run as estimated by the first rate.
    first_total_ms: Option<u64>,
    /// Start of the run by the receiver's clock.
    started_at: Instant,
    /// The starts that the last reports showed.
    recent_starts: [Instant; RECENT_STARTS],
    /// Difference between the run's clock and that of the process which reports.
    offset_ms: u64,
    /// Start of the process that reports, if it was restarted since the first report.
    process_started_at: Option<Instant>,
    received_at: Instant,
    /// Progress when the latest checkpoint was first reported.
    checkpoint_percent: u32,
}

impl Pace {
    /// Begins with the first report on a run.
    #[must_use]
    pub fn begin(run: &RunProgress, received_at: Instant) -> Self {
        let mark = Mark { percent: run.percent, ran_ms: run.ran_ms };
        let started_at = before(received_at, run.ran_ms);
        Self {
            latest: mark,
            grew_at_ms: mark.ran_ms,
            older: mark,
            newer: mark,
            percent_per_s: None,
            rate_percent: 0,
            has_stalled: false,
            first_total_ms: None,
            started_at,
            recent_starts: [started_at; RECENT_STARTS],
            offset_ms: 0,
            process_started_at: None,
            received_at,
            checkpoint_percent: run.percent,
        }
    }

    /// Returns the pace after another report on the run.
    #[must_use]
    pub fn after(mut self, run: &RunProgress, received_at: Instant) -> Self {
        self.advance(run, received_at);
        self
    }

    /// Returns the pace after a checkpoint was reported that hadn't been before.
    #[must_use]
    pub const fn with_new_checkpoint(self) -> Self {
        Self { checkpoint_percent: self.latest.percent, ..self }
    }

    fn advance(&mut self, run: &RunProgress, received_at: Instant) {
        let since = received_at.saturating_duration_since(self.received_at).as_millis() as u64;
        let reported_ms = run.ran_ms + self.offset_ms;
        let is_earlier = reported_ms < self.latest.ran_ms;
        if is_earlier && self.is_outdated(run, since)
            || self.is_of_earlier_process(run, received_at)
        {
            return;
        }
        let ran_ms = if is_earlier { self.latest.ran_ms + since } else { reported_ms };
        if is_earlier {
            self.offset_ms = ran_ms - run.ran_ms;
            self.process_started_at = Some(before(received_at, run.ran_ms));
        } else if let Some(started) = &mut self.process_started_at {
            *started = before(received_at, run.ran_ms).min(*started);
        }
        self.received_at = received_at.max(self.received_at);
        let has_grown = run.percent > self.latest.percent;
        let is_timely = before(received_at, ran_ms) <= self.latest_start() + TIMELY;
        self.synchronize(ran_ms, received_at, has_grown && !is_earlier);
        self.latest.ran_ms = ran_ms;
        let to = Mark { percent: run.percent.max(self.latest.percent), ran_ms };
        if is_earlier || (has_grown && !is_timely) {
            // The report came late, or the process was restarted: the time since the one before isn't certain.
            self.restart_measurement(to);
        } else if has_grown {
            self.grow(to);
        }
    }

    /// Returns the latest start of the run with which a report agrees: the known one, or that which the report before
    /// showed.
    fn latest_start(&self) -> Instant {
        self.started_at.max(self.recent_starts[RECENT_STARTS - 1])
    }

    /// Restarts the measurement of the rate, and keeps the rate that is known.
    fn restart_measurement(&mut self, from: Mark) {
        self.latest = from;
        self.grew_at_ms = from.ran_ms;
        (self.older, self.newer) = (from, from);
    }

    /// Returns whether a report that shows less time than the latest one is older than that. Otherwise a restarted
    /// process has written it, which counts the run's time from its own start, and so at most from the latest report.
    const fn is_outdated(&self, run: &RunProgress, since_ms: u64) -> bool {
        if run.percent == self.latest.percent {
            return run.ran_ms > since_ms;
        }
        run.percent < self.latest.percent
    }

    /// Returns whether a report without progress was written before the last restart of the reporting process: it shows
    /// more time than that process has existed.
    fn is_of_earlier_process(&self, run: &RunProgress, received_at: Instant) -> bool {
        let has_grown = run.percent > self.latest.percent;
        let shown = before(received_at, run.ran_ms);
        !has_grown && self.process_started_at.is_some_and(|started| shown < started)
    }

    /// Updates the start of the run by the receiver's clock. A report that was under way for less time than the ones
    /// before shows an earlier start. A later one, as after a suspension of the machine, is taken over once several
    /// reports in a row show it, and step by step: by the time since the report before, and only with progress, which
    /// else moves the expected end by that time already.
    fn synchronize(&mut self, ran_ms: u64, received_at: Instant, has_grown: bool) {
        let interval_ms = if has_grown { ran_ms - self.latest.ran_ms } else { 0 };
        let latest = self.started_at + Duration::from_millis(interval_ms);
        let shown = before(received_at, ran_ms);
        let earliest = self.recent_starts.into_iter().fold(shown, Instant::min);
        self.started_at = earliest.min(latest);
        self.recent_starts.rotate_left(1);
        self.recent_starts[RECENT_STARTS - 1] = shown;
    }

    fn grow(&mut self, to: Mark) {
        self.has_stalled = !self.has_stalled && self.is_below_pace(to);
        if self.has_stalled {
            // The time of a stall isn't part of the rate.
            self.restart_measurement(to);
            return;
        }
        self.latest = to;
        self.grew_at_ms = to.ran_ms;
        if to.percent < FULL_PERCENT {
            self.measure(to);
        }
    }

    /// Returns whether the progress since the last growth is so little that the run has stalled in between.
    fn is_below_pace(&self, to: Mark) -> bool {
        let Some(rate) = self.percent_per_s else { return false };
        let stretch_ms = to.ran_ms - self.grew_at_ms;
        let expected = rate * stretch_ms as f64 / 1000.0;
        let gained = f64::from(to.percent - self.latest.percent);
        stretch_ms >= MIN_STALL_MS && gained < expected * STALL_SHARE
    }

    fn measure(&mut self, to: Mark) {
        let time_ms = to.ran_ms - self.older.ran_ms;
        if time_ms < MIN_RATE_TIME_MS {
            return;
        }
        let gained = to.percent - self.older.percent;
        let rate = f64::from(gained) * 1000.0 / time_ms as f64;
        self.percent_per_s = Some(rate);
        self.rate_percent = gained;
        let left_ms = by_rate_ms(to.percent, rate);
        self.first_total_ms.get_or_insert(to.ran_ms.saturating_add(left_ms));
        let is_old = to.ran_ms - self.newer.ran_ms >= MARK_AGE_MS;
        if is_old || to.percent - self.newer.percent >= MARK_PERCENT {
            self.older = self.newer;
            self.newer = to;
        }
    }

    /// Returns the progress in percent, the greatest that was reported.
    #[must_use]
    pub const fn percent(&self) -> u32 {
        self.latest.percent
    }

    /// Returns the rate in percent a second, once two reports give it. Time in which the run stalled doesn't count.
    #[must_use]
    pub const fn percent_per_s(&self) -> Option<f64> {
        self.percent_per_s
    }

    /// Returns the deviation of the rate because progress is reported in whole percents, as a share of it.
    #[must_use]
    pub fn rounding(&self) -> f64 {
        1.0 / f64::from(self.rate_percent.max(1))
    }

    /// Returns the progress that the run had when its latest checkpoint was first reported, in percent.
    #[must_use]
    pub const fn checkpoint_percent(&self) -> u32 {
        self.checkpoint_percent
    }

    /// Returns the time since the progress was observed, which is longer than since its report was received if that came
    /// late.
    #[must_use]
    pub fn observed_ago(&self, now: Instant) -> Duration {
        let observed_at = self.started_at + Duration::from_millis(self.latest.ran_ms);
        now.saturating_duration_since(observed_at)
    }

    /// Returns the time since the run started, as far as reports tell.
    #[must_use]
    pub fn ran(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Returns the whole time of the run as it was estimated when two reports first gave its rate, in milliseconds.
    #[must_use]
    pub const fn first_total_ms(&self) -> Option<u64> {
        self.first_total_ms
    }
}

/// Returns the time that a run still needs at a rate, in milliseconds.
#[must_use]
pub fn by_rate_ms(percent: u32, percent_per_s: f64) -> u64 {
    let left = f64::from(FULL_PERCENT.saturating_sub(percent));
    // A run without progress never ends: the quotient is too large, and the cast saturates at the longest time.
    (left * 1000.0 / percent_per_s.max(f64::MIN_POSITIVE)) as u64
}

fn before(at: Instant, ms: u64) -> Instant {
    at.checked_sub(Duration::from_millis(ms)).unwrap_or(at)
}
