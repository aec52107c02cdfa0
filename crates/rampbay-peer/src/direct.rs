//! A process's direct path to the store, and whether it is usable.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::stream::{FuturesUnordered, StreamExt};
use rampbay_jobs::job::NodeName;
use rampbay_jobs::record::KeyedRecord;
use rampbay_jobs::store::{
    AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store,
};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time without any answer to the calls in progress after which the direct path is probed: more
/// than a read waits for a record.
const PROBE_AFTER_SILENCE: Duration = Duration::from_millis(1300);
/// Failed calls in a row after which the direct path is marked unavailable.
const FAILURES_UNTIL_UNAVAILABLE: u32 = 2;
/// Time without an answer to a probe after which the store is suspected to be down: longer than a
/// read takes at a store that is a hundred times slower than usual.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// This process's direct path to the store, and whether it is usable.
pub struct DirectStore {
    store: Rc<dyn Store>,
    available: Cell<bool>,
    /// Failed calls since the last successful one.
    failures: Cell<u32>,
    /// Calls in progress.
    in_flight: Cell<usize>,
    /// When the store last answered, or when the first of the calls in progress began.
    answered_at: Cell<Instant>,
    /// Whether a call has failed, or a probe has timed out, since `answered_at`.
    suspected: Cell<bool>,
    /// Time between two probes.
    probe_interval: Duration,
    recovered: Notify,
    unavailable: Notify,
}

impl DirectStore {
    /// Creates a path that counts as available until calls fail. While it is unavailable it is
    /// probed at `probe_interval`, so an outage appears longer by at most that much.
    #[must_use]
    pub fn new(store: Rc<dyn Store>, probe_interval: Duration) -> Rc<Self> {
        Rc::new(Self {
            store,
            available: Cell::new(true),
            failures: Cell::new(0),
            in_flight: Cell::new(0),
            answered_at: Cell::new(Instant::now()),
            suspected: Cell::new(false),
            probe_interval,
            recovered: Notify::new(),
            unavailable: Notify::new(),
        })
    }

    /// Probes the path forever while it is unavailable or the store doesn't answer. A probe without
    /// an answer doesn't delay the next one.
    pub async fn run_probes(self: Rc<Self>) {
        loop {
            tokio::time::sleep(self.probe_interval).await;
            let has_calls = self.in_flight.get() > 0;
            if !self.available.get()
                || (has_calls && self.answered_at.get().elapsed() > PROBE_AFTER_SILENCE)
            {
                let direct = Rc::clone(&self);
                tokio::task::spawn_local(async move { direct.probe().await });
            }
        }
    }

    /// Makes a small call to the store. Returns how long the answer took, or `None` if the call
    /// failed.
    pub(crate) async fn probe(&self) -> Option<Duration> {
        let sent = Instant::now();
        let call = self.store.holder();
        tokio::pin!(call);
        let answer = match tokio::time::timeout(PROBE_TIMEOUT, &mut call).await {
            Ok(answer) => answer,
            Err(_) => {
                self.suspected.set(true);
                call.await
            }
        };
        self.record_outcome(answer.is_ok());
        answer.is_ok().then(|| sent.elapsed())
    }

    /// Probes until the store answers, and returns how long that answer took. A probe without an
    /// answer doesn't delay the next one.
    pub(crate) async fn time_to_answer(&self) -> Duration {
        let mut probes = FuturesUnordered::new();
        loop {
            probes.push(self.probe());
            let next = tokio::time::sleep(self.probe_interval);
            tokio::pin!(next);
            loop {
                tokio::select! {
                    Some(answer) = probes.next() => if let Some(took) = answer { return took },
                    () = &mut next => break,
                }
            }
        }
    }

    /// Marks the path as unavailable: several calls in a row failed, or the store serves peers but
    /// not this process.
    pub(crate) fn mark_unavailable(&self) {
        if self.available.replace(false) {
            log::info!("event=J106 direct path to the store unavailable open=false");
        }
        self.suspected.set(true);
        self.unavailable.notify_waiters();
    }

    /// Returns whether the path counts as available.
    pub(crate) fn is_available(&self) -> bool {
        self.available.get()
    }

    /// Waits until the path is marked unavailable.
    pub(crate) async fn unavailable(&self) {
        let unavailable = self.unavailable.notified();
        if self.available.get() {
            unavailable.await;
        }
    }

    /// Records the outcome of a call. A single lost answer is no evidence of an outage; several in
    /// a row make the path unavailable.
    fn record_outcome(&self, succeeded: bool) {
        let failures = if succeeded { 0 } else { self.failures.get() + 1 };
        self.failures.set(failures);
        let available =
            failures < FAILURES_UNTIL_UNAVAILABLE && (succeeded || self.available.get());
        if !available {
            self.mark_unavailable();
        } else if !self.available.replace(true) {
            log::info!("event=J105 direct path to the store available open=true");
        }
        if !succeeded {
            self.suspected.set(true);
            return;
        }
        self.answered_at.set(Instant::now());
        // Calls that were sent before the store stopped answering may never be answered.
        if self.suspected.replace(false) {
            self.recovered.notify_waiters();
        }
    }

    /// Returns the underlying store, for calls that are made even if the path counts as
    /// unavailable.
    pub(crate) fn unchecked(&self) -> Rc<dyn Store> {
        Rc::clone(&self.store)
    }

    /// Counts a call as in progress until the returned guard is dropped.
    fn in_flight(&self) -> InFlight<'_> {
        if self.in_flight.get() == 0 {
            self.answered_at.set(Instant::now());
        }
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(&self.in_flight)
    }

    fn record_read<T>(&self, outcome: Result<T, ReadError>) -> Result<T, ReadError> {
        self.record_outcome(!matches!(outcome, Err(ReadError::Unavailable)));
        outcome
    }
}

/// Counts a call as in progress until it is dropped.
struct InFlight<'a>(&'a Cell<usize>);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

#[async_trait(?Send)]
impl Store for DirectStore {
    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        if !self.available.get() {
            return Err(AppendError::Refused);
        }
        let _guard = self.in_flight();
        let outcome = self.store.append(topic, records, fence).await;
        // A store whose append queue is full rejects appends although the path works.
        if outcome != Err(AppendError::Refused) {
            let is_answered =
                matches!(outcome, Ok(_) | Err(AppendError::Fenced | AppendError::TooLarge));
            self.record_outcome(is_answered);
        }
        outcome
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        if !self.available.get() {
            return Err(ReadError::Unavailable);
        }
        let _guard = self.in_flight();
        self.record_read(self.store.read(topic, from, wait).await)
    }

    async fn end(&self, topic: &str, known: Offset) -> Result<Offset, ReadError> {
        if !self.available.get() {
            return Err(ReadError::Unavailable);
        }
        let _guard = self.in_flight();
        self.record_read(self.store.end(topic, known).await)
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        if !self.available.get() {
            return Err(ReadError::Unavailable);
        }
        let _guard = self.in_flight();
        self.record_read(self.store.newest(topic).await)
    }

    async fn stand_for_election(
        &self,
        member: &str,
        generation: u64,
    ) -> Result<Candidacy, ReadError> {
        if !self.available.get() {
            return Err(ReadError::Unavailable);
        }
        let _guard = self.in_flight();
        self.record_read(self.store.stand_for_election(member, generation).await)
    }

    async fn resign(&self, member: &str) {
        self.store.resign(member).await;
    }

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        self.record_read(self.store.holder().await)
    }

    async fn recovered(&self) {
        self.recovered.notified().await;
    }
}
