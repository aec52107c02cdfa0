//! Follows the table in the log and publishes edits.
//!
//! While the log can't be reached, the accepted table stays in force, and peers are asked for a
//! newer one.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rampbay_core::{ids::WorkspaceId, knobs::Knobs};
use rampbay_dispatch::dispatcher::Limits;
use rampbay_platform::log::{Log, LogError, LogPage};
use rampbay_table::{
    record::{Edit, Record},
    state::{Applied, HistoryRow},
};
use rampbay_wire::{envelope::Message, event::Code};
use thiserror::Error;

use crate::{
    dispatching::{Dispatching, Input as DispatchInput},
    gangs::{Gangs, Input as GangInput},
    shared::Shared,
};

/// The log stream that holds the table.
pub const STREAM: &str = "table";
/// Most records in one read of the log.
const MAX_PAGE_RECORDS: usize = 500;
/// Failed reads in a row after which peers are asked for the table.
const ASK_PEERS_AFTER: u32 = 2;

/// Why an edit isn't in force.
#[derive(Debug, Error)]
pub enum PublishError {
    /// A knob is out of its range, or the fleet can't hold the guarantees.
    #[error("{0}")]
    Invalid(String),
    /// A row had changed after the version that the edit is based on.
    #[error("the edit came too late: {why}")]
    Late {
        /// What had changed.
        why: String,
    },
    /// The log can't be reached or refused the edit; nothing was appended.
    #[error("the log can't be reached, nothing was published: {0}")]
    Unavailable(String),
    /// The edit wasn't found in the log in time, for example because the log can't be read; it may
    /// still come into force.
    #[error("the log gave no answer; ask for the edit's fate later under its id")]
    Unknown,
}

/// The parts of the entry that receive each accepted table.
#[derive(Debug, Clone)]
pub struct TableConsumers {
    /// The dispatcher.
    pub dispatching: Dispatching,
    /// The planner.
    pub gangs: Gangs,
}

/// Follows the table in the log until the process ends.
pub async fn follow(shared: Arc<Shared>, log: Arc<dyn Log>, consumers: TableConsumers) {
    let poll = Duration::from_millis(shared.settings.times.log_poll_ms);
    let mut follower = Follower { shared, log, consumers, cursor: 0, failures: 0 };
    loop {
        let more = follower.read().await;
        if !more {
            tokio::time::sleep(poll).await;
        }
    }
}

struct Follower {
    shared: Arc<Shared>,
    log: Arc<dyn Log>,
    consumers: TableConsumers,
    cursor: u64,
    failures: u32,
}

impl Follower {
    /// Reads one page; returns whether to read the next one at once.
    async fn read(&mut self) -> bool {
        self.cursor = self.cursor.max(self.shared.table().next_offset());
        match self.log.read(STREAM, self.cursor, MAX_PAGE_RECORDS).await {
            Ok(page) => {
                if self.failures >= ASK_PEERS_AFTER {
                    self.shared.event(Code::LogUp, None, None, "");
                }
                self.failures = 0;
                self.apply_page(page).await
            }
            Err(e) => {
                self.failures += 1;
                if self.failures == ASK_PEERS_AFTER {
                    self.shared.event(Code::LogDown, None, None, e.to_string());
                }
                if self.failures >= ASK_PEERS_AFTER {
                    self.ask_peers();
                }
                false
            }
        }
    }

    fn ask_peers(&self) {
        let have = self.shared.table().version();
        for (_, addr) in self.shared.peers() {
            self.shared.outbox.send(addr, Message::TableQuery { have });
        }
    }

    async fn apply_page(&mut self, page: LogPage) -> bool {
        let mut changed = false;
        for record in &page.records {
            self.cursor = record.offset + 1;
            let applied = self.shared.table_mut().apply(record.offset, &record.data);
            changed |= self.record_event(record.offset, &applied);
            if matches!(applied, Applied::Snapshot { taken: true }) {
                // The records between the snapshot's base and the snapshot are applied next.
                self.cursor = self.shared.table().next_offset();
                distribute_table(&self.shared, &self.consumers);
                return true;
            }
        }
        if changed {
            distribute_table(&self.shared, &self.consumers);
        }
        let caught_up = self.cursor >= page.next;
        if caught_up && self.shared.table().snapshot_due(page.oldest) {
            self.write_snapshot().await;
        }
        !caught_up && !page.records.is_empty()
    }

    /// Records the event of an applied log record; returns whether the table changed.
    fn record_event(&self, offset: u64, applied: &Applied) -> bool {
        match applied {
            Applied::Accepted { version, edit } => {
                let detail = format!("version {version} by {} ({})", edit.by, edit.edit);
                self.shared.event(Code::TableAccepted, None, None, detail);
                true
            }
            Applied::Void { edit, workspace, .. } => {
                let detail = format!("edit {} by {}", edit.edit, edit.by);
                self.shared.event(Code::TableVoid, None, Some(workspace), detail);
                false
            }
            Applied::Skipped(e) => {
                let detail = format!("offset {offset}: {e}");
                self.shared.event(Code::RecordSkipped, None, None, detail);
                false
            }
            Applied::Snapshot { taken } => *taken,
            Applied::Duplicate | Applied::Old | Applied::AwaitingSnapshot => false,
        }
    }

