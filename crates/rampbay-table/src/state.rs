//! The accepted table, folded from the log in its order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rampbay_core::{ids::WorkspaceId, knobs::Knobs};
use serde::{Deserialize, Serialize};

use crate::record::{
    Change, Edit, EditId, Record, RecordError, Snapshot, TableVersion, VersionedRow,
};

/// Edits that are remembered, so that a doubled append is void and a lost answer can be settled.
const REMEMBERED_EDITS: usize = 1_024;
/// Records after which a snapshot is due.
const SNAPSHOT_EVERY: u64 = 512;

/// What a record did.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// The edit is in force.
    Accepted {
        /// The table's version with it.
        version: TableVersion,
        /// The edit.
        edit: Edit,
    },
    /// The edit came too late: a row had changed after its editor saw it.
    Void {
        /// The edit.
        edit: Edit,
        /// Who had changed the row, with which edit.
        winner: Option<(String, EditId)>,
        /// The row that had changed.
        workspace: WorkspaceId,
    },
    /// The edit was there already.
    Duplicate,
    /// A snapshot, taken over if the table was empty or behind.
    Snapshot {
        /// Whether it replaced the table.
        taken: bool,
    },
    /// The record can't be used.
    Skipped(RecordError),
    /// The record was folded before.
    Old,
    /// Records before this one are gone from the log, and no snapshot has been seen yet.
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
    /// The version that it made, if it was accepted.
    pub version: Option<TableVersion>,
    /// The rows that it named.
    pub workspaces: Vec<WorkspaceId>,
    /// Why it is void, if it is.
    pub void: Option<String>,
}

/// The accepted table.
#[derive(Debug, Clone, Default)]
pub struct TableState {
    version: TableVersion,
    rows: BTreeMap<WorkspaceId, VersionedRow>,
    /// Who made each row's last change; only as far as it was seen.
    changed_by: BTreeMap<WorkspaceId, (String, EditId)>,
    recent: VecDeque<EditId>,
    recent_set: BTreeSet<EditId>,
    history: VecDeque<HistoryRow>,
    upto: Option<u64>,
    last_snapshot: Option<u64>,
    skipped: u64,
}

impl TableState {
    /// Folds the record at `offset`.
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

    /// A record that can't be read is passed only where nothing before it is missing.
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

    /// Takes over a snapshot, from the log or from a peer, unless it is behind this table.
    ///
    /// Returns whether it was taken. A table never goes back to an older version.
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

    /// Returns the offset of the next record to fold.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.upto.map_or(0, |upto| upto + 1)
    }

    /// Returns the version.
    #[must_use]
    pub const fn version(&self) -> TableVersion {
        self.version
    }

    /// Returns a row's knobs.
    #[must_use]
    pub fn knobs(&self, workspace: &str) -> Option<&Knobs> {
        self.rows.get(workspace).map(|row| &row.knobs)
    }

    /// Returns the version at which a row was last changed, 0 for a row that isn't there.
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

    /// Returns what became of an edit, if it was folded lately.
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
    /// That is so when many records have come since the last one, or when retention has taken
    /// half of what lies before it.
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
