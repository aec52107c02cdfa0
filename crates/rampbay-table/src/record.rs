//! Records of the table's stream in the log: JSON, one record each.

use std::collections::BTreeMap;

use rampbay_core::{ids::WorkspaceId, knobs::Knobs};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of the record format.
pub const FORMAT: u32 = 1;
/// The largest record that is read, in bytes.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;

/// The number of accepted edits; never decreases.
pub type TableVersion = u64;
/// An id that the publisher chooses for each edit, so that it can look up the result if the log's
/// answer is lost.
pub type EditId = String;

/// One record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// A change of rows.
    Edit(Edit),
    /// The whole table, written so that it can be restored after the log has dropped old records.
    Snapshot(Snapshot),
}

/// A change of one or more rows, accepted whole or void.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The edit's id.
    pub edit: EditId,
    /// Who published it.
    pub by: String,
    /// The changed rows.
    pub changes: Vec<Change>,
}

/// The change of one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The row.
    pub workspace: WorkspaceId,
    /// The table's version at which the row was last changed, as its editor saw it; 0 for no row.
    pub base: TableVersion,
    /// The new knobs; absent removes the row.
    pub knobs: Option<Knobs>,
}

/// The whole table after the record at `upto`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The offset of the last record that the snapshot includes; absent if it includes none.
    pub upto: Option<u64>,
    /// The table's version.
    pub version: TableVersion,
    /// Every row with the version of its last change.
    pub rows: BTreeMap<WorkspaceId, VersionedRow>,
    /// Ids of recent edits, so that an edit that was appended twice is applied only once.
    pub recent: Vec<EditId>,
}

/// A row with the version of its last change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionedRow {
    /// The table's version at which the row was last changed.
    pub changed: TableVersion,
    /// The row's knobs.
    pub knobs: Knobs,
}

/// Why a record is skipped.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The record is larger than [`MAX_RECORD_BYTES`].
    #[error("record of {0} bytes is larger than {MAX_RECORD_BYTES}")]
    TooLarge(usize),
    /// The bytes aren't a record of a known format.
    #[error("record can't be read: {0}")]
    Unreadable(String),
    /// The record's format isn't [`FORMAT`]; a later release wrote it.
    #[error("record has format {0}, this release reads {FORMAT}")]
    UnknownFormat(u32),
    /// A knob in the record is out of its range.
    #[error("record has a knob out of range: {0}")]
    Knob(String),
}

#[derive(Serialize, Deserialize)]
struct Framed<T> {
    v: u32,
    #[serde(flatten)]
    record: T,
}

#[derive(Deserialize)]
struct FormatOnly {
    v: u32,
}

impl Record {
    /// Encodes the record for the log.
    ///
    /// # Panics
    ///
    /// Never: every field of a record can be written as JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(&Framed { v: FORMAT, record: self }).expect("records are plain JSON")
    }

    /// Decodes and checks a record.
    ///
    /// # Errors
    ///
    /// Returns why the record must be skipped; a skipped record changes nothing.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLarge(bytes.len()));
        }
        let unreadable = |e: serde_json::Error| RecordError::Unreadable(e.to_string());
        let format: FormatOnly = serde_json::from_slice(bytes).map_err(unreadable)?;
        if format.v != FORMAT {
            return Err(RecordError::UnknownFormat(format.v));
        }
        let framed: Framed<Record> = serde_json::from_slice(bytes).map_err(unreadable)?;
        framed.record.check()?;
        Ok(framed.record)
    }

    fn check(&self) -> Result<(), RecordError> {
        let knobs: Vec<&Knobs> = match self {
            Record::Edit(edit) => edit.changes.iter().filter_map(|c| c.knobs.as_ref()).collect(),
            Record::Snapshot(snapshot) => snapshot.rows.values().map(|row| &row.knobs).collect(),
        };
        for row in knobs {
            row.check().map_err(|errors| {
                let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
                RecordError::Knob(texts.join("; "))
            })?;
        }
        Ok(())
    }
}

impl Edit {
    /// Creates an edit without changes.
    #[must_use]
    pub fn new(edit: impl Into<EditId>, by: impl Into<String>) -> Self {
        Self { edit: edit.into(), by: by.into(), changes: Vec::new() }
    }

    /// Adds a row that is set.
    #[must_use]
    pub fn set(
        mut self,
        workspace: impl Into<WorkspaceId>,
        base: TableVersion,
        knobs: Knobs,
    ) -> Self {
        self.changes.push(Change { workspace: workspace.into(), base, knobs: Some(knobs) });
        self
    }

    /// Adds a row that is removed.
    #[must_use]
    pub fn remove(mut self, workspace: impl Into<WorkspaceId>, base: TableVersion) -> Self {
        self.changes.push(Change { workspace: workspace.into(), base, knobs: None });
        self
    }
}
