//! The commands.

use std::{collections::BTreeMap, fmt::Write as _, fs, path::PathBuf};

use bytes::Bytes;
use hyper::Method;
use rampbay_core::{ids::WorkspaceId, job::JobSpec, knobs::Knobs};
use rampbay_entry::{
    dispatching::UpstreamView,
    gangs::{PlanView, WorkerView},
    operators::{ExplainView, TableView},
};
use rampbay_table::{
    grid::{from_csv, to_csv},
    record::Edit,
    state::HistoryRow,
};
use rampbay_wire::event::Event;
use serde::Serialize;
use serde_json::Value;

use crate::{
    args::{Args, Command, DrainArgs, LossesArgs, TableCommand, TableSet, TimelineArgs},
    client::{Client, CtlError},
    grids, html,
    losses::{JobHistories, LogLine, Report},
};

/// Runs a command and returns what it prints.
///
/// # Errors
///
/// Returns why the command failed.
pub async fn run(args: Args) -> Result<String, CtlError> {
    let client = Client::new(args.entry, args.key.clone());
    let json = args.json;
    match args.command {
        Command::Table(table) => match table.command {
            TableCommand::Get(_) => table_get(&client).await,
            TableCommand::Set(set) => table_set(&client, &set, json).await,
            TableCommand::Show(_) => {
                let view: TableView = client.get("/v1/table").await?;
                Ok(show(json, &view, grids::table))
            }
            TableCommand::Log(_) => {
                let rows: Vec<HistoryRow> = client.get("/v1/table/log").await?;
                Ok(show(json, &rows, |rows| grids::history(rows)))
            }
        },
        Command::Jobs(_) => {
            let jobs: Vec<JobSpec> = client.get("/v1/jobs").await?;
            Ok(show(json, &jobs, |jobs| grids::jobs(jobs)))
        }
        Command::Explain(explain) => {
            let view: ExplainView = client.get(&format!("/v1/explain/{}", explain.job)).await?;
            Ok(show(json, &view, grids::explanation))
        }
        Command::Losses(args) => {
            let report = losses(&args)?;
            Ok(show(json, &report, grids::losses))
        }
        Command::Workers(_) => {
            let views: Vec<WorkerView> = client.get("/v1/workers").await?;
            Ok(show(json, &views, |views| grids::workers(views)))
        }
        Command::Upstreams(_) => {
            let views: Vec<UpstreamView> = client.get("/v1/upstreams").await?;
            Ok(show(json, &views, |views| grids::upstreams(views)))
        }
        Command::Plan(_) => {
            let view: PlanView = client.get("/v1/plan").await?;
            Ok(show(json, &view, grids::plan))
        }
        Command::Drain(drain) => start_drain(&client, &drain, args.key).await,
        Command::Timeline(timeline) => show_timeline(&client, &timeline, json).await,
    }
}

fn show<T: Serialize>(json: bool, value: &T, grid: impl Fn(&T) -> String) -> String {
    if json { serde_json::to_string_pretty(value).unwrap_or_default() } else { grid(value) }
}

async fn table_get(client: &Client) -> Result<String, CtlError> {
    let view: TableView = client.get("/v1/table").await?;
    let rows = view.rows.iter().map(|(name, row)| (name, &row.knobs));
    let csv = to_csv(rows).map_err(|e| CtlError::Use(e.to_string()))?;
    // The versions of the rows are written as a comment line, so that `table set` knows which version
    // of each row the editor saw.
    let versions: Vec<String> =
        view.rows.iter().map(|(name, row)| format!("{name}={}", row.changed)).collect();
    Ok(format!("{VERSIONS_PREFIX}{}\n{}", versions.join(" "), csv.trim_end()))
}

/// Prefix of the first line that `table get` writes.
const VERSIONS_PREFIX: &str = "# versions: ";

/// Splits a file into the versions that its editor saw and the CSV.
///
/// # Errors
///
/// Returns an error if a version isn't a number.
pub fn split_versions(text: &str) -> Result<(BTreeMap<WorkspaceId, u64>, &str), CtlError> {
    let Some(rest) = text.strip_prefix(VERSIONS_PREFIX) else { return Ok((BTreeMap::new(), text)) };
    let (line, csv) = rest.split_once('\n').unwrap_or((rest, ""));
    let mut versions = BTreeMap::new();
    for item in line.split_whitespace() {
        let parsed = item.split_once('=').and_then(|(name, v)| Some((name, v.parse().ok()?)));
        let (name, version) =
            parsed.ok_or_else(|| CtlError::Use(format!("version `{item}` isn't NAME=NUMBER")))?;
        versions.insert(name.into(), version);
    }
    Ok((versions, csv))
}

