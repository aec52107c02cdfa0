//! The accepted table, built by applying the log's records in order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rampbay_core::{ids::WorkspaceId, knobs::Knobs};
use serde::{Deserialize, Serialize};

use crate::record::{
    Change, Edit, EditId, Record, RecordError, Snapshot, TableVersion, VersionedRow,
};

/// Number of recent edit ids that are kept, so that an edit that was appended twice is applied only
/// once, and the result of an edit whose answer was lost can be determined.
const REMEMBERED_EDITS: usize = 1_024;
/// Records after which a snapshot is due.
const SNAPSHOT_EVERY: u64 = 512;

/// What a record did.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// The edit was applied.
    Accepted {
        /// The table's version after the edit.
        version: TableVersion,
        /// The edit.
        edit: Edit,
    },
    /// The edit was rejected: a row had changed after the editor read it.
    Void {
        /// The edit.
        edit: Edit,
        /// Who had changed the row, with which edit.
        winner: Option<(String, EditId)>,
        /// The row that had changed.
        workspace: WorkspaceId,
    },
    /// An edit with this id was applied or rejected before.
    Duplicate,
    /// The record is a snapshot; it replaces a table that lacks earlier records and is older.
    Snapshot {
        /// Whether it replaced the table.
        taken: bool,
    },
    /// The record was skipped because it can't be read or is invalid.
    Skipped(RecordError),
    /// The record at this offset was processed before.
    Old,
    /// Records before this one are missing; the edit can be applied only after a snapshot.
    AwaitingSnapshot,
}

/// One line of the table's history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryRow {
    /// The record's offset in the log.
    pub offset: u64,
    /// The edit's id.
    pub edit: EditId,
    /// Who published it.
    pub by: String,
    /// The table's version after the edit, if it was accepted.
    pub version: Option<TableVersion>,
    /// The rows that the edit named.
    pub workspaces: Vec<WorkspaceId>,
    /// Why the edit is void, if it is.
    pub void: Option<String>,
}

/// The accepted table.
#[derive(Debug, Clone, Default)]
pub struct TableState {
    version: TableVersion,
    rows: BTreeMap<WorkspaceId, VersionedRow>,
    /// Publisher and edit id of each row's last change, for changes that were applied here.
    changed_by: BTreeMap<WorkspaceId, (String, EditId)>,
    recent: VecDeque<EditId>,
    recent_set: BTreeSet<EditId>,
    history: VecDeque<HistoryRow>,
    upto: Option<u64>,
    last_snapshot: Option<u64>,
    skipped: u64,
}

impl TableState {
    /// Applies the record at `offset`.
    pub fn apply(&mut self, offset: u64, bytes: &[u8]) -> Applied {
        if self.upto.is_some_and(|upto| offset <= upto) {
            return Applied::Old;
        }
        let record = match Record::decode(bytes) {
            Ok(record) => record,
            Err(e) => {
                self.skipped += 1;
                self.advance(offset);
                return Applied::Skipped(e);
            }
        };
        match record {
            Record::Snapshot(snapshot) => self.apply_snapshot(offset, &snapshot),
            Record::Edit(_) if self.next_offset() != offset => Applied::AwaitingSnapshot,
            Record::Edit(edit) => {
                self.upto = Some(offset);
                self.apply_edit(offset, edit)
            }
        }
    }

    /// Moves past the record at `offset`, unless records before it are missing.
    fn advance(&mut self, offset: u64) {
        if self.next_offset() == offset {
            self.upto = Some(offset);
        }
    }

    fn apply_snapshot(&mut self, offset: u64, snapshot: &Snapshot) -> Applied {
        let contiguous = self.next_offset() == offset;
        let taken = !contiguous && self.install_snapshot(snapshot);
        self.advance(offset);
        self.last_snapshot = Some(offset);
        Applied::Snapshot { taken }
    }

