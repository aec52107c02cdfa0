//! Timers of waits after which something can't happen any more. They outlive a leader: the elapsed times are stored every
//! now and then, and the next leader goes on from there. Without that, leaders that follow each other quickly would never
//! come to the end of a wait.
//!
//! A stored time is at most what had passed when it was stored, so a leader that takes over acts later, never earlier.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::keys::TIMERS_KEY;
use crate::record::{Record, StoredTimer};
use crate::table::JobTable;

use super::draft::Draft;

/// Time between two records of the timers. A new leader repeats up to this much of each wait.
const STORE_INTERVAL: Duration = Duration::from_secs(2);
/// Largest number of timers that are stored, the longest running first: 20 kB, a twelfth of what the store takes as a record.
const MAX_STORED: usize = 256;

/// A running timer.
#[derive(Clone, Copy, Debug)]
struct Timer {
    /// When this planner started it.
    started: Duration,
    /// What had elapsed before, under earlier leaders.
    before: Duration,
    /// Whether it was read in this round.
    is_needed: bool,
}

impl Timer {
    fn elapsed(&self, now: Duration) -> Duration {
        self.before + now.saturating_sub(self.started)
    }
}

/// The timers of a planner, by name. A name tells what is waited for, and is never used for another wait.
#[derive(Debug, Default)]
pub struct Timers {
    running: BTreeMap<String, Timer>,
    /// The elapsed times that an earlier leader stored, until the end of the first round.
    inherited: BTreeMap<String, Duration>,
    has_begun: bool,
    /// When this planner stored the timers last.
    stored_at: Option<Duration>,
}

impl Timers {
    /// Takes over the timers of an earlier leader in the first round.
    pub fn begin_round(&mut self, table: &JobTable) {
        if std::mem::replace(&mut self.has_begun, true) || table.timers.is_empty() {
            return;
        }
        let stored = table.timers.iter();
        log::info!(
            "event=J223 timers taken over timers={} longest_ms={}",
            stored.len(),
            stored.clone().map(|timer| timer.elapsed_ms).max().unwrap_or_default()
        );
        let elapsed = |timer: &StoredTimer| Duration::from_millis(timer.elapsed_ms);
        self.inherited = stored.map(|timer| (timer.name.clone(), elapsed(timer))).collect();
    }

    /// Returns the time that a timer has been running, and starts it if it isn't. A timer that isn't read in a round ends.
    pub fn elapsed(&mut self, name: String, now: Duration) -> Duration {
        let before = self.inherited.get(&name).copied().unwrap_or_default();
        let new = Timer { started: now, before, is_needed: true };
        let timer = self.running.entry(name).or_insert(new);
        timer.is_needed = true;
        timer.elapsed(now)
    }

    /// Returns the number with which the name of a timer ends that an earlier leader stored. Known only in the first round.
    pub fn inherited_number(&self, prefix: &str) -> Option<u64> {
        self.inherited.keys().find_map(|name| name.strip_prefix(prefix)?.parse().ok())
    }

    /// Ends the timers that weren't read in this round, and stores the others when it is time.
    pub fn end_round(&mut self, draft: &mut Draft<'_>, now: Duration) {
        self.inherited.clear();
        self.running.retain(|_, timer| std::mem::replace(&mut timer.is_needed, false));
        if self.running.is_empty() {
            if !draft.table.timers.is_empty() {
                draft.remove(TIMERS_KEY.to_owned());
            }
            return;
        }
        let is_long = |timer: &Timer| timer.elapsed(now) >= STORE_INTERVAL;
        let is_due = self.stored_at.is_none_or(|at| now.saturating_sub(at) >= STORE_INTERVAL);
        if is_due && self.running.values().any(is_long) {
            self.stored_at = Some(now);
            draft.add(Record::Timers(self.to_store(now)).encode());
        }
    }

    fn to_store(&self, now: Duration) -> Vec<StoredTimer> {
        let stored = self.running.iter().map(|(name, timer)| StoredTimer {
            name: name.clone(),
            elapsed_ms: timer.elapsed(now).as_millis() as u64,
        });
        let mut stored: Vec<StoredTimer> = stored.collect();
        stored.sort_by_key(|timer| Reverse(timer.elapsed_ms));
        stored.truncate(MAX_STORED);
        stored
    }
}