async fn table_set(client: &Client, set: &TableSet, json: bool) -> Result<String, CtlError> {
    let text = fs::read_to_string(&set.file)
        .map_err(|e| CtlError::Use(format!("{}: {e}", set.file.display())))?;
    let (seen, csv) = split_versions(&text)?;
    let wanted = from_csv(csv).map_err(|e| CtlError::Use(e.to_string()))?;
    let view: TableView = client.get("/v1/table").await?;
    let id = format!("{:016x}", rand::random::<u64>());
    let edit = edit_from(&view, &seen, &wanted, id, &set.by);
    if edit.changes.is_empty() {
        return Ok("nothing differs".to_owned());
    }
    let changes = describe(&view, &edit);
    if set.dry_run {
        return Ok(format!("would change:\n{changes}"));
    }
    let body = serde_json::to_vec(&edit).map_err(|e| CtlError::Use(e.to_string()))?;
    let row: Result<HistoryRow, CtlError> =
        client.call(Method::POST, "/v1/table", Bytes::from(body)).await;
    match row {
        Ok(row) if json => Ok(serde_json::to_string_pretty(&row).unwrap_or_default()),
        Ok(row) => Ok(format!("in force as version {}:\n{changes}", row.version.unwrap_or(0))),
        Err(CtlError::Refused { status: 409, message }) => {
            let now: TableView = client.get("/v1/table").await?;
            let message =
                format!("{message}\nthe table now, against yours:\n{}", describe(&now, &edit));
            Err(CtlError::Refused { status: 409, message })
        }
        Err(e) => Err(e),
    }
}

/// Returns the edit that turns the table into the wanted one, based on the versions that the editor
/// saw.
#[must_use]
pub fn edit_from(
    view: &TableView,
    seen: &BTreeMap<WorkspaceId, u64>,
    wanted: &BTreeMap<WorkspaceId, Knobs>,
    id: String,
    by: &str,
) -> Edit {
    let base = |name: &WorkspaceId| {
        let now = view.rows.get(name).map_or(0, |row| row.changed);
        if seen.is_empty() { now } else { seen.get(name).copied().unwrap_or(0) }
    };
    let mut edit = Edit::new(id, by);
    for (name, knobs) in wanted {
        if view.rows.get(name).map(|row| &row.knobs) != Some(knobs) {
            edit = edit.set(name.clone(), base(name), knobs.clone());
        }
    }
    for name in view.rows.keys() {
        // A row that the editor never saw is missing from the file for that reason, so it is kept.
        let was_seen = seen.is_empty() || seen.contains_key(name);
        if !wanted.contains_key(name) && was_seen {
            edit = edit.remove(name.clone(), base(name));
        }
    }
    edit
}

fn describe(view: &TableView, edit: &Edit) -> String {
    let mut text = String::new();
    for change in &edit.changes {
        let before = view.rows.get(&change.workspace).map(|row| &row.knobs);
        match (&change.knobs, before) {
            (None, _) => {
                let _ = writeln!(text, "- {} removed", change.workspace);
            }
            (Some(knobs), before) => {
                for (column, old, new) in differences(before, knobs) {
                    let _ = writeln!(text, "  {} {column}: {old} -> {new}", change.workspace);
                }
            }
        }
    }
    text
}

fn differences(before: Option<&Knobs>, after: &Knobs) -> Vec<(String, String, String)> {
    let fields = |knobs: &Knobs| match serde_json::to_value(knobs) {
        Ok(Value::Object(fields)) => fields,
        _ => serde_json::Map::new(),
    };
    let old = before.map(fields).unwrap_or_default();
    let text = |value: Option<&Value>| value.map_or_else(|| "-".to_owned(), ToString::to_string);
    fields(after)
        .iter()
        .filter(|(column, value)| old.get(*column) != Some(*value))
        .map(|(column, value)| (column.clone(), text(old.get(column)), value.to_string()))
        .collect()
}

async fn start_drain(
    client: &Client,
    drain: &DrainArgs,
    key: Option<String>,
) -> Result<String, CtlError> {
    let target = drain.side.map_or_else(|| client.clone(), |side| Client::new(side, key));
    let answer: Value = target.call(Method::POST, "/v1/drain", Bytes::new()).await?;
    Ok(format!("drains: {answer}"))
}

async fn show_timeline(
    client: &Client,
    args: &TimelineArgs,
    json: bool,
) -> Result<String, CtlError> {
    let mut query: Vec<String> = Vec::new();
    let named = [
        ("job", &args.job),
        ("workspace", &args.workspace),
        ("process", &args.process),
        ("text", &args.text),
    ];
    for (name, value) in named {
        query.extend(value.as_ref().map(|value| format!("{name}={value}")));
    }
    if let Some(last) = args.last_s {
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let since = now.saturating_sub(u128::from(last) * 1_000);
        query.push(format!("since_ms={since}"));
    }
    let events: Vec<Event> = client.get(&format!("/v1/timeline?{}", query.join("&"))).await?;
    if args.html {
        return Ok(html::page(&events));
    }
    if args.trace {
        return Ok(html::trace(&events).to_string());
    }
    Ok(show(json, &events, |events| grids::timeline(events)))
}

/// Reads log files and counts what was lost.
fn losses(args: &LossesArgs) -> Result<Report, CtlError> {
    let read = |file: &PathBuf| {
        fs::read_to_string(file).map_err(|e| CtlError::Use(format!("{}: {e}", file.display())))
    };
    let texts = args.files.iter().map(read).collect::<Result<Vec<String>, CtlError>>()?;
    let lines = texts.iter().flat_map(|text| text.lines());
    let mut lines: Vec<LogLine<'_>> = lines.filter_map(LogLine::parse).collect();
    lines.sort_by_key(|line| line.time);
    let mut histories = JobHistories::default();
    lines.iter().for_each(|line| histories.apply(line));
    Ok(Report::of(&histories))
}
