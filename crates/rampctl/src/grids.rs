//! Grids for people.

use std::fmt::Write as _;

use comfy_table::Table;
use rampbay_core::{job::JobSpec, knobs::COLUMNS};
use rampbay_entry::{
    dispatching::UpstreamView,
    gangs::{PlanView, WorkerView},
    operators::{ExplainView, TableView},
};
use rampbay_table::state::HistoryRow;
use rampbay_wire::event::Event;
use serde_json::Value;

use crate::losses::{Loss, Report};

fn grid(header: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table.set_header(header.iter().copied());
    for row in rows {
        table.add_row(row);
    }
    table.to_string()
}

/// Shows the table.
#[must_use]
pub fn table(view: &TableView) -> String {
    let header: Vec<&str> =
        std::iter::once("workspace").chain(COLUMNS).chain(["changed at"]).collect();
    let rows = view.rows.iter().map(|(name, row)| {
        let fields = serde_json::to_value(&row.knobs).unwrap_or_default();
        let cells = COLUMNS.iter().map(|column| match &fields[*column] {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        });
        std::iter::once(name.to_string()).chain(cells).chain([row.changed.to_string()]).collect()
    });
    format!("version {}\n{}", view.version, grid(&header, rows))
}

/// Shows the table's history.
#[must_use]
pub fn history(rows: &[HistoryRow]) -> String {
    let header = ["offset", "edit", "by", "workspaces", "version", "fate"];
    let rows = rows.iter().map(|row| {
        vec![
            row.offset.to_string(),
            row.edit.clone(),
            row.by.clone(),
            row.workspaces.join(", "),
            row.version.map_or_else(|| "-".to_owned(), |version| version.to_string()),
            row.void.clone().unwrap_or_else(|| "accepted, in force here".to_owned()),
        ]
    });
    grid(&header, rows)
}

/// Shows requests.
#[must_use]
pub fn jobs(jobs: &[JobSpec]) -> String {
    let header = ["job", "class", "devices", "repeatable"];
    let rows = jobs.iter().map(|job| {
        vec![
            format!("{}/{}", job.workspace, job.id),
            format!("{:?}", job.class).to_lowercase(),
            job.gang.as_ref().map_or_else(|| "-".to_owned(), |gang| gang.devices.to_string()),
            job.repeatable.to_string(),
        ]
    });
    grid(&header, rows)
}

/// Shows why a job is in its state.
#[must_use]
pub fn explanation(view: &ExplainView) -> String {
    let mut text = format!("{}: {}", view.job, view.text);
    if view.age_ms > 0 {
        let _ = write!(text, "\narrived {:.1} s ago", view.age_ms as f64 / 1_000.0);
    }
    if view.waiting_ms > 0 {
        let _ = write!(text, ", has waited {:.1} s", view.waiting_ms as f64 / 1_000.0);
        let _ = write!(text, ", {} of its kind go first", view.ahead);
    }
    text
}

/// Shows workers.
#[must_use]
pub fn workers(views: &[WorkerView]) -> String {
    let header = ["worker", "rack", "failure domain", "devices", "leases"];
    let rows = views.iter().map(|view| {
        let spec = &view.report.spec;
        let leases: Vec<String> = view
            .report
            .leases
            .iter()
            .map(|lease| {
                let state = format!("{:?}", lease.state).to_lowercase();
                format!("{} ({}, {state})", lease.meta.job, lease.devices.count_ones())
            })
            .collect();
        vec![
            spec.id.to_string(),
            spec.rack.clone(),
            spec.failure_domain.clone(),
            spec.devices.to_string(),
            leases.join("\n"),
        ]
    });
    grid(&header, rows)
}

/// Shows upstreams.
#[must_use]
pub fn upstreams(views: &[UpstreamView]) -> String {
    let header =
        ["upstream", "failure domain", "slots", "used", "waiting", "ours", "silent ms", "state"];
    let rows = views.iter().map(|view| {
        vec![
            view.id.to_string(),
            view.failure_domain.clone(),
            view.slots.to_string(),
            view.used.to_string(),
            view.waiting.to_string(),
            view.outstanding.to_string(),
            view.silent_ms.to_string(),
            if view.leaving { "leaving" } else { "serving" }.to_owned(),
        ]
    });
    grid(&header, rows)
}

/// Shows workspaces and devices.
#[must_use]
pub fn plan(view: &PlanView) -> String {
    let header = ["workspace", "held", "borrowed", "running", "waiting", "unused guarantee"];
    let rows = view.workspaces.iter().map(|row| {
        vec![
            row.workspace.to_string(),
            row.held.to_string(),
            row.borrowed.to_string(),
            row.running.to_string(),
            row.waiting.to_string(),
            row.unused.to_string(),
        ]
    });
    format!(
        "{}\n{} of {} devices free; guarantees short of {}",
        grid(&header, rows),
        view.free,
        view.devices,
        view.short
    )
}

/// Shows events.
#[must_use]
pub fn timeline(events: &[Event]) -> String {
    let start = events.first().map(|event| event.stamp.since_epoch()).unwrap_or_default();
    let mut text = String::new();
    for event in events {
        let at = event.stamp.since_epoch().saturating_sub(start).as_secs_f64() * 1_000.0;
        let job = event.job.as_deref().unwrap_or("-");
        let (number, what) = (event.code as u16, event.code.text());
        let _ = writeln!(
            text,
            "{at:>12.3} ms  {:<14} E{number} {what:<26} {job:<28} {}",
            event.process, event.detail
        );
    }
    text
}

/// Shows the jobs by outcome, and the stops for urgent work by the outcome of their beneficiaries.
#[must_use]
pub fn losses(report: &Report) -> String {
    let name = |loss: Loss| format!("{loss:?}");
    let losses = report.losses.iter().map(|row| {
        vec![row.from_s.to_string(), row.queue.clone(), name(row.loss), row.jobs.to_string()]
    });
    let stops = report
        .stops
        .iter()
        .map(|row| vec![name(row.beneficiary), row.stops.to_string(), row.lost_core_s.to_string()]);
    let losses = grid(&["from s", "queue", "outcome", "jobs"], losses);
    let stops = grid(&["stopped for jobs that ended", "stops", "core-seconds lost"], stops);
    format!("{losses}\n{stops}")
}
