//! What every process keeps current: the table, and its own address for peers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::Moment;
use crate::follower::{Pace, Sink, apply_record, follow};
use crate::freshness::Freshness;
use crate::job::NodeName;
use crate::planner::ProgressTable;
use crate::recipients::AddressedRecord;
use crate::record::{KeyedRecord, Member, PROGRESS_TOPIC, Record, STATE_TOPIC};
use crate::store::{Offset, ReadError, Snapshot, Store};
use crate::table::JobTable;

/// Pause before the store is asked again to keep a process's address.
const REGISTER_RETRY: Duration = Duration::from_millis(500);

/// A table that a follower keeps current.
#[derive(Clone, Default)]
pub struct LiveTable {
    /// The table.
    pub table: Rc<RefCell<JobTable>>,
    /// How current it is.
    pub freshness: Rc<Freshness>,
    /// The agent whose view it is, which is sent only what concerns its worker; none where the view is whole.
    pub agent: Option<NodeName>,
}

struct TableSink {
    table: Rc<RefCell<JobTable>>,
    agent: Option<NodeName>,
}

impl Sink for TableSink {
    fn reset(&mut self) {
        *self.table.borrow_mut() = JobTable::default();
    }

    fn load(&mut self, records: &[KeyedRecord]) {
        self.table.borrow_mut().load(records);
    }

    fn apply(&mut self, record: &KeyedRecord) {
        self.table.borrow_mut().apply(record);
    }

    fn apply_and_address(&mut self, record: &KeyedRecord) -> AddressedRecord {
        self.table.borrow_mut().apply_and_address(record)
    }

    fn has_gap(&self) -> bool {
        self.agent.as_ref().is_some_and(|agent| self.table.borrow().lacks_job_for(agent))
    }
}

impl LiveTable {
    /// Makes the table of an agent.
    #[must_use]
    pub fn of_agent(agent: NodeName) -> Self {
        Self { agent: Some(agent), ..Self::default() }
    }

    fn sink(&self) -> TableSink {
        TableSink { table: Rc::clone(&self.table), agent: self.agent.clone() }
    }

    /// Passes on the newest record of each key: all, or those that an agent needs which begins to follow.
    ///
    /// # Errors
    ///
    /// Returns an error if nothing is known yet, or not all records were kept.
    pub fn pass_on_newest(&self, agent: Option<&str>) -> Result<Snapshot, ReadError> {
        let table = self.table.borrow();
        let is_wanted =
            |record: &KeyedRecord| agent.is_none_or(|agent| table.concerns(&record.key, agent));
        self.freshness.pass_on_newest(is_wanted)
    }

    /// Keeps the table current for ever.
    pub async fn follow(self, store: Rc<dyn Store>, pace: Pace) {
        let sink = self.sink();
        follow(store, STATE_TOPIC, pace, self.freshness, sink).await;
    }

    /// Takes in records that this process has appended itself, if they follow on what it holds.
    /// `end` is the offset after them; `sent` is when they were sent, if they surely weren't appended before.
    pub(crate) fn apply_own(&self, end: Offset, records: &[KeyedRecord], sent: Option<Moment>) {
        let known = self.freshness.position();
        if self.freshness.age().is_none() || known + records.len() as u64 != end {
            return;
        }
        let mut sink = self.sink();
        for record in records {
            apply_record(&mut sink, &self.freshness, record);
        }
        // Nothing lies between the table and the append, so the table was current when it was sent.
        if let Some(sent) = sent {
            self.freshness.note_current_as_of(sent);
        }
        self.freshness.move_to(end);
    }

    /// Keeps the store's record of this process's address.
    pub async fn announce(self, store: Rc<dyn Store>, member: Member) {
        let mut changes = self.freshness.subscribe();
        loop {
            changes.borrow_and_update();
            let known = self.table.borrow().members.get(&member.node) == Some(&member);
            if self.freshness.age().is_none() || known {
                if changes.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let record = Record::Member(member.clone()).encode();
            match store.append(STATE_TOPIC, &[record], None).await {
                Ok(end) => self.freshness.reach(end).await,
                Err(_) => tokio::time::sleep(REGISTER_RETRY).await,
            }
        }
    }
}

struct ProgressSink(Rc<RefCell<ProgressTable>>);

impl Sink for ProgressSink {
    fn reset(&mut self) {
        self.0.borrow_mut().reset();
    }

    fn apply(&mut self, record: &KeyedRecord) {
        self.0.borrow_mut().apply(record);
    }

    fn note_read(&mut self) {
        self.0.borrow_mut().note_read(tokio::time::Instant::now());
    }
}

/// Keeps the progress of all runs current for ever.
pub async fn follow_progress(
    store: Rc<dyn Store>,
    progress: Rc<RefCell<ProgressTable>>,
    pace: Pace,
) {
    let freshness = Rc::new(Freshness::default());
    follow(store, PROGRESS_TOPIC, pace, freshness, ProgressSink(progress)).await;
}
