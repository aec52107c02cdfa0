//! Takes this process's own appends into its table as soon as the store has them.
//!
//! Without it, a process that has just appended records waits until it has read them back. The
//! table stays a function of the records in their order: an append is taken in only where nothing
//! lies between the table's position and it, otherwise the follower reads it like any other.

use std::rc::Rc;

use crate::clock::Moment;
use crate::layer::Layer;
use crate::process::LiveTable;
use crate::record::{KeyedRecord, STATE_TOPIC};
use crate::store::{AppendError, Fence, Offset, Store};
use async_trait::async_trait;

/// A store whose appends go into a table at once.
pub struct ReadYourWritesStore {
    store: Rc<dyn Store>,
    live: LiveTable,
}

impl ReadYourWritesStore {
    /// Makes a store over another, with the table that this process keeps.
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
        // A repeat of a fenced append gets its first answer again, also one that came another way: it says
        // nothing about what came after the first.
        let sent = fence.is_none().then(Moment::now);
        let end = self.store.append(topic, records, fence).await?;
        if topic == STATE_TOPIC {
            self.live.apply_own(end, records, sent);
        }
        Ok(end)
    }
}
