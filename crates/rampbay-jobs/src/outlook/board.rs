//! Hands a leader's outlooks to the store, beside the leader's decisions.
//!
//! Load that this answers: a store that is slow or refuses. Planning doesn't wait for an outlook; an outlook that isn't
//! stored in time is dropped for the next one.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::record::{Record, STATE_TOPIC};
use crate::store::Store;

use super::Outlook;
use super::forecaster::MIN_INTERVAL;

/// Time of an append from which the store counts as slow. A caller's call waits 1.3 s: an append that takes less is
/// answered within it, so that no caller returns while its record is still on its way.
pub const SLOW_APPEND: Duration = Duration::from_millis(400);
/// Time without a slow or failed append from which the store counts as steady. The latest call that was seen to be
/// carried out without an answer came after 12 s.
const STEADY_AFTER: Duration = Duration::from_secs(15);
/// Pause before an outlook that wasn't stored is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The newest outlook of a leader, on its way to the store.
#[derive(Debug)]
pub struct OutlookBoard {
    newest: watch::Sender<Option<Outlook>>,
    trouble_at: Cell<Option<Instant>>,
}

impl Default for OutlookBoard {
    fn default() -> Self {
        Self { newest: watch::channel(None).0, trouble_at: Cell::new(None) }
    }
}

impl OutlookBoard {
    /// Replaces the outlook that is to be stored.
    pub fn post(&self, outlook: Outlook) {
        self.newest.send_replace(Some(outlook));
    }

    /// Takes note of the time that an append of the leader took until it was answered.
    pub fn note_append(&self, took: Duration) {
        if took >= SLOW_APPEND {
            self.trouble_at.set(Some(Instant::now()));
        }
    }

    /// Returns whether all appends have lately been answered at once.
    #[must_use]
    pub fn is_store_steady(&self) -> bool {
        self.trouble_at.get().is_none_or(|at| at.elapsed() >= STEADY_AFTER)
    }

    /// Stores each outlook, forever. One that describes services and isn't stored is dropped, since it becomes old; one
    /// that describes none is sent until it is stored, since it takes back what entries know.
    pub async fn publish_forever(&self, store: &dyn Store) {
        let mut posts = self.newest.subscribe();
        loop {
            let posted = posts.borrow_and_update().clone();
            let retries = match posted {
                Some(outlook) => {
                    let retries = outlook.services.is_empty();
                    !self.publish(store, outlook).await && retries
                }
                None => false,
            };
            if retries {
                let _ = tokio::time::timeout(RETRY_PAUSE, posts.changed()).await;
            } else if posts.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns whether the store has the outlook.
    async fn publish(&self, store: &dyn Store, outlook: Outlook) -> bool {
        let sent = Instant::now();
        let records = [Record::Outlook(Box::new(outlook)).encode()];
        let append = store.append(STATE_TOPIC, &records, None);
        let is_stored =
            tokio::time::timeout(MIN_INTERVAL, append).await.is_ok_and(|outcome| outcome.is_ok());
        // One that was refused is as bad as one without an answer.
        self.note_append(if is_stored { sent.elapsed() } else { MIN_INTERVAL });
        is_stored
    }
}
