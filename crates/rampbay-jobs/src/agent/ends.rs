//! Brings ends into the store before the worker may forget them.

use std::rc::Rc;
use std::time::Duration;

use crate::job::Checkpoint;
use crate::keys::{end_key, refusal_key};
use crate::metrics::metrics;
use crate::record::{EndReason, KeyedRecord, Record, RunEnd, STATE_TOPIC, encode};
use crate::worker::Listing;

use super::incarnation::Incarnation;
use super::runs::RunKey;

/// Pause before ends that the store didn't take are offered again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// An end on its way to the store.
pub struct PendingEnd {
    key: RunKey,
    reason: EndReason,
    checkpoint: Checkpoint,
    /// Number in the worker's list; 0 if it isn't there.
    number: u64,
}

impl PendingEnd {
    /// Makes an end that the worker doesn't list.
    pub fn unlisted(key: RunKey, reason: EndReason) -> Self {
        Self { key, reason, checkpoint: String::new(), number: 0 }
    }
}

impl Incarnation {
    /// Takes in the ends that a worker lists.
    pub(super) fn take_in_ended(self: &Rc<Self>, listing: &Listing) {
        let ends = listing.ended.iter().filter(|end| end.number > self.last_seen.get());
        let ends: Vec<PendingEnd> = ends
            .map(|end| PendingEnd {
                key: (end.task.clone(), end.attempt),
                reason: end.reason,
                checkpoint: end.checkpoint.clone(),
                number: end.number,
            })
            .collect();
        // Known to have ended from now on, though the store doesn't know it yet: never started again.
        let keys = ends.iter().map(|end| end.key.clone());
        self.runs.borrow_mut().over.extend(keys);
        if ends.is_empty() || self.storing.replace(true) {
            return;
        }
        let life = Rc::clone(self);
        tokio::task::spawn_local(async move {
            life.store_ends(ends).await;
            life.storing.set(false);
            life.wake.notify_waiters();
            life.parts.freshness.notify();
        });
    }

    /// Reports a run that is over without being listed.
    pub(super) fn report_end(self: &Rc<Self>, end: PendingEnd) {
        let is_new = self.runs.borrow_mut().over.insert(end.key.clone());
        if !is_new {
            self.runs.borrow_mut().open.remove(&end.key);
            return;
        }
        if end.reason == EndReason::NotStarted {
            self.runs.borrow_mut().never_started.insert(end.key.clone());
        }
        let life = Rc::clone(self);
        tokio::task::spawn_local(async move { life.store_ends(vec![end]).await });
    }

    async fn store_ends(&self, ends: Vec<PendingEnd>) {
        self.storing_ends.set(self.storing_ends.get() + 1);
        self.keep_ends(ends).await;
        self.storing_ends.set(self.storing_ends.get() - 1);
    }

    async fn keep_ends(&self, ends: Vec<PendingEnd>) {
        let records: Vec<KeyedRecord> = ends.iter().map(|end| self.record_of(end)).collect();
        while self.parts.store.append(STATE_TOPIC, &records, None).await.is_err() {
            if self.is_over() {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        let mut runs = self.runs.borrow_mut();
        for end in ends {
            self.last_seen.set(self.last_seen.get().max(end.number));
            runs.open.remove(&end.key);
            runs.over.insert(end.key);
        }
    }

    fn record_of(&self, end: &PendingEnd) -> KeyedRecord {
        let (task, attempt) = end.key.clone();
        metrics().count_end(end.reason.label());
        let percent = self.runs.borrow().open.get(&end.key).map_or(0, |run| run.percent);
        log::info!(
            "event=J165 run over task={task} attempt={attempt} reason={:?} worker={} number={} percent={percent}",
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
            refusal_key(&end, self.kept_number.get().unwrap_or_default())
        } else {
            end_key(&end)
        };
        KeyedRecord { key, value: encode(&Record::Ended(Box::new(end))) }
    }
}
