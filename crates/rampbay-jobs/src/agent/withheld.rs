//! Ends of runs that aren't acknowledged to the worker yet, although the store holds them.
//!
//! A start without an answer may be carried out seconds later, by the next incarnation of the worker under the same id.
//! A task must not start again after an acknowledged end. The incarnation that lists the end rejects the start, so only
//! its successors may carry it out, and an end that wasn't acknowledged before is gone with its incarnation. So the
//! acknowledgement waits until no such start can be carried out any more. Nothing else waits: the store holds the end,
//! and the planner uses it.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock::Moment;
use crate::job::TaskId;
use crate::record::EndReason;
use crate::worker::ListedEnd;

use super::incarnation::Incarnation;
use super::runs::RunKey;

/// Most ends that are stored and not acknowledged. A worker lists 500 ends at once and sends later ones only after
/// earlier ones were acknowledged.
const MAX_WITHHELD: u64 = 400;

/// Ends whose acknowledgement waits, by their numbers in the worker's list.
#[derive(Debug, Default)]
pub struct WithheldEnds(BTreeMap<u64, WithheldEnd>);

#[derive(Debug)]
struct WithheldEnd {
    task: TaskId,
    /// When the starts that this process knew of can't be carried out any more.
    until: Instant,
    /// When the end was listed, for a member of a gang. The end counts for all members, and the state as of then shows
    /// which of their starts got no answer.
    gang_listed_at: Option<Moment>,
}

impl Incarnation {
    /// Withholds the acknowledgement of a listed end, if an unanswered start of its task, or of another member of its
    /// gang, may still be carried out.
    pub(super) fn withhold(&self, end: &ListedEnd) {
        // Only these ends forbid another start of their task: it is done, or has failed too often.
        let is_final = matches!(end.reason, EndReason::Done | EndReason::Failed);
        // An incarnation with another id rejects orders that name this one's.
        let may_share_id = (self.parts.incarnation_start)(&self.instance).is_some();
        let mut withheld = self.withheld.borrow_mut();
        if !is_final || !may_share_id || withheld.0.contains_key(&end.number) {
            return;
        }
        let known_for = self.in_doubt_for(&(end.task.clone(), end.attempt));
        let is_in_gang = self.parts.table.borrow().is_in_gang(&end.task);
        let withheld_end = WithheldEnd {
            task: end.task.clone(),
            until: Instant::now() + known_for,
            gang_listed_at: is_in_gang.then(Moment::now),
        };
        if !known_for.is_zero() || self.has_unanswered_start(&end.task) {
            log::info!(
                "event=J197 acknowledgement withheld task={} attempt={} worker={} number={} known_ms={}",
                end.task,
                end.attempt,
                self.instance,
                end.number,
                known_for.as_millis()
            );
        }
        withheld.0.insert(end.number, withheld_end);
    }

    /// Returns the number up to which the worker may forget its ends.
    pub(super) fn acknowledgeable(&self) -> u64 {
        let stored = self.last_seen.get();
        let mut withheld = self.withheld.borrow_mut();
        withheld.0.retain(|number, end| {
            *number > self.acknowledged.get() && self.may_be_followed_by_start(end)
        });
        let before_first = withheld.0.keys().next().map_or(stored, |first| first - 1);
        before_first.min(stored).max(stored.saturating_sub(MAX_WITHHELD))
    }

    /// Returns whether the worker may forget ends that haven't been acknowledged to it.
    pub(super) fn has_ends_to_acknowledge(&self) -> bool {
        self.acknowledged.get() < self.acknowledgeable()
    }

    /// Returns whether ends that the store holds are withheld.
    pub(super) fn withholds_ends(&self) -> bool {
        self.acknowledgeable() < self.last_seen.get()
    }

    /// Returns whether an unanswered start may still be carried out after an end.
    fn may_be_followed_by_start(&self, end: &WithheldEnd) -> bool {
        let is_older_than_end = |listed_at: Moment| {
            self.parts.freshness.age().is_none_or(|age| age > listed_at.elapsed())
        };
        Instant::now() < end.until
            || self.has_unanswered_start(&end.task)
            || end.gang_listed_at.is_some_and(is_older_than_end)
    }

    /// Returns for how long unanswered starts of a run that this process knows of may still be carried out.
    fn in_doubt_for(&self, key: &RunKey) -> Duration {
        let sent = match self.runs.borrow().open.get(key) {
            Some(run) => run.unanswered_start,
            None => Some(self.foreign_starts_until),
        };
        let max_delay = self.parts.settings.max_call_delay;
        sent.map_or(Duration::ZERO, |sent| max_delay.saturating_sub(sent.elapsed()))
    }

    /// Returns whether the state holds an unanswered start of a task or of another member of its gang. The task then
    /// runs only at the incarnation that rejects the start, so the record precedes the run in the state.
    fn has_unanswered_start(&self, task: &TaskId) -> bool {
        self.parts.table.borrow().has_unanswered_start(task)
    }
}
