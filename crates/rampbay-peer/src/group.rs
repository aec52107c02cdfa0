//! Group commit: one append a topic under way, and what comes meanwhile rides in the next one.
//!
//! A partition of the store takes its appends in turn. While the store is slow, appends of many
//! callers, one by one, would queue there faster than it can take them; as one batch they cost no
//! more than a single one. An idle process appends at once, so nothing waits for company.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use async_trait::async_trait;
use rampbay_jobs::layer::Layer;
use rampbay_jobs::record::KeyedRecord;
use rampbay_jobs::store::{AppendError, BYTES_PER_APPEND, Fence, Offset, Store};
use tokio::sync::oneshot;

type Outcome = Result<Offset, AppendError>;

/// Records that wait for the next batch.
struct Waiting {
    records: Vec<KeyedRecord>,
    outcome: oneshot::Sender<Outcome>,
}

impl Waiting {
    fn bytes(&self) -> usize {
        self.records.iter().map(KeyedRecord::size).sum()
    }
}

/// What waits for one topic, and whether a batch is under way.
#[derive(Default)]
struct Queue {
    waiting: RefCell<VecDeque<Waiting>>,
    busy: Cell<bool>,
}

impl Queue {
    /// Takes the next batch. Records whose callers have given up are left out: they are surely not
    /// appended.
    fn next_batch(&self) -> Vec<Waiting> {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|entry| !entry.outcome.is_closed());
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(entry) = waiting.front() {
            bytes += entry.bytes();
            if !batch.is_empty() && bytes > BYTES_PER_APPEND {
                break;
            }
            batch.extend(waiting.pop_front());
        }
        batch
    }
}

/// Marks a queue as busy until it is dropped.
struct Busy(Rc<Queue>);

impl Busy {
    fn new(queue: &Rc<Queue>) -> Option<Self> {
        (!queue.busy.replace(true)).then(|| Self(Rc::clone(queue)))
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(false);
    }
}

/// A store whose unfenced appends go in groups. Fenced ones have an order of their own and pass.
pub struct GroupStore {
    store: Rc<dyn Store>,
    queues: RefCell<BTreeMap<String, Rc<Queue>>>,
}

impl GroupStore {
    /// Makes a store that groups the appends to another.
    #[must_use]
    pub fn new(store: Rc<dyn Store>) -> Self {
        Self { store, queues: RefCell::default() }
    }

    fn queue(&self, topic: &str) -> Rc<Queue> {
        let mut queues = self.queues.borrow_mut();
        Rc::clone(queues.entry(topic.to_owned()).or_default())
    }

    /// Appends batch after batch until nothing waits.
    fn start(&self, topic: &str, queue: &Rc<Queue>) {
        let Some(busy) = Busy::new(queue) else { return };
        let store = Rc::clone(&self.store);
        let topic = topic.to_owned();
        tokio::task::spawn_local(async move {
            loop {
                // Callers that have gone are noticed first: after a stop of this process their connections'
                // ends wait beside their calls, and what they have written elsewhere since is newer.
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

async fn append_batch(store: &dyn Store, topic: &str, batch: Vec<Waiting>) {
    let records: Vec<KeyedRecord> =
        batch.iter().flat_map(|entry| entry.records.iter().cloned()).collect();
    let outcome = store.append(topic, &records, None).await;
    let mut following = records.len();
    for entry in batch {
        following -= entry.records.len();
        // Where its own records end: whoever took the end of the batch for it would pass over the others'.
        let own = outcome.clone().map(|end| end.saturating_sub(following as Offset));
        // A caller that has given up needs no answer.
        let _ = entry.outcome.send(own);
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
        queue.waiting.borrow_mut().push_back(Waiting { records: records.to_vec(), outcome: tx });
        self.start(topic, &queue);
        rx.await.unwrap_or(Err(AppendError::Unknown))
    }
}
