//! Reports of the runs' progress on their way up the tree to the leader, and into the store.
//!
//! Every agent reports each second or two. An append for each would be as many as the store answers, one after the
//! other (120 a second with 800 workers, 250 with 2,000), and a call to the leader for each a third of its load. So
//! every entry keeps the newest report of each worker for a moment and passes them on together; the leader
//! appends them. What is lost on the way is followed by the next report.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use rampbay_jobs::record::KeyedRecord;
use rampbay_jobs::store::{Store, split_into_appends};
use tokio::sync::Notify;

/// How long an entry gathers reports. Three entries stand between an agent and the store at most, and a planner doubts a
/// worker that hasn't reported for 3.5 s, where idle ones report every 2 s: half a second is spent here.
const GATHERING: Duration = Duration::from_millis(150);

/// Reports that wait to be passed on, the newest of each worker.
#[derive(Debug, Default)]
pub struct Reports {
    waiting: RefCell<BTreeMap<String, KeyedRecord>>,
    came: Notify,
}

impl Reports {
    /// Takes reports in.
    pub fn take_in(&self, reports: Vec<KeyedRecord>) {
        let by_key = reports.into_iter().map(|report| (report.key.clone(), report));
        self.waiting.borrow_mut().extend(by_key);
        self.came.notify_one();
    }

    /// Passes reports on for ever.
    pub async fn pass_on(&self, store: &dyn Store) {
        loop {
            self.came.notified().await;
            tokio::time::sleep(GATHERING).await;
            let reports: Vec<KeyedRecord> = self.waiting.take().into_values().collect();
            for group in split_into_appends(&reports) {
                if let Err(error) = store.report(group).await {
                    log::info!("event=J181 reports lost reports={} error={error}", group.len());
                }
            }
        }
    }
}
