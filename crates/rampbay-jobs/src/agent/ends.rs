//! Writes the ends of runs to the store before the worker is allowed to forget them.

use std::rc::Rc;
use std::time::Duration;

use crate::job::Checkpoint;
use crate::keys::{end_key, refusal_key};
use crate::metrics::metrics;
use crate::record::{EndReason, KeyedRecord, Record, RunEnd, STATE_TOPIC, encode};
use crate::store::split_into_appends;
use crate::worker::{ListedEnd, Listing, checkpoint_to_keep};

use super::incarnation::Incarnation;
use super::runs::RunKey;

/// Pause before a failed append of ends is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// An end of a run that is still to be written to the store.
pub struct PendingEnd {
    key: RunKey,
    reason: EndReason,
    checkpoint: Checkpoint,
    /// Number in the worker's list of ends; 0 if the worker doesn't list it.
    number: u64,
}

impl PendingEnd {
    /// Creates an end that the worker doesn't list.
    pub fn unlisted(key: RunKey, reason: EndReason) -> Self {
        Self { key, reason, checkpoint: String::new(), number: 0 }
    }
}

impl Incarnation {
    /// Stores the ends that a worker lists.
    pub(super) fn store_listed_ends(self: &Rc<Self>, listing: &Listing) {
        let ends = listing.ended.iter().filter(|end| end.number > self.last_seen.get());
        let ends: Vec<PendingEnd> = ends
            .inspect(|end| self.withhold(end))
            .map(|end| PendingEnd {
                key: (end.task.clone(), end.attempt),
                reason: end.reason,
                checkpoint: checkpoint_to_keep(&end.checkpoint).to_owned(),
                number: end.number,
            })
            .collect();
        // Marked as ended already before the store has the record, so that they are never started
        // again.
        let keys = ends.iter().map(|end| end.key.clone());
        self.runs.borrow_mut().ended.extend(keys);
        if ends.is_empty() || self.listed_append_in_flight.replace(true) {
            return;
        }
        self.mark_append_in_flight(&ends);
        let incarnation = Rc::clone(self);
        tokio::task::spawn_local(async move {
            incarnation.store_ends(ends).await;
            incarnation.listed_append_in_flight.set(false);
            incarnation.wake.notify_waiters();
            incarnation.parts.freshness.notify();
        });
    }

    /// Stores the end of a run that the worker doesn't list as ended.
    pub(super) fn report_end(self: &Rc<Self>, end: PendingEnd) {
        let mut runs = self.runs.borrow_mut();
        if !runs.ended.insert(end.key.clone()) {
            // Listings that follow each other closely show the same end. Its run stays open until
            // the store holds the end, together with the record of an unanswered start.
            if runs.open.get(&end.key).is_some_and(|run| !run.append_in_flight) {
                runs.open.remove(&end.key);
            }
            return;
        }
        if end.reason == EndReason::NotStarted {
            runs.never_started.insert(end.key.clone());
        }
        drop(runs);
        self.mark_append_in_flight(std::slice::from_ref(&end));
        let incarnation = Rc::clone(self);
        tokio::task::spawn_local(async move { incarnation.store_ends(vec![end]).await });
    }

    /// Marks the runs whose ends are about to be appended.
    fn mark_append_in_flight(&self, ends: &[PendingEnd]) {
        let mut runs = self.runs.borrow_mut();
        for end in ends {
            if let Some(run) = runs.open.get_mut(&end.key) {
                run.append_in_flight = true;
            }
        }
    }

    async fn store_ends(&self, ends: Vec<PendingEnd>) {
        self.appends_in_flight.set(self.appends_in_flight.get() + 1);
        self.append_ends(ends).await;
        self.appends_in_flight.set(self.appends_in_flight.get() - 1);
    }

    async fn append_ends(&self, ends: Vec<PendingEnd>) {
        self.wait_for_state().await;
        let unstored: Vec<&PendingEnd> = ends.iter().filter(|end| !self.is_stored(end)).collect();
        // Before the ends: the planner starts the tasks again as soon as it reads them.
        let ends_to_repeat = unstored.iter().filter(|end| end.reason != EndReason::Done);
        let unanswered = ends_to_repeat.filter_map(|end| self.unanswered_start_record(&end.key));
        let mut records: Vec<KeyedRecord> = unanswered.collect();
        records.extend(unstored.iter().map(|end| self.end_record(end)));
        for group in split_into_appends(&records) {
            while self.parts.store.append(STATE_TOPIC, group, None).await.is_err() {
                if self.has_ended() {
                    return;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        let mut runs = self.runs.borrow_mut();
        for end in ends {
            self.last_seen.set(self.last_seen.get().max(end.number));
            runs.open.remove(&end.key);
            runs.ended.insert(end.key);
        }
    }

    /// Waits until the state has been read once: an earlier process may have stored the ends that the worker still
    /// lists.
    async fn wait_for_state(&self) {
        let mut changes = self.parts.freshness.subscribe();
        while self.parts.freshness.age().is_none() && !self.has_ended() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns whether an earlier process has stored an end that the worker lists.
    fn is_stored(&self, end: &PendingEnd) -> bool {
        let (task, attempt) = &end.key;
        end.number > 0 && self.parts.table.borrow().includes_end(task, *attempt, end.reason)
    }

    fn end_record(&self, end: &PendingEnd) -> KeyedRecord {
        let (task, attempt) = end.key.clone();
        metrics().count_end(end.reason.label());
        let percent = self.runs.borrow().open.get(&end.key).map_or(0, |run| run.percent);
        log::info!(
            "event=J165 run ended task={task} attempt={attempt} reason={:?} worker={} number={} percent={percent}",
            end.reason,
            self.instance,
            end.number
        );
        let end = RunEnd {
            task,
            attempt,
            reason: end.reason,
            checkpoint: end.checkpoint.clone(),
            instance: self.instance.clone(),
        };
        let key = if end.reason == EndReason::NotStarted {
            refusal_key(&end, self.stored_registration_number.get().unwrap_or_default())
        } else {
            end_key(&end)
        };
        KeyedRecord { key, value: encode(&Record::Ended(Box::new(end))) }
    }
}

/// Counts and logs an end that the next incarnation lists, of a run that was ordered for `instance`.
pub(super) fn log_end_at_successor(instance: &str, end: &ListedEnd) {
    metrics().count_end(end.reason.label());
    log::warn!(
        "event=J228 run ended at the next incarnation task={} attempt={} reason={:?} worker={instance} number={}",
        end.task,
        end.attempt,
        end.reason,
        end.number
    );
}

/// Returns the record of an end that the next incarnation lists, of a run that was ordered for `instance`.
pub(super) fn record_of_end_at_successor(instance: &str, end: &ListedEnd) -> KeyedRecord {
    let end = RunEnd {
        task: end.task.clone(),
        attempt: end.attempt,
        reason: end.reason,
        checkpoint: checkpoint_to_keep(&end.checkpoint).to_owned(),
        instance: instance.to_owned(),
    };
    KeyedRecord { key: end_key(&end), value: encode(&Record::Ended(Box::new(end))) }
}
