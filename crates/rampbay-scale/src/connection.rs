//! A process's way to the store, whose calls take time and are counted.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::job::NodeName;
use rampbay_jobs::record::{KeyedRecord, PROGRESS_TOPIC, STATE_TOPIC};
use rampbay_jobs::store::{
    AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store,
};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::load::{Purpose, Role};
use crate::store::{ANSWER, ModelStore};

/// Time after which a call without answer is given up, beside what a read waits; as the adapters of real stores do.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Most records of one page of a snapshot.
const PAGE: usize = 500;
/// Most bytes of records in an answer that is asked for as few as can be.
const LEAST_READ: usize = 1024;
/// Bytes of a call beside its records.
const OVERHEAD: usize = 200;

/// How the store answers one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    /// It answers.
    #[default]
    Open,
    /// It turns each call away.
    Refused,
    /// It doesn't answer, and does nothing.
    Silent,
}

/// Returns the bytes that records take on the wire.
fn size_of(records: &[KeyedRecord]) -> usize {
    let bytes = records.iter().map(|record| 5 + record.key.len() + record.value.len());
    OVERHEAD + bytes.sum::<usize>()
}

/// One process's way to the store.
pub struct Connection {
    store: Rc<ModelStore>,
    role: Role,
    /// How the store answers this process.
    pub way: Cell<Way>,
}

impl Connection {
    /// Opens a way for a process.
    #[must_use]
    pub fn new(store: &Rc<ModelStore>, role: Role) -> Rc<Self> {
        Rc::new(Self { store: Rc::clone(store), role, way: Cell::default() })
    }

    fn note(&self, purpose: Purpose, bytes: usize) {
        self.store.load.note_store(self.role, purpose, bytes);
    }

    /// Waits until the store has taken a call in. Returns whether it serves it.
    async fn reach(&self) -> bool {
        self.silence().await;
        sleep(self.store.time(ANSWER)).await;
        self.silence().await;
        self.way.get() == Way::Open
    }

    /// Waits for ever if the store is silent.
    async fn silence(&self) {
        if self.way.get() == Way::Silent {
            std::future::pending::<()>().await;
        }
    }

    /// Hands an answer over, unless it gets lost.
    async fn answer<T>(&self, answer: T) -> T {
        self.silence().await;
        if self.store.loses_next() {
            std::future::pending::<()>().await;
        }
        answer
    }
}

fn read_purpose(topic: &str) -> Purpose {
    match topic {
        STATE_TOPIC => Purpose::ReadState,
        PROGRESS_TOPIC => Purpose::ReadProgress,
        _ => Purpose::ReadOperators,
    }
}

impl Connection {
    async fn append_in_time(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        let purpose =
            if topic == STATE_TOPIC { Purpose::AppendState } else { Purpose::AppendProgress };
        self.note(purpose, size_of(records));
        self.silence().await;
        if self.way.get() == Way::Refused {
            sleep(ANSWER).await;
            return Err(AppendError::Refused);
        }
        let Some(done) = self.store.queue(topic) else { return Err(AppendError::Refused) };
        // A call that has arrived is carried out, whether its caller waits or not.
        let (tx, rx) = oneshot::channel();
        let (store, topic) = (Rc::clone(&self.store), topic.to_owned());
        let (records, fence) = (records.to_vec(), fence.cloned());
        tokio::task::spawn_local(async move {
            sleep_until(done).await;
            let outcome = match &fence {
                Some(fence) => store.fenced_push(&topic, &records, fence),
                None => Ok(store.push(&topic, &records)),
            };
            // A caller that has given up needs no answer.
            let _ = tx.send(outcome);
        });
        let outcome = rx.await.unwrap_or(Err(AppendError::Unknown));
        self.silence().await;
        outcome
    }

    async fn read_in_time(
        &self,
        topic: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<Batch, ReadError> {
        let sent = Instant::now();
        if !self.reach().await {
            self.note(read_purpose(topic), OVERHEAD);
            return Err(ReadError::Unavailable);
        }
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.store.appended.notified();
            let is_over = Instant::now() >= deadline;
            let batch = match self.store.batch(topic, from) {
                Ok(batch) => batch,
                Err(error) => {
                    self.note(read_purpose(topic), OVERHEAD);
                    return Err(error);
                }
            };
            if is_over || !batch.records.is_empty() {
                self.note(read_purpose(topic), size_of(&batch.records));
                self.silence().await;
                return Ok(batch.after_wait(sent, wait));
            }
            let _ = timeout_at(deadline, appended).await;
        }
    }

    async fn newest_in_time(&self, topic: &str) -> Result<Snapshot, ReadError> {
        if !self.reach().await {
            self.note(Purpose::Snapshot, OVERHEAD);
            return Err(ReadError::Unavailable);
        }
        let (records, end) = self.store.newest_of(topic);
        for page in records.chunks(PAGE) {
            self.note(Purpose::Snapshot, size_of(page));
            sleep(self.store.time(ANSWER)).await;
        }
        if records.is_empty() {
            self.note(Purpose::Snapshot, OVERHEAD);
        }
        Ok(Snapshot { records, read_from: end, end, age: Duration::ZERO })
    }
}

#[async_trait(?Send)]
impl Store for Connection {
    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        let append = async { self.answer(self.append_in_time(topic, records, fence).await).await };
        timeout(CALL_TIMEOUT, append).await.unwrap_or(Err(AppendError::Unknown))
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let read = async { self.answer(self.read_in_time(topic, from, wait).await).await };
        timeout(wait + READ_TIMEOUT, read).await.unwrap_or(Err(ReadError::Unavailable))
    }

    async fn end(&self, topic: &str, known: Offset) -> Result<Offset, ReadError> {
        let ask = async {
            if !self.reach().await {
                self.note(read_purpose(topic), OVERHEAD);
                return Err(ReadError::Unavailable);
            }
            let batch = self.store.batch(topic, known)?;
            self.note(read_purpose(topic), size_of(&batch.records).min(OVERHEAD + LEAST_READ));
            self.answer(Ok(batch.end)).await
        };
        timeout(READ_TIMEOUT, ask).await.unwrap_or(Err(ReadError::Unavailable))
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        let newest = async { self.answer(self.newest_in_time(topic).await).await };
        timeout(CALL_TIMEOUT, newest).await.unwrap_or(Err(ReadError::Unavailable))
    }

    async fn stand_for_election(&self, member: &str, _: u64) -> Result<Candidacy, ReadError> {
        self.note(Purpose::Stand, OVERHEAD);
        let join = async {
            let is_served = self.reach().await;
            let joined = is_served.then(|| self.store.group.borrow_mut().join(member));
            self.answer(joined).await
        };
        let joined = timeout(CALL_TIMEOUT, join).await.unwrap_or_default();
        joined.ok_or(ReadError::Unavailable)
    }

    async fn resign(&self, member: &str) {
        self.note(Purpose::Stand, OVERHEAD);
        if timeout(CALL_TIMEOUT, self.reach()).await == Ok(true) {
            self.store.group.borrow_mut().leave(member);
        }
    }

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        self.note(Purpose::Holder, OVERHEAD);
        let ask = async {
            let is_served = self.reach().await;
            let holder = is_served.then(|| self.store.leader());
            self.answer(holder).await
        };
        let holder = timeout(READ_TIMEOUT, ask).await.unwrap_or_default();
        holder.ok_or(ReadError::Unavailable)
    }
}
