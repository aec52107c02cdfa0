//! Records of the requests that this entry has admitted, and of their outcomes.

use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use rampbay_core::{
    ids::{JobId, WorkspaceId},
    job::JobSpec,
};
use rampbay_dispatch::message::Outcome;
use tokio::sync::watch;

/// What a caller can see of a request.
#[derive(Debug, Clone)]
pub enum Progress {
    /// The request has no outcome yet.
    Open,
    /// The request's outcome.
    Settled(Outcome),
}

/// Identifies a request: ids are unique only within a workspace.
pub type JobKey = (WorkspaceId, JobId);

#[derive(Debug)]
struct JobRow {
    spec: JobSpec,
    tx: watch::Sender<Progress>,
    cancel: watch::Sender<bool>,
    settled: Option<Duration>,
    bytes: usize,
    body_digest: u64,
}

#[derive(Debug, Default)]
struct Inner {
    rows: HashMap<JobKey, JobRow>,
    settled: VecDeque<(Duration, JobKey)>,
    kept_bytes: usize,
    open: usize,
}

/// The records of all requests.
#[derive(Debug)]
pub struct Jobs {
    inner: Mutex<Inner>,
    keep_for: Duration,
    keep_bytes: usize,
    max_open: usize,
    held_bytes: AtomicUsize,
    max_held_bytes: usize,
    /// Requests that were joined to an earlier submission of the same request.
    pub joined: AtomicU64,
}

/// The result of [`Jobs::admit`].
#[derive(Debug)]
pub enum Admission {
    /// The request is new; the second receiver signals that it is to be cancelled.
    New(watch::Receiver<Progress>, watch::Receiver<bool>),
    /// The same request was admitted before; both submissions get its outcome.
    Known(watch::Receiver<Progress>),
    /// A different request has this id.
    Conflict,
    /// The entry has reached its limit of open requests.
    Full,
}

impl Jobs {
    /// Creates an empty store.
    #[must_use]
    pub fn new(
        keep_for: Duration,
        keep_bytes: usize,
        max_open: usize,
        max_held_bytes: usize,
    ) -> Self {
        Self {
            inner: Mutex::default(),
            keep_for,
            keep_bytes,
            max_open,
            held_bytes: AtomicUsize::new(0),
            max_held_bytes,
            joined: AtomicU64::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request, unless its id is known.
    ///
    /// A request that ended as not run may be sent again under its id.
    pub fn admit(&self, spec: &JobSpec, body_digest: u64) -> Admission {
        let mut inner = self.lock();
        let key = (spec.workspace.clone(), spec.id.clone());
        if let Some(row) = inner.rows.get(&key) {
            let again = matches!(&*row.tx.borrow(), Progress::Settled(Outcome::NotRun(_)));
            if !again {
                if row.spec != *spec || row.body_digest != body_digest {
                    return Admission::Conflict;
                }
                self.joined.fetch_add(1, Ordering::Relaxed);
                return Admission::Known(row.tx.subscribe());
            }
        }
        if inner.open >= self.max_open {
            return Admission::Full;
        }
        inner.forget(&key);
        let (tx, rx) = watch::channel(Progress::Open);
        let (cancel, cancelled) = watch::channel(false);
        let row = JobRow { spec: spec.clone(), tx, cancel, settled: None, bytes: 0, body_digest };
        inner.rows.insert(key, row);
        inner.open += 1;
        Admission::New(rx, cancelled)
    }

    /// Sets the outcome of a request, unless it has one.
    ///
    /// Also drops the oldest settled requests beyond the limits of age and bytes.
    pub fn settle(&self, key: &JobKey, outcome: Outcome, now: Duration) {
        let mut inner = self.lock();
        let Some(row) = inner.rows.get_mut(key) else {
            return;
        };
        if row.settled.is_some() {
            return;
        }
        row.settled = Some(now);
        row.bytes = match &outcome {
            Outcome::Answered(answer) => answer.body.len(),
            Outcome::NotRun(_) | Outcome::Unknown(_) => 0,
        };
        let bytes = row.bytes;
        row.tx.send_replace(Progress::Settled(outcome));
        inner.open -= 1;
        inner.kept_bytes += bytes;
        inner.settled.push_back((now, key.clone()));
        while let Some((at, oldest)) = inner.settled.front().cloned() {
            let old = now.saturating_sub(at) > self.keep_for;
            if !old && inner.kept_bytes <= self.keep_bytes {
                break;
            }
            inner.settled.pop_front();
            if inner.rows.get(&oldest).is_some_and(|row| row.settled == Some(at)) {
                inner.forget(&oldest);
            }
        }
    }

    /// Finds a request.
    #[must_use]
    pub fn find(&self, key: &JobKey) -> Option<(JobSpec, watch::Receiver<Progress>)> {
        let inner = self.lock();
        let row = inner.rows.get(key)?;
        Some((row.spec.clone(), row.tx.subscribe()))
    }

    /// Signals that a request is to be cancelled; returns whether it is known.
    pub fn cancel(&self, key: &JobKey) -> bool {
        let inner = self.lock();
        let Some(row) = inner.rows.get(key) else {
            return false;
        };
        row.cancel.send_replace(true);
        true
    }

    /// Cancels a repeatable request whose last caller has gone.
    ///
    /// Work that must not be repeated continues: its caller may come back for the answer.
    pub fn caller_gone(&self, key: &JobKey) {
        let inner = self.lock();
        let Some(row) = inner.rows.get(key) else {
            return;
        };
        if row.spec.repeatable && row.settled.is_none() && row.tx.receiver_count() <= 1 {
            row.cancel.send_replace(true);
        }
    }

    /// Returns at most `limit` of the requests that have no outcome.
    #[must_use]
    pub fn open(&self, limit: usize) -> Vec<JobSpec> {
        let inner = self.lock();
        let open = inner.rows.values().filter(|row| row.settled.is_none());
        open.take(limit).map(|row| row.spec.clone()).collect()
    }

    /// Returns the number of requests that have no outcome.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.lock().open
    }

    /// Reserves memory for a body, or returns `None` if the limit would be exceeded.
    ///
    /// Dropping the guard ends the reservation.
    #[must_use]
    pub fn reserve_bytes(&self, bytes: usize) -> Option<BytesGuard<'_>> {
        let before = self.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        let guard = BytesGuard { held: &self.held_bytes, bytes };
        (before + bytes <= self.max_held_bytes).then_some(guard)
    }
}

impl Inner {
    fn forget(&mut self, key: &JobKey) {
        if let Some(row) = self.rows.remove(key) {
            self.kept_bytes -= row.bytes;
        }
    }
}

/// A reservation of memory for a body, which ends on drop.
#[derive(Debug)]
pub struct BytesGuard<'a> {
    held: &'a AtomicUsize,
    bytes: usize,
}

impl Drop for BytesGuard<'_> {
    fn drop(&mut self) {
        self.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
