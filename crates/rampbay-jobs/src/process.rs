//! State that every process maintains: the job table, and its own address for peers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::Moment;
use crate::follower::{Pace, Sink, apply_record, follow};
use crate::freshness::Freshness;
use crate::job::NodeName;
use crate::keys::subject;
use crate::outlook::OUTLOOK_KEY;
use crate::outlook::received::ReceivedOutlook;
use crate::planner::ProgressTable;
use crate::recipients::AddressedRecord;
use crate::record::{KeyedRecord, Member, PROGRESS_TOPIC, Record, STATE_TOPIC};
use crate::store::{Offset, ReadError, Snapshot, Store};
use crate::table::JobTable;

/// Pause before a failed append of the process's address is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// A job table that a follower keeps up to date.
#[derive(Clone, Default)]
pub struct LiveTable {
    /// The table.
    pub table: Rc<RefCell<JobTable>>,
    /// How up to date the table is.
    pub freshness: Rc<Freshness>,
    /// The agent that this table belongs to, which receives only records that concern its worker;
    /// `None` if the table is complete.
    pub agent: Option<NodeName>,
    /// Age of the leader's outlook in the table.
    pub outlook: Rc<ReceivedOutlook>,
}

struct TableSink {
    table: Rc<RefCell<JobTable>>,
    agent: Option<NodeName>,
    freshness: Rc<Freshness>,
    outlook: Rc<ReceivedOutlook>,
}

impl TableSink {
    /// Calls `apply`, and notes the arrival of an outlook that the record brought.
    fn note_outlook<T>(&self, record: &KeyedRecord, apply: impl FnOnce(&mut JobTable) -> T) -> T {
        let mut table = self.table.borrow_mut();
        let version = |table: &JobTable| table.outlook.as_ref().map(|known| known.version());
        let before = version(&table);
        let applied = apply(&mut table);
        if record.key == OUTLOOK_KEY
            && before != version(&table)
            && let Some(outlook) = &table.outlook
        {
            self.outlook.note(outlook, self.freshness.age());
        }
        applied
    }

    /// Logs that a job, or its cancellation, has entered a complete table. Whether it came before or after an answer to a
    /// caller can't be told from the time of the call that appended it.
    fn log_job_record(&self, record: &KeyedRecord) {
        let Some(kind @ ("job" | "cancel" | "early_cancel")) =
            record.key.split_once('/').map(|(kind, _)| kind)
        else {
            return;
        };
        if self.agent.is_some() || record.value.is_empty() {
            return;
        }
        let job = subject(&record.key).unwrap_or_default();
        let status = self.table.borrow().status(job);
        log::info!("event=J224 job record read job={job} kind={kind} status={status:?}");
    }
}

impl Sink for TableSink {
    fn reset(&mut self) {
        self.outlook.forget();
        *self.table.borrow_mut() = JobTable::default();
    }

    fn load(&mut self, records: &[KeyedRecord]) {
        self.outlook.forget();
        self.table.borrow_mut().load(records);
    }

    fn apply(&mut self, record: &KeyedRecord) {
        self.note_outlook(record, |table| table.apply(record));
        self.log_job_record(record);
    }

    fn apply_and_address(&mut self, record: &KeyedRecord) -> AddressedRecord {
        let addressed = self.note_outlook(record, |table| table.apply_and_address(record));
        self.log_job_record(record);
        addressed
    }

    fn has_gap(&self) -> bool {
        self.agent.as_ref().is_some_and(|agent| self.table.borrow().lacks_job_for(agent))
    }
}

impl LiveTable {
    /// Creates the table of an agent.
    #[must_use]
    pub fn of_agent(agent: NodeName) -> Self {
        Self { agent: Some(agent), ..Self::default() }
    }

    fn sink(&self) -> TableSink {
        TableSink {
            table: Rc::clone(&self.table),
            agent: self.agent.clone(),
            freshness: Rc::clone(&self.freshness),
            outlook: Rc::clone(&self.outlook),
        }
    }

    /// Returns the newest record of each key to pass on: all of them, or those that an agent needs
    /// when it starts to follow.
    pub fn pass_on_newest(&self, agent: Option<&str>) -> Result<Snapshot, ReadError> {
        let table = self.table.borrow();
        let is_wanted =
            |record: &KeyedRecord| agent.is_none_or(|agent| table.concerns(&record.key, agent));
        self.freshness.pass_on_newest(is_wanted)
    }

    /// Keeps the table up to date; never returns.
    pub async fn follow(self, store: Rc<dyn Store>, pace: Pace) {
        let sink = self.sink();
        follow(store, STATE_TOPIC, pace, self.freshness, sink).await;
    }

    /// Applies records that this process has appended itself, if nothing lies between them and the
    /// table's position. `end` is the offset after them. `sent` is when they were sent; `None` if
    /// they may have been appended by an earlier call.
    pub(crate) fn apply_own(&self, end: Offset, records: &[KeyedRecord], sent: Option<Moment>) {
        let known = self.freshness.position();
        if self.freshness.age().is_none() || known + records.len() as u64 != end {
            return;
        }
        let mut sink = self.sink();
        for record in records {
            apply_record(&mut sink, &self.freshness, record);
        }
        // No other record lies between the table's position and the append, so the table was up to
        // date when the call was sent.
        if let Some(sent) = sent {
            self.freshness.note_current_as_of(sent);
        }
        self.freshness.move_to(end);
    }

    /// Keeps the store's record of this process's address up to date.
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
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
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

/// Keeps the progress of all runs up to date; never returns.
pub async fn follow_progress(
    store: Rc<dyn Store>,
    progress: Rc<RefCell<ProgressTable>>,
    pace: Pace,
) {
    let freshness = Rc::new(Freshness::default());
    follow(store, PROGRESS_TOPIC, pace, freshness, ProgressSink(progress)).await;
}