    /// Writes a snapshot of the table to the log.
    ///
    /// Two entries may both write one, which does no harm: a snapshot contains only what the log
    /// contained already.
    async fn write_snapshot(&self) {
        let record = Record::Snapshot(self.shared.table().snapshot()).encode();
        if let Ok(offset) = self.log.append(STREAM, record).await {
            self.shared.event(Code::SnapshotWritten, None, None, format!("offset {offset}"));
        }
    }
}

/// Passes the accepted table on to the dispatcher and the planner.
pub fn distribute_table(shared: &Shared, consumers: &TableConsumers) {
    let (version, rows) = {
        let table = shared.table();
        let rows: BTreeMap<WorkspaceId, Knobs> =
            table.rows().iter().map(|(name, row)| (name.clone(), row.knobs.clone())).collect();
        (table.version(), rows)
    };
    let limits = rows.iter().map(|(name, knobs)| {
        let limits = Limits {
            weight: knobs.weight,
            queued: knobs.queued_limit,
            retry_percent: knobs.retry_budget_percent,
        };
        (name.clone(), limits)
    });
    consumers.dispatching.tell(DispatchInput::Limits(limits.collect()));
    consumers.gangs.tell(GangInput::Table(rows));
    let version = i64::try_from(version).unwrap_or(i64::MAX);
    shared.metrics.table_version.get_or_create(&Vec::new()).set(version);
}

/// Answers a peer that asks for a table newer than version `have`.
pub fn answer_query(shared: &Shared, to: std::net::SocketAddr, have: u64) {
    let table = shared.table();
    if table.version() > have {
        let record = Record::Snapshot(table.snapshot()).encode();
        shared.outbox.send(to, Message::Table(record));
    }
}

/// Takes over a peer's table if it is newer.
pub fn take_from_peer(shared: &Shared, consumers: &TableConsumers, record: &[u8]) {
    let Ok(Record::Snapshot(snapshot)) = Record::decode(record) else {
        return;
    };
    let taken = shared.table_mut().install_snapshot(&snapshot);
    if taken {
        let detail = format!("version {}", snapshot.version);
        shared.event(Code::TableFromPeer, None, None, detail);
        distribute_table(shared, consumers);
    }
}

/// Publishes an edit and waits until the log shows whether it is in force.
///
/// If the answer to the append is lost, the edit is looked up in the log by its id and never
/// appended a second time.
///
/// # Errors
///
/// Returns why the edit isn't in force.
pub async fn publish(
    shared: &Shared,
    log: &Arc<dyn Log>,
    gangs: &Gangs,
    edit: Edit,
) -> Result<HistoryRow, PublishError> {
    check(shared, gangs, &edit).await?;
    let id = edit.edit.clone();
    let record = Record::Edit(edit).encode();
    match log.append(STREAM, record).await {
        Ok(_) | Err(LogError::NoAnswer(_)) => {}
        Err(LogError::Refused(why)) => return Err(PublishError::Unavailable(why)),
    }
    let outcome = await_edit_outcome(shared, &id).await;
    match outcome {
        Some(row) => match &row.void {
            None => Ok(row),
            Some(why) => Err(PublishError::Late { why: why.clone() }),
        },
        None => Err(PublishError::Unknown),
    }
}

async fn check(shared: &Shared, gangs: &Gangs, edit: &Edit) -> Result<(), PublishError> {
    let mut wanted: BTreeMap<WorkspaceId, Knobs> =
        shared.table().rows().iter().map(|(name, row)| (name.clone(), row.knobs.clone())).collect();
    for change in &edit.changes {
        match &change.knobs {
            Some(knobs) => {
                knobs.check().map_err(|errors| {
                    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
                    PublishError::Invalid(format!("{}: {}", change.workspace, texts.join("; ")))
                })?;
                wanted.insert(change.workspace.clone(), knobs.clone());
            }
            None => {
                wanted.remove(&change.workspace);
            }
        }
    }
    let rows = wanted.into_values().collect();
    match gangs.ask(|tx| GangInput::Check(rows, tx)).await {
        Some(Err(e)) => Err(PublishError::Invalid(e.to_string())),
        Some(Ok(())) | None => Ok(()),
    }
}

async fn await_edit_outcome(shared: &Shared, edit: &str) -> Option<HistoryRow> {
    const TIMEOUT: Duration = Duration::from_secs(6);
    const POLL_INTERVAL: Duration = Duration::from_millis(10);
    let until = shared.now() + TIMEOUT;
    while shared.now() < until {
        let outcome = shared.table().edit_outcome(edit).cloned();
        if outcome.is_some() {
            return outcome;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    None
}