    /// Replaces the table by a snapshot from the log or from a peer if the snapshot is newer.
    ///
    /// Returns whether the table was replaced. A table never returns to an older version.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot) -> bool {
        let behind = snapshot.version < self.version
            || (snapshot.version == self.version && snapshot.upto <= self.upto);
        if behind {
            return false;
        }
        self.version = snapshot.version;
        self.rows = snapshot.rows.clone();
        self.upto = snapshot.upto;
        for edit in &snapshot.recent {
            self.remember(edit);
        }
        true
    }

    fn apply_edit(&mut self, offset: u64, edit: Edit) -> Applied {
        if self.recent_set.contains(&edit.edit) {
            return Applied::Duplicate;
        }
        self.remember(&edit.edit);
        let late =
            edit.changes.iter().find(|change| self.row_version(&change.workspace) != change.base);
        if let Some(Change { workspace, .. }) = late {
            let workspace = workspace.clone();
            let winner = self.changed_by.get(&workspace).cloned();
            let by = winner.as_ref().map_or("an earlier edit", |(by, _)| by.as_str());
            let why = format!("row {workspace} had been changed by {by}");
            self.record_history(offset, &edit, None, Some(why));
            return Applied::Void { edit, winner, workspace };
        }
        self.version += 1;
        for change in &edit.changes {
            self.change_row(change, &edit);
        }
        self.record_history(offset, &edit, Some(self.version), None);
        Applied::Accepted { version: self.version, edit }
    }

    fn change_row(&mut self, change: &Change, edit: &Edit) {
        let workspace = change.workspace.clone();
        self.changed_by.insert(workspace.clone(), (edit.by.clone(), edit.edit.clone()));
        match &change.knobs {
            Some(knobs) => {
                let row = VersionedRow { changed: self.version, knobs: knobs.clone() };
                self.rows.insert(workspace, row);
            }
            None => {
                self.rows.remove(&workspace);
            }
        }
    }

    fn remember(&mut self, edit: &EditId) {
        if self.recent_set.insert(edit.clone()) {
            self.recent.push_back(edit.clone());
        }
        while self.recent.len() > REMEMBERED_EDITS {
            if let Some(oldest) = self.recent.pop_front() {
                self.recent_set.remove(&oldest);
            }
        }
    }

    fn record_history(
        &mut self,
        offset: u64,
        edit: &Edit,
        version: Option<TableVersion>,
        void: Option<String>,
    ) {
        const MAX_HISTORY_ROWS: usize = 512;
        if self.history.len() >= MAX_HISTORY_ROWS {
            self.history.pop_front();
        }
        self.history.push_back(HistoryRow {
            offset,
            edit: edit.edit.clone(),
            by: edit.by.clone(),
            version,
            workspaces: edit.changes.iter().map(|change| change.workspace.clone()).collect(),
            void,
        });
    }

    /// Returns the offset of the next record to apply.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.upto.map_or(0, |upto| upto + 1)
    }

    /// Returns the table's version.
    #[must_use]
    pub const fn version(&self) -> TableVersion {
        self.version
    }

    /// Returns a row's knobs.
    #[must_use]
    pub fn knobs(&self, workspace: &str) -> Option<&Knobs> {
        self.rows.get(workspace).map(|row| &row.knobs)
    }

    /// Returns the table's version at which a row was last changed, 0 for a row that doesn't exist.
    #[must_use]
    pub fn row_version(&self, workspace: &str) -> TableVersion {
        self.rows.get(workspace).map_or(0, |row| row.changed)
    }

    /// Returns every row.
    #[must_use]
    pub const fn rows(&self) -> &BTreeMap<WorkspaceId, VersionedRow> {
        &self.rows
    }

    /// Returns the history, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &HistoryRow> {
        self.history.iter()
    }

    /// Returns the result of an edit, if it is among the latest `MAX_HISTORY_ROWS` in the history.
    #[must_use]
    pub fn edit_outcome(&self, edit: &str) -> Option<&HistoryRow> {
        self.history.iter().rev().find(|row| row.edit == edit)
    }

    /// Returns the number of records that were skipped.
    #[must_use]
    pub const fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Returns whether a snapshot should be written, given the oldest offset that the log keeps.
    ///
    /// A snapshot is due after `SNAPSHOT_EVERY` records since the last one, or when the log has
    /// begun to drop records and the last snapshot lies in the older half of those it keeps.
    #[must_use]
    pub fn snapshot_due(&self, oldest_kept: u64) -> bool {
        let next = self.next_offset();
        let last = self.last_snapshot.unwrap_or(0);
        let many = next.saturating_sub(last) >= SNAPSHOT_EVERY;
        let lost_soon = oldest_kept > 0 && last <= oldest_kept + (next - oldest_kept.min(next)) / 2;
        self.version > 0 && (many || (lost_soon && next > last + 1))
    }

    /// Returns the whole table as a snapshot.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            upto: self.upto,
            version: self.version,
            rows: self.rows.clone(),
            recent: self.recent.iter().cloned().collect(),
        }
    }
}
