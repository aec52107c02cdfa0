//! Reads and writes the table as CSV: one row for each workspace, one column for each knob.

use std::collections::BTreeMap;

use rampbay_core::{
    ids::WorkspaceId,
    knobs::{COLUMNS, Knobs},
};
use serde_json::Value;
use thiserror::Error;

use crate::{
    record::{Edit, EditId},
    state::TableState,
};

/// Why a CSV isn't a table. Lines count from 1, with the header.
#[derive(Debug, Error)]
pub enum GridError {
    /// The text isn't CSV.
    #[error("table is not CSV: {0}")]
    Csv(#[from] csv::Error),
    /// A column isn't known.
    #[error("column `{0}` is not a knob; the knobs are {known}", known = COLUMNS.join(", "))]
    UnknownColumn(String),
    /// The first column isn't `workspace`.
    #[error("the first column must be `workspace`")]
    NoWorkspace,
    /// A workspace has no name or appears twice.
    #[error("line {line}: workspace `{name}` is empty or appears twice")]
    Workspace {
        /// The line.
        line: usize,
        /// The name.
        name: String,
    },
    /// A value isn't of its knob's kind or range.
    #[error("line {line}, workspace {workspace}: {message}")]
    Value {
        /// The line.
        line: usize,
        /// The workspace.
        workspace: String,
        /// What is wrong.
        message: String,
    },
}

/// Writes rows as CSV.
///
/// # Errors
///
/// Returns an error if the CSV library does.
pub fn to_csv<'a>(
    rows: impl IntoIterator<Item = (&'a WorkspaceId, &'a Knobs)>,
) -> Result<String, GridError> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    let header: Vec<&str> = std::iter::once("workspace").chain(COLUMNS).collect();
    writer.write_record(&header)?;
    for (workspace, knobs) in rows {
        let fields = fields(knobs);
        let cells = COLUMNS.iter().map(|column| cell(&fields[*column]));
        let record: Vec<String> = std::iter::once(workspace.to_string()).chain(cells).collect();
        writer.write_record(&record)?;
    }
    let bytes = writer.into_inner().map_err(|e| csv::Error::from(e.into_error()))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn fields(knobs: &Knobs) -> serde_json::Map<String, Value> {
    match serde_json::to_value(knobs) {
        Ok(Value::Object(fields)) => fields,
        _ => serde_json::Map::new(),
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Reads rows from CSV; a knob without a column keeps its default.
///
/// # Errors
///
/// Returns the first line that isn't a row of the table.
pub fn from_csv(text: &str) -> Result<BTreeMap<WorkspaceId, Knobs>, GridError> {
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(text.as_bytes());
    let header = reader.headers()?.clone();
    if header.get(0) != Some("workspace") {
        return Err(GridError::NoWorkspace);
    }
    if let Some(unknown) = header.iter().skip(1).find(|column| !COLUMNS.contains(column)) {
        return Err(GridError::UnknownColumn(unknown.to_owned()));
    }
    let mut rows = BTreeMap::new();
    for (at, record) in reader.records().enumerate() {
        let record = record?;
        let line = at + 2;
        let name = record.get(0).unwrap_or_default().to_owned();
        if name.is_empty() || rows.contains_key(name.as_str()) {
            return Err(GridError::Workspace { line, name });
        }
        let cells = header.iter().zip(record.iter()).skip(1);
        let knobs = read_knobs(cells).map_err(|message| GridError::Value {
            line,
            workspace: name.clone(),
            message,
        })?;
        rows.insert(name.into(), knobs);
    }
    Ok(rows)
}

fn read_knobs<'a>(cells: impl Iterator<Item = (&'a str, &'a str)>) -> Result<Knobs, String> {
    let mut fields = serde_json::Map::new();
    for (column, text) in cells.filter(|(_, text)| !text.is_empty()) {
        let value = match text.parse::<u64>() {
            Ok(number) if column != "guarantee" => Value::from(number),
            _ => Value::from(text),
        };
        fields.insert(column.to_owned(), value);
    }
    let knobs: Knobs = serde_json::from_value(Value::Object(fields)).map_err(|e| e.to_string())?;
    knobs.check().map_err(|errors| {
        let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
        texts.join("; ")
    })?;
    Ok(knobs)
}

/// Returns the edit that turns the table, as its editor saw it, into `wanted`.
///
/// Unchanged rows are left out, so that the edits of two operators who change different rows don't
/// conflict.
#[must_use]
pub fn edit_between(
    seen: &TableState,
    wanted: &BTreeMap<WorkspaceId, Knobs>,
    edit: impl Into<EditId>,
    by: impl Into<String>,
) -> Edit {
    let mut result = Edit::new(edit, by);
    for (workspace, knobs) in wanted {
        if seen.knobs(workspace) != Some(knobs) {
            result = result.set(workspace.clone(), seen.row_version(workspace), knobs.clone());
        }
    }
    for (workspace, row) in seen.rows() {
        if !wanted.contains_key(workspace) {
            result = result.remove(workspace.clone(), row.changed);
        }
    }
    result
}
