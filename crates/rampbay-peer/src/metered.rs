//! Counts the calls to the store in the metrics.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::job::NodeName;
use rampbay_jobs::layer::Layer;
use rampbay_jobs::metrics::{StoreLabels, metrics};
use rampbay_jobs::record::KeyedRecord;
use rampbay_jobs::store::{
    AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store,
};
use tokio::time::Instant;

/// Which calls are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counted {
    /// Calls that reach the store itself, which are billed.
    Direct,
    /// Calls of the process over any path. Append times are measured here.
    Any,
}

/// A store whose calls are counted.
pub struct MeteredStore {
    store: Rc<dyn Store>,
    counted: Counted,
}

impl MeteredStore {
    /// Creates a store that counts the calls to `store`.
    #[must_use]
    pub fn new(store: Rc<dyn Store>, counted: Counted) -> Self {
        Self { store, counted }
    }

    fn count(&self, operation: &'static str, topic: &str, outcome: &'static str) {
        let way = match self.counted {
            Counted::Direct => "direct",
            Counted::Any => "any",
        };
        metrics().count_store_call(&StoreLabels {
            way,
            operation,
            topic: topic.to_owned(),
            outcome,
        });
    }
}

fn read_outcome<T>(outcome: &Result<T, ReadError>) -> &'static str {
    match outcome {
        Ok(_) => "served",
        Err(ReadError::Trimmed) => "trimmed",
        Err(ReadError::Unavailable) => "unavailable",
    }
}

const fn append_outcome<T>(outcome: &Result<T, AppendError>) -> &'static str {
    match outcome {
        Ok(_) => "served",
        Err(AppendError::Refused) => "refused",
        Err(AppendError::Fenced) => "fenced",
        Err(AppendError::Unknown) => "unknown",
        Err(AppendError::TooLarge) => "too_large",
    }
}

#[async_trait(?Send)]
impl Layer for MeteredStore {
    fn inner(&self) -> &dyn Store {
        self.store.as_ref()
    }

    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        let started = Instant::now();
        let outcome = self.store.append(topic, records, fence).await;
        if self.counted == Counted::Any {
            metrics().append_seconds.observe(started.elapsed().as_secs_f64());
        }
        self.count("append", topic, append_outcome(&outcome));
        outcome
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let outcome = self.store.read(topic, from, wait).await;
        self.count("read", topic, read_outcome(&outcome));
        outcome
    }

    async fn end(&self, topic: &str, known: Offset) -> Result<Offset, ReadError> {
        let outcome = self.store.end(topic, known).await;
        self.count("end", topic, read_outcome(&outcome));
        outcome
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        let outcome = self.store.newest(topic).await;
        self.count("newest", topic, read_outcome(&outcome));
        outcome
    }

    async fn stand_for_election(
        &self,
        member: &str,
        generation: u64,
    ) -> Result<Candidacy, ReadError> {
        let outcome = self.store.stand_for_election(member, generation).await;
        self.count("stand", "", read_outcome(&outcome));
        outcome
    }

    async fn resign(&self, member: &str) {
        self.store.resign(member).await;
        self.count("resign", "", "sent");
    }

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        let outcome = self.store.holder().await;
        self.count("holder", "", read_outcome(&outcome));
        outcome
    }
}
