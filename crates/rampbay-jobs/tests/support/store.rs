//! A store in memory, with faults.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::job::NodeName;
use rampbay_jobs::record::{KeyedRecord, Record, STATE_TOPIC};
use rampbay_jobs::store::{
    AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;

/// A fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Every call is refused.
    Refuses,
    /// Appends are carried out, and their answers are lost.
    LosesAnswers,
}

/// How an append is answered.
enum AppendOutcome {
    Answered,
    AnswerLost,
    Late(Duration),
}

/// An append that is carried out late.
struct LateCall {
    due: tokio::time::Instant,
    topic: String,
    records: Vec<KeyedRecord>,
    fence: Option<Fence>,
}

/// How long a join of the group of candidates takes for the process whose joins hang.
const HANGING_JOIN: Duration = Duration::from_millis(2500);

/// The store.
#[derive(Default)]
pub struct MemoryStore {
    topics: RefCell<BTreeMap<String, Vec<KeyedRecord>>>,
    first_kept: RefCell<BTreeMap<String, usize>>,
    epochs: RefCell<BTreeMap<String, (u64, u64)>>,
    appended: Notify,
    /// The current fault.
    pub fault: Cell<StoreFault>,
    /// Maximum size of a record, in bytes with its key; larger ones are refused.
    pub max_record_bytes: Cell<Option<usize>>,
    /// Number of appends that were refused for their size.
    pub too_large: Cell<u32>,
    /// How long every append takes.
    pub append_delay: Cell<Duration>,
    /// How long every answer to a read takes.
    pub read_delay: Cell<Duration>,
    /// The process that leads, and its generation.
    pub leader: RefCell<Option<(String, u64)>>,
    /// Whether each process that joins the group of candidates becomes the leader.
    pub elects_newcomers: Cell<bool>,
    candidates: RefCell<BTreeSet<String>>,
    /// Whether appends without a fence get no answer and aren't carried out yet.
    pub holds_appends: Cell<bool>,
    held: RefCell<Vec<(String, Vec<KeyedRecord>)>>,
    late_calls: RefCell<Vec<LateCall>>,
    /// Draws how appends are answered, if some are carried out late.
    pub late: RefCell<Option<ChaCha8Rng>>,
    /// A process whose joins hang for a while before they are carried out.
    pub hanging_candidate: RefCell<String>,
    /// How often the newest record of each key was read.
    pub newest_reads: Cell<usize>,
}

impl MemoryStore {
    /// Creates an empty store.
    pub fn new() -> Rc<Self> {
        Rc::new(Self::default())
    }

    /// Lets the leadership expire.
    pub fn expire_leader(&self) {
        if let Some((leader, _)) = self.leader.borrow_mut().take() {
            self.candidates.borrow_mut().remove(&leader);
        }
    }

    /// Appends a record of the state.
    pub fn put(&self, record: &Record) {
        self.push(STATE_TOPIC, &[record.encode()]);
    }

    /// Writes or removes a key of another topic.
    pub fn put_into(&self, topic: &str, key: &str, value: &[u8]) {
        let record = KeyedRecord { key: key.to_owned(), value: value.to_vec() };
        self.push(topic, &[record]);
    }

    /// Removes a key of the state.
    pub fn remove(&self, key: &str) {
        self.push(STATE_TOPIC, &[rampbay_jobs::record::removal(key.to_owned())]);
    }

    /// Returns all records of a topic.
    pub fn all(&self, topic: &str) -> Vec<KeyedRecord> {
        self.topics.borrow().get(topic).cloned().unwrap_or_default()
    }

    /// Drops the history of a topic; the newest record of each key stays.
    pub fn forget_history(&self, topic: &str) {
        let end = self.all(topic).len();
        self.first_kept.borrow_mut().insert(topic.to_owned(), end);
    }

    /// Carries out, in their order, the appends that were held back.
    pub fn apply_held(&self) {
        for (topic, records) in self.held.take() {
            self.push(&topic, &records);
        }
    }

    /// Carries out once more what was appended to the state from one offset to another: copies of calls
    /// that had no answer and were repeated.
    pub fn apply_again(&self, from: usize, to: usize) {
        let copies = self.all(STATE_TOPIC)[from..to].to_vec();
        self.push(STATE_TOPIC, &copies);
    }

    fn push(&self, topic: &str, records: &[KeyedRecord]) -> Offset {
        let mut topics = self.topics.borrow_mut();
        let kept = topics.entry(topic.to_owned()).or_default();
        kept.extend_from_slice(records);
        self.appended.notify_waiters();
        kept.len() as u64
    }

    fn draw_outcome(&self) -> AppendOutcome {
        let mut late = self.late.borrow_mut();
        let Some(rng) = late.as_mut() else { return AppendOutcome::Answered };
        match rng.random_range(0..100) {
            0..6 => AppendOutcome::AnswerLost,
            6..14 => AppendOutcome::Late(Duration::from_millis(rng.random_range(50..6000))),
            _ => AppendOutcome::Answered,
        }
    }

