//! The store: an append-only log in memory, whose calls take time and are counted.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::job::NodeName;
use rampbay_jobs::record::{KeyedRecord, PROGRESS_TOPIC, STATE_TOPIC};
use rampbay_jobs::store::{
    AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store,
};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::load::{Load, Purpose, Role};

/// Topic of the operators' orders.
pub const OPERATOR_TOPIC: &str = "operators";

/// Time of an answer, and of an append in its partition's queue.
const ANSWER: Duration = Duration::from_millis(4);
/// Longest queue of appends; more are turned away.
const LONGEST_QUEUE: Duration = Duration::from_secs(2);
/// Time without a call of its leader after which leadership lapses.
const TIME_TO_LIVE: Duration = Duration::from_secs(1);
/// Time after which a call without answer is given up, beside what a read waits; as the adapters of real stores do.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Most records of one page of a snapshot.
const PAGE: usize = 500;
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

#[derive(Default)]
struct Topic {
    records: Vec<KeyedRecord>,
    first_kept: usize,
    /// When the last append of the queue is done.
    busy_until: Option<Instant>,
    epochs: HashMap<String, (u64, u64, Offset)>,
}

/// The group of candidates for leadership. Its one partition is dealt anew with each change of the group.
#[derive(Default)]
struct Group {
    members: BTreeMap<NodeName, Instant>,
    generation: u64,
    holder: Option<NodeName>,
}

impl Group {
    /// Drops members that were silent for their time to live.
    fn lapse(&mut self) {
        let before = self.members.len();
        self.members.retain(|_, joined| joined.elapsed() < TIME_TO_LIVE);
        if self.members.len() != before {
            self.change();
        }
        let is_there = |holder: &NodeName| self.members.contains_key(holder);
        self.holder = self.holder.take().filter(is_there);
    }

    fn change(&mut self) {
        self.generation += 1;
    }

    /// Returns whom the partition is dealt to: one of the members, another one with each change.
    fn dealt_to(&self) -> Option<&NodeName> {
        let place = self.generation as usize % self.members.len().max(1);
        self.members.keys().nth(place)
    }

    fn join(&mut self, member: &str) -> Candidacy {
        self.lapse();
        if self.members.insert(member.to_owned(), Instant::now()).is_none() {
            self.change();
        }
        let is_dealt = self.dealt_to().is_some_and(|dealt| dealt == member);
        if !is_dealt && self.holder.as_deref() == Some(member) {
            // It learns with this answer that the partition is no longer its own.
            self.holder = None;
        }
        if is_dealt && self.holder.is_none() {
            self.holder = Some(member.to_owned());
        }
        let leads = self.holder.as_deref() == Some(member);
        Candidacy { generation: self.generation, leads }
    }

    fn leave(&mut self, member: &str) {
        if self.members.remove(member).is_some() {
            self.change();
        }
        self.holder = self.holder.take().filter(|holder| holder != member);
    }
}

/// The store.
pub struct ModelStore {
    topics: RefCell<HashMap<String, Topic>>,
    appended: Notify,
    group: RefCell<Group>,
    load: Rc<Load>,
    /// How many times as long as usual each answer takes.
    pub slowness: Cell<u32>,
    /// Share of its answers that get lost, in percent.
    pub lost_percent: Cell<u64>,
    answers: Cell<u64>,
}

impl ModelStore {
    /// Makes an empty store.
    #[must_use]
    pub fn new(load: Rc<Load>) -> Rc<Self> {
        Rc::new(Self {
            topics: RefCell::default(),
            appended: Notify::new(),
            group: RefCell::default(),
            load,
            slowness: Cell::new(1),
            lost_percent: Cell::new(0),
            answers: Cell::new(0),
        })
    }

    /// Writes a record as an operator does, at once.
    pub fn write(&self, topic: &str, key: &str, value: Vec<u8>) {
        self.push(topic, &[KeyedRecord { key: key.to_owned(), value }]);
    }

    /// Drops all history; the newest record of each key stays.
    pub fn forget_history(&self) {
        for topic in self.topics.borrow_mut().values_mut() {
            topic.first_kept = topic.records.len();
        }
    }

    /// Returns who leads.
    pub fn leader(&self) -> Option<NodeName> {
        let mut group = self.group.borrow_mut();
        group.lapse();
        group.holder.clone()
    }

    /// Returns how often leadership has been dealt.
    pub fn generation(&self) -> u64 {
        self.group.borrow().generation
    }

    fn push(&self, topic: &str, records: &[KeyedRecord]) -> Offset {
        let mut topics = self.topics.borrow_mut();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.records.extend_from_slice(records);
        self.appended.notify_waiters();
        topic.records.len() as Offset
    }

    fn fenced_push(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: &Fence,
    ) -> Result<Offset, AppendError> {
        let known = {
            let mut topics = self.topics.borrow_mut();
            let epochs = &mut topics.entry(topic.to_owned()).or_default().epochs;
            epochs.get(&fence.writer).copied().unwrap_or_default()
        };
        let (epoch, next, end) = known;
        if fence.epoch < epoch {
            return Err(AppendError::Fenced);
        }
        if fence.epoch == epoch && fence.sequence + 1 == next {
            return Ok(end);
        }
        let end = self.push(topic, records);
        let mut topics = self.topics.borrow_mut();
        let epochs = &mut topics.entry(topic.to_owned()).or_default().epochs;
        epochs.insert(fence.writer.clone(), (fence.epoch, fence.sequence + 1, end));
        Ok(end)
    }

    /// Returns whether the next answer gets lost.
    fn loses_next(&self) -> bool {
        let number = self.answers.get();
        self.answers.set(number + 1);
        number.wrapping_mul(2_654_435_761) % 1_000_003 % 100 < self.lost_percent.get()
    }

    fn time(&self, usual: Duration) -> Duration {
        usual * self.slowness.get()
    }

    /// Returns when an append that arrives now is done; `None` if too many wait.
    fn queue(&self, topic: &str) -> Option<Instant> {
        let mut topics = self.topics.borrow_mut();
        let topic = topics.entry(topic.to_owned()).or_default();
        let now = Instant::now();
        let start = topic.busy_until.map_or(now, |until| until.max(now));
        if start - now > LONGEST_QUEUE {
            return None;
        }
        let done = start + self.time(ANSWER);
        topic.busy_until = Some(done);
        Some(done)
    }
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
            let batch = {
                let mut topics = self.store.topics.borrow_mut();
                let topic = topics.entry(topic.to_owned()).or_default();
                if (from as usize) < topic.first_kept {
                    self.note(read_purpose(STATE_TOPIC), OVERHEAD);
                    return Err(ReadError::Trimmed);
                }
                let end = topic.records.len() as Offset;
                let records = topic.records.iter().skip(from as usize).cloned().collect();
                Batch { end, next: end.max(from), records, ..Batch::default() }
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
        let (records, end) = {
            let mut topics = self.store.topics.borrow_mut();
            let topic = topics.entry(topic.to_owned()).or_default();
            let newest: BTreeMap<&String, &KeyedRecord> =
                topic.records.iter().map(|record| (&record.key, record)).collect();
            let records = newest.into_values().filter(|record| !record.value.is_empty());
            (records.cloned().collect::<Vec<_>>(), topic.records.len() as Offset)
        };
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

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        let newest = async { self.answer(self.newest_in_time(topic).await).await };
        timeout(CALL_TIMEOUT, newest).await.unwrap_or(Err(ReadError::Unavailable))
    }

    async fn stand(&self, member: &str, _: u64) -> Result<Candidacy, ReadError> {
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
