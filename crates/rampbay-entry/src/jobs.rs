//! Records of the requests that this entry has taken in, and of their outcomes.

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
    /// It has no outcome yet.
    Open,
    /// Its outcome.
    Settled(Outcome),
}

/// Names a request: two workspaces may use the same id.
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

/// The records.
#[derive(Debug)]
pub struct Jobs {
    inner: Mutex<Inner>,
    keep_for: Duration,
    keep_bytes: usize,
    most_open: usize,
    held_bytes: AtomicUsize,
    most_held_bytes: usize,
    /// Requests that were joined to one of the same id.
    pub joined: AtomicU64,
}

/// What became of taking a request in.
#[derive(Debug)]
pub enum Taken {
    /// It is new; the second receiver tells when it is to be cancelled.
    New(watch::Receiver<Progress>, watch::Receiver<bool>),
    /// The same request is known; its outcome serves for both.
    Known(watch::Receiver<Progress>),
    /// Another request has this id.
    Conflict,
    /// The entry holds as many requests as it may.
    Full,
}

impl Jobs {
    /// Creates an empty store.
    #[must_use]
    pub fn new(keep_for: Duration, keep_bytes: usize, most_open: usize, held: usize) -> Self {
        Self {
            inner: Mutex::default(),
            keep_for,
            keep_bytes,
            most_open,
            held_bytes: AtomicUsize::new(0),
            most_held_bytes: held,
            joined: AtomicU64::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a request in, unless its id is known.
    ///
    /// A request that was refused as not run may be sent again under its id.
    pub fn take(&self, spec: &JobSpec, body_digest: u64) -> Taken {
        let mut inner = self.lock();
        let key = (spec.workspace.clone(), spec.id.clone());
        if let Some(row) = inner.rows.get(&key) {
            let again = matches!(&*row.tx.borrow(), Progress::Settled(Outcome::NotRun(_)));
            if !again {
                if row.spec != *spec || row.body_digest != body_digest {
                    return Taken::Conflict;
                }
                self.joined.fetch_add(1, Ordering::Relaxed);
                return Taken::Known(row.tx.subscribe());
            }
        }
        if inner.open >= self.most_open {
            return Taken::Full;
        }
        inner.forget(&key);
        let (tx, rx) = watch::channel(Progress::Open);
        let (cancel, cancelled) = watch::channel(false);
        let row = JobRow { spec: spec.clone(), tx, cancel, settled: None, bytes: 0, body_digest };
        inner.rows.insert(key, row);
        inner.open += 1;
        Taken::New(rx, cancelled)
    }

    /// Settles a request's one outcome.
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

    /// Has a request cancelled; returns whether it is known.
    pub fn cancel(&self, key: &JobKey) -> bool {
        let inner = self.lock();
        let Some(row) = inner.rows.get(key) else {
            return false;
        };
        row.cancel.send_replace(true);
        true
    }

    /// Has a request cancelled whose last caller has gone.
    ///
    /// Work that must not be repeated goes on: its caller may come back for the answer.
    pub fn caller_gone(&self, key: &JobKey) {
        let inner = self.lock();
        let Some(row) = inner.rows.get(key) else {
            return;
        };
        if row.spec.repeatable && row.settled.is_none() && row.tx.receiver_count() <= 1 {
            row.cancel.send_replace(true);
        }
    }

    /// Returns every request that has no outcome, at most `most`.
    #[must_use]
    pub fn open(&self, most: usize) -> Vec<JobSpec> {
        let inner = self.lock();
        let open = inner.rows.values().filter(|row| row.settled.is_none());
        open.take(most).map(|row| row.spec.clone()).collect()
    }

    /// Returns the number of requests that have no outcome.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.lock().open
    }

    /// Takes room for a body; dropping the guard gives it back.
    #[must_use]
    pub fn hold_bytes(&self, bytes: usize) -> Option<BytesGuard<'_>> {
        let before = self.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        let guard = BytesGuard { held: &self.held_bytes, bytes };
        (before + bytes <= self.most_held_bytes).then_some(guard)
    }
}

impl Inner {
    fn forget(&mut self, key: &JobKey) {
        if let Some(row) = self.rows.remove(key) {
            self.kept_bytes -= row.bytes;
        }
    }
}

/// Room for a body.
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
