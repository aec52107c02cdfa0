//! Counts the calls to the store.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::job::NodeName;
use rampbay_jobs::metrics::metrics;
use rampbay_jobs::record::KeyedRecord;
use rampbay_jobs::store::{
    AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store,
};
use tokio::time::Instant;

/// A store whose calls are counted.
pub struct MeteredStore(pub Rc<dyn Store>);

fn read_outcome<T>(outcome: &Result<T, ReadError>) -> &'static str {
    match outcome {
        Ok(_) => "served",
        Err(ReadError::Trimmed) => "trimmed",
        Err(ReadError::Unavailable) => "unavailable",
    }
}

#[async_trait(?Send)]
impl Store for MeteredStore {
    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        let started = Instant::now();
        let outcome = self.0.append(topic, records, fence).await;
        metrics().append_seconds.observe(started.elapsed().as_secs_f64());
        let word = match outcome {
            Ok(_) => "served",
            Err(AppendError::Refused) => "refused",
            Err(AppendError::Fenced) => "fenced",
            Err(AppendError::Unknown) => "unknown",
        };
        metrics().stored("append", word);
        outcome
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let outcome = self.0.read(topic, from, wait).await;
        metrics().stored("read", read_outcome(&outcome));
        outcome
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        let outcome = self.0.newest(topic).await;
        metrics().stored("newest", read_outcome(&outcome));
        outcome
    }

    async fn stand(&self, member: &str, generation: u64) -> Result<Candidacy, ReadError> {
        let outcome = self.0.stand(member, generation).await;
        metrics().stored("stand", read_outcome(&outcome));
        outcome
    }

    async fn resign(&self, member: &str) {
        self.0.resign(member).await;
    }

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        self.0.holder().await
    }

    async fn regained(&self) {
        self.0.regained().await;
    }
}
