//! Group commit: one append per topic is in progress, and records that arrive meanwhile form the
//! next batch.
//!
//! A partition of the store applies its appends one after the other. While the store is slow,
//! individual appends of many callers would queue there faster than they are applied; a batch costs
//! no more than a single append. An idle process appends at once, so no record waits for a batch to
//! fill.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use async_trait::async_trait;
use rampbay_jobs::layer::Layer;
use rampbay_jobs::record::KeyedRecord;
use rampbay_jobs::store::{AppendError, BYTES_PER_APPEND, Fence, Offset, Store};
use tokio::sync::oneshot;

type Outcome = Result<Offset, AppendError>;

/// The records of one caller that wait for the next batch.
struct PendingAppend {
    records: Vec<KeyedRecord>,
    outcome: oneshot::Sender<Outcome>,
}

impl PendingAppend {
    fn bytes(&self) -> usize {
        self.records.iter().map(KeyedRecord::size).sum()
    }
}

/// The pending appends of one topic, and whether a batch is in progress.
#[derive(Default)]
struct Queue {
    pending: RefCell<VecDeque<PendingAppend>>,
    busy: Cell<bool>,
}

impl Queue {
    /// Takes the next batch. Records whose callers have given up are dropped, so those callers can
    /// rely on their records not being appended.
    fn next_batch(&self) -> Vec<PendingAppend> {
        let mut pending = self.pending.borrow_mut();
        pending.retain(|entry| !entry.outcome.is_closed());
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(entry) = pending.front() {
            bytes += entry.bytes();
            if !batch.is_empty() && bytes > BYTES_PER_APPEND {
                break;
            }
            batch.extend(pending.pop_front());
        }
        batch
    }
}

/// Marks a queue as busy until it is dropped.
struct BatchGuard(Rc<Queue>);

impl BatchGuard {
    fn new(queue: &Rc<Queue>) -> Option<Self> {
        (!queue.busy.replace(true)).then(|| Self(Rc::clone(queue)))
    }
}

impl Drop for BatchGuard {
    fn drop(&mut self) {
        self.0.busy.set(false);
    }
}

/// A store that batches unfenced appends. Fenced ones have a sequence of their own and are passed
/// through.
pub struct GroupStore {
    store: Rc<dyn Store>,
    queues: RefCell<BTreeMap<String, Rc<Queue>>>,
}

impl GroupStore {
    /// Creates a store that batches the appends to `store`.
    #[must_use]
    pub fn new(store: Rc<dyn Store>) -> Self {
        Self { store, queues: RefCell::default() }
    }

    fn queue(&self, topic: &str) -> Rc<Queue> {
        let mut queues = self.queues.borrow_mut();
        Rc::clone(queues.entry(topic.to_owned()).or_default())
    }

    /// Appends batch after batch until none is pending.
    fn start(&self, topic: &str, queue: &Rc<Queue>) {
        let Some(busy) = BatchGuard::new(queue) else { return };
        let store = Rc::clone(&self.store);
        let topic = topic.to_owned();
        tokio::task::spawn_local(async move {
            loop {
                // Detects callers that have disconnected. After this process was suspended, the
                // ends of their connections are queued beside their calls, and they may have
                // written newer records elsewhere since.
                tokio::task::yield_now().await;
                let batch = busy.0.next_batch();
                if batch.is_empty() {
                    return;
                }
                append_batch(store.as_ref(), &topic, batch).await;
            }
        });
    }
}

async fn append_batch(store: &dyn Store, topic: &str, batch: Vec<PendingAppend>) {
    let records: Vec<KeyedRecord> =
        batch.iter().flat_map(|entry| entry.records.iter().cloned()).collect();
    let outcome = store.append(topic, &records, None).await;
    if outcome == Err(AppendError::TooLarge) && batch.len() > 1 {
        append_singly(store, topic, batch).await;
        return;
    }
    log_abandoned(topic, &batch, &outcome);
    let mut following = records.len();
    for entry in batch {
        following -= entry.records.len();
        // The offset after the caller's own records: a caller that got the end of the batch would
        // skip the records of the other callers.
        let own_end = outcome.clone().map(|end| end.saturating_sub(following as Offset));
        // A caller that has given up doesn't receive the outcome.
        let _ = entry.outcome.send(own_end);
    }
}

/// Appends the records of each caller by themselves: those of one are too large, and the others can be stored.
async fn append_singly(store: &dyn Store, topic: &str, batch: Vec<PendingAppend>) {
    for entry in batch {
        let outcome = store.append(topic, &entry.records, None).await;
        log_abandoned(topic, std::slice::from_ref(&entry), &outcome);
        // A caller that has given up doesn't receive the outcome.
        let _ = entry.outcome.send(outcome);
    }
}

/// Largest number of records that a log line names.
const MAX_NAMED: usize = 8;

/// Logs which records were sent although their callers, who were told that the outcome is unknown, have given up.
fn log_abandoned(topic: &str, batch: &[PendingAppend], outcome: &Outcome) {
    let abandoned = batch.iter().filter(|entry| entry.outcome.is_closed());
    let keys: Vec<&str> =
        abandoned.flat_map(|entry| &entry.records).map(|record| record.key.as_str()).collect();
    if !keys.is_empty() {
        log::info!(
            "event=J225 append outlived its callers topic={topic} outcome={outcome:?} records={} keys={:?}",
            keys.len(),
            &keys[..keys.len().min(MAX_NAMED)]
        );
    }
}

#[async_trait(?Send)]
impl Layer for GroupStore {
    fn inner(&self) -> &dyn Store {
        self.store.as_ref()
    }

    async fn append(&self, topic: &str, records: &[KeyedRecord], fence: Option<&Fence>) -> Outcome {
        if fence.is_some() {
            return self.store.append(topic, records, fence).await;
        }
        let (tx, rx) = oneshot::channel();
        let queue = self.queue(topic);
        queue
            .pending
            .borrow_mut()
            .push_back(PendingAppend { records: records.to_vec(), outcome: tx });
        self.start(topic, &queue);
        rx.await.unwrap_or(Err(AppendError::Unknown))
    }
}
