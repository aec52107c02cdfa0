//! The store: an append-only log in memory.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::job::NodeName;
use rampbay_jobs::record::KeyedRecord;
use rampbay_jobs::store::{AppendError, Batch, Fence, Offset, ReadError};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::group::Group;
use crate::load::Load;

/// Topic of the operators' orders.
pub const OPERATOR_TOPIC: &str = "operators";

/// Time of an answer, and of an append in its partition's queue.
pub(crate) const ANSWER: Duration = Duration::from_millis(4);
/// Longest queue of appends; more are turned away.
const LONGEST_QUEUE: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Topic {
    records: Vec<KeyedRecord>,
    first_kept: usize,
    /// When the last append of the queue is done.
    busy_until: Option<Instant>,
    epochs: HashMap<String, (u64, u64, Offset)>,
}

/// The store.
pub struct ModelStore {
    topics: RefCell<HashMap<String, Topic>>,
    /// Told of each append.
    pub(crate) appended: Notify,
    /// The candidates for leadership.
    pub(crate) group: RefCell<Group>,
    /// What is asked of it.
    pub(crate) load: Rc<Load>,
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

    /// Appends records at once.
    pub(crate) fn push(&self, topic: &str, records: &[KeyedRecord]) -> Offset {
        let mut topics = self.topics.borrow_mut();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.records.extend_from_slice(records);
        self.appended.notify_waiters();
        topic.records.len() as Offset
    }

    /// Appends records at once, unless a later epoch has written or they have come before.
    pub(crate) fn fenced_push(
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
    pub(crate) fn loses_next(&self) -> bool {
        let number = self.answers.get();
        self.answers.set(number + 1);
        number.wrapping_mul(2_654_435_761) % 1_000_003 % 100 < self.lost_percent.get()
    }

    /// Returns the time that an answer takes now.
    pub(crate) fn time(&self, usual: Duration) -> Duration {
        usual * self.slowness.get()
    }

    /// Returns when an append that arrives now is done; `None` if too many wait.
    pub(crate) fn queue(&self, topic: &str) -> Option<Instant> {
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

    /// Returns the records from an offset on.
    pub(crate) fn batch(&self, topic: &str, from: Offset) -> Result<Batch, ReadError> {
        let mut topics = self.topics.borrow_mut();
        let topic = topics.entry(topic.to_owned()).or_default();
        if (from as usize) < topic.first_kept {
            return Err(ReadError::Trimmed);
        }
        let end = topic.records.len() as Offset;
        let records = topic.records.iter().skip(from as usize).cloned().collect();
        Ok(Batch { end, next: end.max(from), records, ..Batch::default() })
    }

    /// Returns the newest record of each key that isn't deleted, and the end of the topic.
    pub(crate) fn newest_of(&self, topic: &str) -> (Vec<KeyedRecord>, Offset) {
        let mut topics = self.topics.borrow_mut();
        let topic = topics.entry(topic.to_owned()).or_default();
        let newest: BTreeMap<&String, &KeyedRecord> =
            topic.records.iter().map(|record| (&record.key, record)).collect();
        let records = newest.into_values().filter(|record| !record.value.is_empty());
        (records.cloned().collect(), topic.records.len() as Offset)
    }
}
