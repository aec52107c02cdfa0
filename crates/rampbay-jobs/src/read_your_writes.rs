//! Applies this process's own appends to its table as soon as the store has accepted them.
//!
//! Without this layer, a process that has appended records waits until it has read them back. The
//! table remains a function of the records in their order: an append is applied only if no other
//! record lies between the table's position and the append. Otherwise the follower reads it like
//! any other record.

use std::rc::Rc;

use crate::clock::Moment;
use crate::layer::Layer;
use crate::process::LiveTable;
use crate::record::{KeyedRecord, STATE_TOPIC};
use crate::store::{AppendError, Fence, Offset, Store};
use async_trait::async_trait;

/// A store layer that applies appends to a table at once.
pub struct ReadYourWritesStore {
    store: Rc<dyn Store>,
    live: LiveTable,
}

impl ReadYourWritesStore {
    /// Creates a layer over a store, with the table that this process maintains.
    #[must_use]
    pub fn new(store: Rc<dyn Store>, live: LiveTable) -> Self {
        Self { store, live }
    }
}

#[async_trait(?Send)]
impl Layer for ReadYourWritesStore {
    fn inner(&self) -> &dyn Store {
        self.store.as_ref()
    }

    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        // A retry of a fenced append gets the first answer again, even if the first append arrived
        // by another route. So that answer doesn't prove that the table was up to date when the
        // retry was sent.
        let sent = fence.is_none().then(Moment::now);
        let end = self.store.append(topic, records, fence).await?;
        if topic == STATE_TOPIC {
            self.live.apply_own(end, records, sent);
        }
        Ok(end)
    }
}