    fn carry_out(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Option<Offset> {
        match fence {
            Some(fence) => self.fenced_push(topic, records, fence),
            None => Some(self.push(topic, records)),
        }
    }

    /// Carries out late appends when they are due, forever.
    pub async fn apply_late(self: Rc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(3)).await;
            let now = tokio::time::Instant::now();
            let due: Vec<LateCall> =
                self.late_calls.borrow_mut().extract_if(.., |call| call.due <= now).collect();
            for call in due {
                // Refused where a later epoch has written.
                let _ = self.carry_out(&call.topic, &call.records, call.fence.as_ref());
            }
        }
    }

    fn fenced_push(&self, topic: &str, records: &[KeyedRecord], fence: &Fence) -> Option<Offset> {
        let key = format!("{topic}/{}", fence.writer);
        let mut epochs = self.epochs.borrow_mut();
        let (epoch, next) = epochs.get(&key).copied().unwrap_or_default();
        if fence.epoch < epoch {
            return None;
        }
        if fence.epoch == epoch && fence.sequence + 1 == next {
            return Some(self.all(topic).len() as u64);
        }
        if fence.epoch == epoch && fence.sequence != next {
            return None;
        }
        epochs.insert(key, (fence.epoch, fence.sequence + 1));
        Some(self.push(topic, records))
    }
}

#[async_trait(?Send)]
impl Store for MemoryStore {
    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        tokio::time::sleep(self.append_delay.get() + Duration::from_millis(4)).await;
        if self.fault.get() == StoreFault::Refuses {
            return Err(AppendError::Refused);
        }
        let is_too_large = |max: usize| records.iter().any(|record| record.size() > max);
        if self.max_record_bytes.get().is_some_and(is_too_large) {
            self.too_large.set(self.too_large.get() + 1);
            return Err(AppendError::TooLarge);
        }
        if fence.is_none() && self.holds_appends.get() {
            self.held.borrow_mut().push((topic.to_owned(), records.to_vec()));
            std::future::pending::<()>().await;
        }
        match self.draw_outcome() {
            AppendOutcome::Answered => {}
            AppendOutcome::AnswerLost => {
                let _ = self.carry_out(topic, records, fence);
                tokio::time::sleep(Duration::from_millis(600)).await;
                return Err(AppendError::Unknown);
            }
            AppendOutcome::Late(after) => {
                self.late_calls.borrow_mut().push(LateCall {
                    due: tokio::time::Instant::now() + after,
                    topic: topic.to_owned(),
                    records: records.to_vec(),
                    fence: fence.cloned(),
                });
                tokio::time::sleep(Duration::from_millis(600)).await;
                return Err(AppendError::Unknown);
            }
        }
        let end = match fence {
            Some(fence) => self.fenced_push(topic, records, fence).ok_or(AppendError::Fenced)?,
            None => self.push(topic, records),
        };
        if self.fault.get() == StoreFault::LosesAnswers {
            tokio::time::sleep(Duration::from_millis(600)).await;
            return Err(AppendError::Unknown);
        }
        Ok(end)
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let sent = tokio::time::Instant::now();
        tokio::time::sleep(Duration::from_millis(2)).await;
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            if self.fault.get() == StoreFault::Refuses {
                return Err(ReadError::Unavailable);
            }
            let first = self.first_kept.borrow().get(topic).copied().unwrap_or(0);
            if (from as usize) < first {
                return Err(ReadError::Trimmed);
            }
            let records = self.all(topic);
            let appended = self.appended.notified();
            if records.len() as u64 > from || tokio::time::Instant::now() >= deadline {
                let end = records.len() as u64;
                tokio::time::sleep(self.read_delay.get()).await;
                let batch = Batch {
                    next: end.max(from),
                    end,
                    records: records.into_iter().skip(from as usize).collect(),
                    ..Batch::default()
                };
                return Ok(batch.after_wait(sent, wait));
            }
            let _ = tokio::time::timeout_at(deadline, appended).await;
        }
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        self.newest_reads.set(self.newest_reads.get() + 1);
        tokio::time::sleep(Duration::from_millis(2)).await;
        if self.fault.get() == StoreFault::Refuses {
            return Err(ReadError::Unavailable);
        }
        let records = self.all(topic);
        let end = records.len() as u64;
        let newest: BTreeMap<String, KeyedRecord> =
            records.into_iter().map(|record| (record.key.clone(), record)).collect();
        let records = newest.into_values().filter(|record| !record.value.is_empty()).collect();
        Ok(Snapshot { records, read_from: end, end, age: Duration::ZERO })
    }

    async fn stand_for_election(&self, member: &str, _: u64) -> Result<Candidacy, ReadError> {
        if self.fault.get() == StoreFault::Refuses {
            return Err(ReadError::Unavailable);
        }
        if *self.hanging_candidate.borrow() == member {
            tokio::time::sleep(HANGING_JOIN).await;
        }
        let mut leader = self.leader.borrow_mut();
        let is_new = self.candidates.borrow_mut().insert(member.to_owned());
        if is_new && self.elects_newcomers.get() {
            let generation = leader.as_ref().map_or(0, |(_, generation)| *generation) + 1;
            *leader = Some((member.to_owned(), generation));
        }
        let (name, generation) = leader.get_or_insert_with(|| (member.to_owned(), 1)).clone();
        Ok(Candidacy { generation, leads: name == member })
    }

    async fn resign(&self, member: &str) {
        self.candidates.borrow_mut().remove(member);
        let mut leader = self.leader.borrow_mut();
        if leader.as_ref().is_some_and(|(name, _)| name == member) {
            *leader = None;
        }
    }

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        if self.fault.get() == StoreFault::Refuses {
            return Err(ReadError::Unavailable);
        }
        Ok(self.leader.borrow().as_ref().map(|(name, _)| name.clone()))
    }
}
