//! The model's store: append-only logs in memory.

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
pub(crate) const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Maximum waiting time in the queue of appends; later appends are refused.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Topic {
    records: Vec<KeyedRecord>,
    first_kept: usize,
    /// When the last append of the queue completes.
    busy_until: Option<Instant>,
    epochs: HashMap<String, (u64, u64, Offset)>,
}

/// The store of a fleet.
pub struct ModelStore {
    topics: RefCell<HashMap<String, Topic>>,
    /// Notified of each append.
    pub(crate) appended: Notify,
    /// The candidates for leadership.
    pub(crate) group: RefCell<Group>,
    /// Counter of the calls to the store.
    pub(crate) load: Rc<Load>,
    /// Factor by which each answer takes longer than usual.
    pub slowness: Cell<u32>,
    /// Percentage of answers that are lost.
    pub lost_answer_percent: Cell<u64>,
    answers: Cell<u64>,
}

impl ModelStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new(load: Rc<Load>) -> Rc<Self> {
        Rc::new(Self {
            topics: RefCell::default(),
            appended: Notify::new(),
            group: RefCell::default(),
            load,
            slowness: Cell::new(1),
            lost_answer_percent: Cell::new(0),
            answers: Cell::new(0),
        })
    }

    /// Writes a record immediately, as an operator does.
    pub fn write(&self, topic: &str, key: &str, value: Vec<u8>) {
        self.push(topic, &[KeyedRecord { key: key.to_owned(), value }]);
    }

    /// Drops all history; the newest record of each key stays.
    pub fn drop_history(&self) {
        for topic in self.topics.borrow_mut().values_mut() {
            topic.first_kept = topic.records.len();
        }
    }

    /// Returns the leader.
    pub fn leader(&self) -> Option<NodeName> {
        let mut group = self.group.borrow_mut();
        group.expire();
        group.holder.clone()
    }

    /// Returns the number of assignments of leadership.
    pub fn generation(&self) -> u64 {
        self.group.borrow().generation
    }

    /// Appends records immediately.
    pub(crate) fn push(&self, topic: &str, records: &[KeyedRecord]) -> Offset {
        let mut topics = self.topics.borrow_mut();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.records.extend_from_slice(records);
        self.appended.notify_waiters();
        topic.records.len() as Offset
    }

    /// Appends records immediately, unless a later epoch has written or the records have been appended before.
    pub(crate) fn push_fenced(
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

    /// Returns whether the next answer is lost.
    pub(crate) fn loses_next_answer(&self) -> bool {
        let number = self.answers.get();
        self.answers.set(number + 1);
        number.wrapping_mul(2_654_435_761) % 1_000_003 % 100 < self.lost_answer_percent.get()
    }

    /// Returns a duration multiplied by the current slowness.
    pub(crate) fn scaled(&self, usual: Duration) -> Duration {
        usual * self.slowness.get()
    }

    /// Queues an append that arrives now and returns when it completes; `None` if the queue is too long.
    pub(crate) fn enqueue_append(&self, topic: &str) -> Option<Instant> {
        let mut topics = self.topics.borrow_mut();
        let topic = topics.entry(topic.to_owned()).or_default();
        let now = Instant::now();
        let start = topic.busy_until.map_or(now, |until| until.max(now));
        if start - now > MAX_QUEUE_TIME {
            return None;
        }
        let done = start + self.scaled(ANSWER_TIME);
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
    pub(crate) fn newest_records(&self, topic: &str) -> (Vec<KeyedRecord>, Offset) {
        let mut topics = self.topics.borrow_mut();
        let topic = topics.entry(topic.to_owned()).or_default();
        let newest: BTreeMap<&String, &KeyedRecord> =
            topic.records.iter().map(|record| (&record.key, record)).collect();
        let records = newest.into_values().filter(|record| !record.value.is_empty());
        (records.cloned().collect(), topic.records.len() as Offset)
    }
}
