//! A process's connection to the store. Its calls take time and are counted.

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
use crate::store::{ANSWER_TIME, ModelStore};

/// Time limit of a call, plus the wait time of a read; the same as in the adapters of real stores.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of records on one page of a snapshot.
const PAGE_RECORDS: usize = 500;
/// Maximum bytes of records in the answer to a call that asks for as few as possible.
const MIN_READ_BYTES: usize = 1024;
/// Bytes of a call in addition to its records.
const CALL_OVERHEAD: usize = 200;

/// How the store answers one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreAccess {
    /// The store answers.
    #[default]
    Open,
    /// The store refuses each call.
    Refused,
    /// The store neither answers nor does anything.
    Silent,
}

/// Returns the bytes of a call with these records on the wire.
fn size_of(records: &[KeyedRecord]) -> usize {
    let bytes = records.iter().map(|record| 5 + record.key.len() + record.value.len());
    CALL_OVERHEAD + bytes.sum::<usize>()
}

/// The connection of one process to the store.
pub struct Connection {
    store: Rc<ModelStore>,
    role: Role,
    /// How the store answers this process.
    pub access: Cell<StoreAccess>,
}

impl Connection {
    /// Creates the connection of a process.
    #[must_use]
    pub fn new(store: &Rc<ModelStore>, role: Role) -> Rc<Self> {
        Rc::new(Self { store: Rc::clone(store), role, access: Cell::default() })
    }

    fn record_call(&self, purpose: Purpose, bytes: usize) {
        self.store.load.record_store_call(self.role, purpose, bytes);
    }

    /// Waits until the store has received a call. Returns whether the store accepts it.
    async fn send_call(&self) -> bool {
        self.wait_if_silent().await;
        sleep(self.store.scaled(ANSWER_TIME)).await;
        self.wait_if_silent().await;
        self.access.get() == StoreAccess::Open
    }

    /// Waits forever if the store is silent.
    async fn wait_if_silent(&self) {
        if self.access.get() == StoreAccess::Silent {
            std::future::pending::<()>().await;
        }
    }

    /// Delivers an answer, unless it is lost.
    async fn answer<T>(&self, answer: T) -> T {
        self.wait_if_silent().await;
        if self.store.loses_next_answer() {
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
    async fn append_inner(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        let purpose =
            if topic == STATE_TOPIC { Purpose::AppendState } else { Purpose::AppendProgress };
        self.record_call(purpose, size_of(records));
        self.wait_if_silent().await;
        if self.access.get() == StoreAccess::Refused {
            sleep(ANSWER_TIME).await;
            return Err(AppendError::Refused);
        }
        let Some(done) = self.store.enqueue_append(topic) else { return Err(AppendError::Refused) };
        // The store applies an append that has arrived, whether or not its caller still waits.
        let (tx, rx) = oneshot::channel();
        let (store, topic) = (Rc::clone(&self.store), topic.to_owned());
        let (records, fence) = (records.to_vec(), fence.cloned());
        tokio::task::spawn_local(async move {
            sleep_until(done).await;
            let outcome = match &fence {
                Some(fence) => store.push_fenced(&topic, &records, fence),
                None => Ok(store.push(&topic, &records)),
            };
            // A caller that has given up needs no answer.
            let _ = tx.send(outcome);
        });
        let outcome = rx.await.unwrap_or(Err(AppendError::Unknown));
        self.wait_if_silent().await;
        outcome
    }

    async fn read_inner(
        &self,
        topic: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<Batch, ReadError> {
        let sent = Instant::now();
        if !self.send_call().await {
            self.record_call(read_purpose(topic), CALL_OVERHEAD);
            return Err(ReadError::Unavailable);
        }
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.store.appended.notified();
            let is_over = Instant::now() >= deadline;
            let batch = match self.store.batch(topic, from) {
                Ok(batch) => batch,
                Err(error) => {
                    self.record_call(read_purpose(topic), CALL_OVERHEAD);
                    return Err(error);
                }
            };
            if is_over || !batch.records.is_empty() {
                self.record_call(read_purpose(topic), size_of(&batch.records));
                self.wait_if_silent().await;
                return Ok(batch.after_wait(sent, wait));
            }
            let _ = timeout_at(deadline, appended).await;
        }
    }

    async fn newest_inner(&self, topic: &str) -> Result<Snapshot, ReadError> {
        if !self.send_call().await {
            self.record_call(Purpose::Snapshot, CALL_OVERHEAD);
            return Err(ReadError::Unavailable);
        }
        let (records, end) = self.store.newest_records(topic);
        for page in records.chunks(PAGE_RECORDS) {
            self.record_call(Purpose::Snapshot, size_of(page));
            sleep(self.store.scaled(ANSWER_TIME)).await;
        }
        if records.is_empty() {
            self.record_call(Purpose::Snapshot, CALL_OVERHEAD);
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
        let append = async { self.answer(self.append_inner(topic, records, fence).await).await };
        timeout(CALL_TIMEOUT, append).await.unwrap_or(Err(AppendError::Unknown))
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let read = async { self.answer(self.read_inner(topic, from, wait).await).await };
        timeout(wait + READ_TIMEOUT, read).await.unwrap_or(Err(ReadError::Unavailable))
    }

    async fn end(&self, topic: &str, known: Offset) -> Result<Offset, ReadError> {
        let ask = async {
            if !self.send_call().await {
                self.record_call(read_purpose(topic), CALL_OVERHEAD);
                return Err(ReadError::Unavailable);
            }
            let batch = self.store.batch(topic, known)?;
            self.record_call(
                read_purpose(topic),
                size_of(&batch.records).min(CALL_OVERHEAD + MIN_READ_BYTES),
            );
            self.answer(Ok(batch.end)).await
        };
        timeout(READ_TIMEOUT, ask).await.unwrap_or(Err(ReadError::Unavailable))
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        let newest = async { self.answer(self.newest_inner(topic).await).await };
        timeout(CALL_TIMEOUT, newest).await.unwrap_or(Err(ReadError::Unavailable))
    }

    async fn stand_for_election(&self, member: &str, _: u64) -> Result<Candidacy, ReadError> {
        self.record_call(Purpose::Stand, CALL_OVERHEAD);
        let join = async {
            let is_accepted = self.send_call().await;
            let joined = is_accepted.then(|| self.store.group.borrow_mut().join(member));
            self.answer(joined).await
        };
        let joined = timeout(CALL_TIMEOUT, join).await.unwrap_or_default();
        joined.ok_or(ReadError::Unavailable)
    }

    async fn resign(&self, member: &str) {
        self.record_call(Purpose::Stand, CALL_OVERHEAD);
        if timeout(CALL_TIMEOUT, self.send_call()).await == Ok(true) {
            self.store.group.borrow_mut().leave(member);
        }
    }

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        self.record_call(Purpose::Holder, CALL_OVERHEAD);
        let ask = async {
            let is_accepted = self.send_call().await;
            let holder = is_accepted.then(|| self.store.leader());
            self.answer(holder).await
        };
        let holder = timeout(READ_TIMEOUT, ask).await.unwrap_or_default();
        holder.ok_or(ReadError::Unavailable)
    }
}
