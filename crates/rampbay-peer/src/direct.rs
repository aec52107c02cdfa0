//! A process's own way to the store, and whether it is open.

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

/// Time without any answer to calls under way after which the way is probed: more than a read waits
/// for a record.
const SILENCE: Duration = Duration::from_millis(1300);
/// Calls that fail in a row before the direct way is taken to be broken.
const FAILURES_TO_CLOSE: u32 = 2;
/// How long a probe is waited for before the store is doubted: longer than a read at a store that is a
/// hundred times slower than usual.
pub(crate) const PROBE_PATIENCE: Duration = Duration::from_millis(700);

/// This process's own way to the store, and whether it is open.
pub struct DirectStore {
    store: Rc<dyn Store>,
    open: Cell<bool>,
    /// Calls that have failed since the last that was served.
    failures: Cell<u32>,
    /// Calls that are under way.
    in_flight: Cell<usize>,
    /// When the store was heard last, or the first of the calls under way began.
    answered_at: Cell<Instant>,
    /// Whether a call has failed, or a probe has hung, since then.
    doubted: Cell<bool>,
    /// Time between two probes.
    probe_interval: Duration,
    regained: Notify,
    closed: Notify,
}

impl DirectStore {
    /// Takes the way to be open until a call fails. While it is broken, it is probed at an interval;
    /// by so much does an outage seem longer at most.
    #[must_use]
    pub fn new(store: Rc<dyn Store>, probe_interval: Duration) -> Rc<Self> {
        Rc::new(Self {
            store,
            open: Cell::new(true),
            failures: Cell::new(0),
            in_flight: Cell::new(0),
            answered_at: Cell::new(Instant::now()),
            doubted: Cell::new(false),
            probe_interval,
            regained: Notify::new(),
            closed: Notify::new(),
        })
    }

    /// Probes the way for ever, while it is broken or says nothing. A probe that hangs doesn't
    /// keep the next one.
    pub async fn probe_for_ever(self: Rc<Self>) {
        loop {
            tokio::time::sleep(self.probe_interval).await;
            let waits = self.in_flight.get() > 0;
            if !self.open.get() || (waits && self.answered_at.get().elapsed() > SILENCE) {
                let direct = Rc::clone(&self);
                tokio::task::spawn_local(async move { direct.probe().await });
            }
        }
    }

    /// Asks the store for something small. Returns how long the answer took, if one came.
    pub(crate) async fn probe(&self) -> Option<Duration> {
        let sent = Instant::now();
        let call = self.store.holder();
        tokio::pin!(call);
        let answer = match tokio::time::timeout(PROBE_PATIENCE, &mut call).await {
            Ok(answer) => answer,
            Err(_) => {
                self.doubted.set(true);
                call.await
            }
        };
        self.note(answer.is_ok());
        answer.is_ok().then(|| sent.elapsed())
    }

    /// Probes until an answer comes, and returns how long that one took. A probe that hangs doesn't
    /// keep the next one.
    pub(crate) async fn answered(&self) -> Duration {
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

    /// Takes the way to be broken: peers are served, and this process isn't.
    pub(crate) fn close(&self) {
        if self.open.replace(false) {
            log::info!("event=J106 direct way to the store open=false");
        }
        self.doubted.set(true);
        self.closed.notify_waiters();
    }

    /// Returns whether the way is taken to be open.
    pub(crate) fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Waits until the way is taken to be broken.
    pub(crate) async fn closed(&self) {
        let closed = self.closed.notified();
        if self.open.get() {
            closed.await;
        }
    }

    /// Takes note of a call. One lost answer says little; several in a row close the way.
    fn note(&self, served: bool) {
        let failures = if served { 0 } else { self.failures.get() + 1 };
        self.failures.set(failures);
        let open = failures < FAILURES_TO_CLOSE && (served || self.open.get());
        if !open {
            self.close();
        } else if !self.open.replace(true) {
            log::info!("event=J105 direct way to the store open=true");
        }
        if !served {
            self.doubted.set(true);
            return;
        }
        self.answered_at.set(Instant::now());
        // Calls from before a silence may never be answered.
        if self.doubted.replace(false) {
            self.regained.notify_waiters();
        }
    }

    /// Returns the way itself, to be tried whether it is taken to be open or not.
    pub(crate) fn unchecked(&self) -> Rc<dyn Store> {
        Rc::clone(&self.store)
    }

    /// Counts a call as under way until the guard is dropped.
    fn in_flight(&self) -> InFlight<'_> {
        if self.in_flight.get() == 0 {
            self.answered_at.set(Instant::now());
        }
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(&self.in_flight)
    }

    fn note_read<T>(&self, outcome: Result<T, ReadError>) -> Result<T, ReadError> {
        self.note(!matches!(outcome, Err(ReadError::Unavailable)));
        outcome
    }
}

/// Counts a call as under way until it is dropped.
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
        if !self.open.get() {
            return Err(AppendError::Refused);
        }
        let _guard = self.in_flight();
        let outcome = self.store.append(topic, records, fence).await;
        // A full queue of appends turns some away while the way is open.
        if outcome != Err(AppendError::Refused) {
            self.note(matches!(outcome, Ok(_) | Err(AppendError::Fenced)));
        }
        outcome
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        if !self.open.get() {
            return Err(ReadError::Unavailable);
        }
        let _guard = self.in_flight();
        self.note_read(self.store.read(topic, from, wait).await)
    }

    async fn end(&self, topic: &str, known: Offset) -> Result<Offset, ReadError> {
        if !self.open.get() {
            return Err(ReadError::Unavailable);
        }
        let _guard = self.in_flight();
        self.note_read(self.store.end(topic, known).await)
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        if !self.open.get() {
            return Err(ReadError::Unavailable);
        }
        let _guard = self.in_flight();
        self.note_read(self.store.newest(topic).await)
    }

    async fn stand_for_election(
        &self,
        member: &str,
        generation: u64,
    ) -> Result<Candidacy, ReadError> {
        if !self.open.get() {
            return Err(ReadError::Unavailable);
        }
        let _guard = self.in_flight();
        self.note_read(self.store.stand_for_election(member, generation).await)
    }

    async fn resign(&self, member: &str) {
        self.store.resign(member).await;
    }

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        self.note_read(self.store.holder().await)
    }

    async fn recovered(&self) {
        self.regained.notified().await;
    }
}
