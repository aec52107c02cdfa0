//! The capacity page, worked out from measured figures.

use std::fmt::Write as _;

use crate::{fit::Line, measure::Figures};

/// Sizes of two years from now, from the users' letter.
pub mod sizes {
    /// Workers.
    pub const WORKERS: f64 = 2_500.0;
    /// Processes beside upstreams: one on each box.
    pub const SIDES: f64 = 2_500.0;
    /// Jobs in a day.
    pub const JOBS_A_DAY: f64 = 2_800.0;
    /// Tasks running.
    pub const TASKS: f64 = 24_000.0;
    /// Devices in the largest gang.
    pub const LARGEST_GANG: f64 = 256.0;
    /// Failure domains.
    pub const FAILURE_DOMAINS: f64 = 9.0;
    /// Changes of configuration in a day.
    pub const CHANGES_A_DAY: f64 = 8_100.0;
    /// Seconds in a day.
    pub const DAY: f64 = 86_400.0;
    /// Share of a core for control, in percent.
    pub const CORE_PERCENT: f64 = 2.7;
    /// Memory of a daemon, in bytes.
    pub const MEMORY: f64 = 128.0 * 1024.0 * 1024.0;
    /// Bytes a second of control.
    pub const BYTES_A_SECOND: f64 = 3_000.0;
    /// Urgent work starts within this time, in milliseconds.
    pub const URGENT_MS: f64 = 1_500.0;
    /// A change is in force everywhere within this time, in milliseconds.
    pub const IN_FORCE_MS: f64 = 13_000.0;
    /// Boxes that fail in a day.
    pub const FAILURES_A_DAY: f64 = 23.0;
    /// Boxes that are restarted or replaced in a day.
    pub const RESTARTS_A_DAY: f64 = 900.0;
}

/// Entries: two in each failure domain, so that one may go.
pub const ENTRIES: f64 = 2.0 * sizes::FAILURE_DOMAINS;
/// Entries that each side process reports to, so that one may go.
pub const ENTRIES_OF_A_SIDE: f64 = 2.0;
/// Load reports of an idle side process in a second.
const REPORTS_A_SECOND: f64 = 2.0;
/// Renewals of a lease in a second, at the default of a third of 3 s.
const RENEWALS_A_SECOND: f64 = 1.0;
/// Bytes of one HTTP call to the platform and its answer, without the body; counted by hand from
/// the headers that the client sends.
const CALL_BYTES: f64 = 250.0;
/// Polls of the workers in a second, at the default of 50 ms.
const WORKER_POLLS: f64 = 20.0;
/// Polls of the table and of the claims in a second, at the default of 200 ms each.
const LOG_POLLS: f64 = 10.0;
/// Polls of the list of boxes in a second.
const BOX_POLLS: f64 = 2.0;
/// Bytes of one worker's report with ten leases, as JSON; counted from one.
const REPORT_BYTES: f64 = 3_900.0;
/// Bytes of one row of the list of boxes, as JSON; counted from one.
const BOX_ROW_BYTES: f64 = 130.0;

struct Row {
    what: String,
    formula: String,
    value: f64,
    unit: &'static str,
    limit: Option<f64>,
    carried_by: &'static str,
}

impl Row {
    fn verdict(&self) -> &'static str {
        match self.limit {
            None => "-",
            Some(limit) if self.value <= limit => "holds",
            Some(_) => "**does not hold**",
        }
    }
}

fn number(value: f64) -> String {
    if value >= 1_000_000.0 {
        format!("{:.1} M", value / 1e6)
    } else if value >= 10_000.0 {
        format!("{:.1} k", value / 1e3)
    } else if value >= 10.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    }
}

fn table(text: &mut String, rows: &[Row]) {
    let _ = writeln!(text, "| what | formula | value | limit | today | carried by |");
    let _ = writeln!(text, "| --- | --- | --- | --- | --- | --- |");
    for row in rows {
        let limit =
            row.limit.map_or_else(|| "-".to_owned(), |l| format!("{} {}", number(l), row.unit));
        let _ = writeln!(
            text,
            "| {} | {} | {} {} | {limit} | {} | {} |",
            row.what,
            row.formula,
            number(row.value),
            row.unit,
            row.verdict(),
            row.carried_by
        );
    }
    text.push('\n');
}

fn message(figures: &Figures, kind: &str) -> f64 {
    figures.message_bytes.iter().find(|(name, _)| name == kind).map_or(0.0, |(_, bytes)| *bytes)
}

fn side_rows(figures: &Figures) -> Vec<Row> {
    let bytes = figures.side_bytes_per_second_by_entries.slope;
    let processor = figures.processor_ms_by_sides.slope;
    let events = sizes::JOBS_A_DAY * 9.0 / sizes::SIDES / sizes::DAY * 2.0;
    vec![
        Row {
            what: "bytes sent, idle".into(),
            formula: format!("{bytes:.0} B/s for an entry x {ENTRIES_OF_A_SIDE} entries"),
            value: bytes * ENTRIES_OF_A_SIDE,
            unit: "B/s",
            limit: Some(sizes::BYTES_A_SECOND),
            carried_by: "load reports, to a subset of the entries",
        },
        Row {
            what: "bytes of events".into(),
            formula: format!(
                "{:.0} B x {events:.5} events/s (2 for each of 9 tasks of a job)",
                message(figures, "events")
            ),
            value: message(figures, "events") * events,
            unit: "B/s",
            limit: Some(sizes::BYTES_A_SECOND),
            carried_by: "time line, in batches to one entry",
        },
        Row {
            what: "processor time, idle".into(),
            formula: format!("{processor:.2} ms/s for a process"),
            value: processor / 10.0,
            unit: "% of a core",
            limit: Some(sizes::CORE_PERCENT),
            carried_by: "one task, 20 ticks a second",
        },
        Row {
            what: "memory".into(),
            formula: format!(
                "{} B of an empty process + {} B for its state",
                number(figures.base_memory),
                number(figures.memory_by_sides.slope.max(0.0))
            ),
            value: figures.base_memory + figures.memory_by_sides.slope.max(0.0),
            unit: "B",
            limit: Some(sizes::MEMORY),
            carried_by: "register: slots, attempts until their entry has settled them",
        },
    ]
}

fn entry_rows(figures: &Figures) -> Vec<Row> {
    let sides = sizes::SIDES * ENTRIES_OF_A_SIDE / ENTRIES;
    let load = message(figures, "load");
    let renewals = sizes::WORKERS * RENEWALS_A_SECOND / ENTRIES;
    let changes = sizes::JOBS_A_DAY * 9.0 * 4.0 / sizes::DAY;
    let planner = figures.planner_memory_by_workers.at(sizes::WORKERS);
    let tick = figures.tick_us_by_tasks.points.iter().map(|p| p.1).fold(0.0, f64::max);
    let polls = WORKER_POLLS + LOG_POLLS + BOX_POLLS;
    let edits = sizes::CHANGES_A_DAY / sizes::DAY;
    let requests = sizes::JOBS_A_DAY / sizes::DAY / ENTRIES;
    vec![
        Row {
            what: "load reports received".into(),
            formula: format!("{load:.0} B x {REPORTS_A_SECOND}/s x {sides:.0} side processes"),
            value: load * REPORTS_A_SECOND * sides,
            unit: "B/s",
            limit: Some(sizes::BYTES_A_SECOND),
            carried_by: "subset by rendezvous hashing",
        },
        Row {
            what: "lease renewals".into(),
            formula: format!("{CALL_BYTES} B x {renewals:.0}/s (one call for each worker)"),
            value: CALL_BYTES * renewals,
            unit: "B/s",
            limit: Some(sizes::BYTES_A_SECOND),
            carried_by: "batch for each worker",
        },
        Row {
            what: "polls of the platform, nothing new".into(),
            formula: format!("{CALL_BYTES} B x {polls}/s (workers, log, boxes)"),
            value: CALL_BYTES * polls,
            unit: "B/s",
            limit: Some(sizes::BYTES_A_SECOND),
            carried_by: "revisions and offsets: only changes travel",
        },
        Row {
            what: "changes of workers".into(),
            formula: format!("{REPORT_BYTES} B x {changes:.2}/s (4 for each of 9 tasks of a job)"),
            value: REPORT_BYTES * changes,
            unit: "B/s",
            limit: Some(sizes::BYTES_A_SECOND),
            carried_by: "list since a revision",
        },
        Row {
            what: "table edits".into(),
            formula: format!("{:.0} B x {edits:.3}/s", figures.edit_bytes),
            value: figures.edit_bytes * edits,
            unit: "B/s",
            limit: Some(sizes::BYTES_A_SECOND),
            carried_by: "row changes in the log",
        },
        Row {
            what: "state of the planner".into(),
            formula: line(&figures.planner_memory_by_workers, "workers", sizes::WORKERS),
            value: planner,
            unit: "B",
            limit: Some(32.0 * 1024.0 * 1024.0),
            carried_by: "tables of workers, gangs, jobs",
        },
        Row {
            what: "memory of 1000 waiting requests".into(),
            formula: format!("{} B x 1000", number(figures.memory_by_requests.slope)),
            value: figures.memory_by_requests.slope * 1_000.0,
            unit: "B",
            limit: Some(sizes::MEMORY),
            carried_by: "records and connections (caller's side included)",
        },
        Row {
            what: "one tick with 100 events, worst size".into(),
            formula: format!("{tick:.0} us, the highest of three sizes"),
            value: tick,
            unit: "us",
            limit: Some(5_000.0),
            carried_by: "scan of demands, not of jobs",
        },
        Row {
            what: "one tick without events, 10000 jobs queued".into(),
            formula: line(&figures.idle_tick_us_by_jobs, "jobs", 10_000.0),
            value: figures.idle_tick_us_by_jobs.at(10_000.0),
            unit: "us",
            limit: Some(5_000.0),
            carried_by: "nothing is scanned unless something changed",
        },
        Row {
            what: "placing a gang of 256".into(),
            formula: line(&figures.place_256_us_by_workers, "workers", sizes::WORKERS),
            value: figures.place_256_us_by_workers.at(sizes::WORKERS),
            unit: "us",
            limit: Some(1_000.0),
            carried_by: "search by failure domain",
        },
        Row {
            what: "processor time, idle, with the platform's stand-ins".into(),
            formula: format!(
                "{:.1} ms/s + {:.2} ms/s x {sides:.0} side processes' reports, as upper bound",
                figures.processor_ms_by_sides.intercept, figures.processor_ms_by_sides.slope
            ),
            value: (figures.processor_ms_by_sides.intercept
                + figures.processor_ms_by_sides.slope * sides)
                / 10.0,
            unit: "% of a core",
            limit: Some(sizes::CORE_PERCENT),
            carried_by: "polls, ticks, reports; the slope holds the side processes' own work too",
        },
        Row {
            what: "processor time for requests".into(),
            formula: format!(
                "{:.0} us x {requests:.4}/s (with stand-ins and callers)",
                figures.request_processor_us
            ),
            value: figures.request_processor_us * requests / 1e4,
            unit: "% of a core",
            limit: Some(sizes::CORE_PERCENT),
            carried_by: "dispatcher",
        },
    ]
}

fn line(line: &Line, unit: &str, size: f64) -> String {
    format!(
        "{} + {} x {size:.0} {unit} (residue {:.0}%)",
        number(line.intercept),
        number(line.slope),
        line.residue * 100.0
    )
}

fn platform_rows(figures: &Figures) -> Vec<Row> {
    let edits = sizes::CHANGES_A_DAY / sizes::DAY;
    let claims = sizes::JOBS_A_DAY / sizes::DAY;
    let reads = LOG_POLLS * ENTRIES;
    vec![
        Row {
            what: "appends to the log".into(),
            formula: format!("{edits:.3}/s edits + {claims:.3}/s claims and as many releases"),
            value: edits + 2.0 * claims,
            unit: "/s",
            limit: Some(100.0),
            carried_by: "claims of 4 ms share one append",
        },
        Row {
            what: "reads of the log".into(),
            formula: format!("{LOG_POLLS}/s x {ENTRIES} entries"),
            value: reads,
            unit: "/s",
            limit: None,
            carried_by: "polls from an offset",
        },
        Row {
            what: "calls of the workers for renewal".into(),
            formula: format!("{} workers x {RENEWALS_A_SECOND}/s", sizes::WORKERS),
            value: sizes::WORKERS * RENEWALS_A_SECOND,
            unit: "/s",
            limit: None,
            carried_by: "one call for each worker",
        },
        Row {
            what: "list of boxes, one read".into(),
            formula: format!("{BOX_ROW_BYTES} B x {} rows", sizes::SIDES + ENTRIES),
            value: BOX_ROW_BYTES * (sizes::SIDES + ENTRIES),
            unit: "B",
            limit: None,
            carried_by: "read whole, twice a second by each entry: see below",
        },
        Row {
            what: "processor time of folding edits".into(),
            formula: format!("{:.1} us x {edits:.3}/s", figures.fold_edit_us),
            value: figures.fold_edit_us * edits / 1e4,
            unit: "% of a core",
            limit: Some(sizes::CORE_PERCENT),
            carried_by: "fold of one record",
        },
    ]
}

/// Steps of an urgent start, in milliseconds, with where each figure comes from.
const URGENT_STEPS: [(&str, f64, &str); 7] = [
    ("arrival to the planner's decision", 25.0, "one tick of the planner at most"),
    ("asking the workers to stop", 8.0, "a round trip between regions, assumed"),
    ("a worker stops the task", 500.0, "the users' bound"),
    ("seeing that it stopped", 50.0, "one poll of the workers at most"),
    ("hold, look again, commit, open", 32.0, "four round trips of 8 ms, assumed"),
    ("dispatch to the side process", 5.0, "loopback p99 of the path, rounded up"),
    ("a checkpoint, where the victim is checkpointed", 1_000.0, "the users' bound"),
];

fn urgent(text: &mut String) {
    text.push_str("## Urgent work within 1.5 s\n\n| step | ms | source |\n| --- | --- | --- |\n");
    for (step, ms, source) in URGENT_STEPS {
        let _ = writeln!(text, "| {step} | {ms:.0} | {source} |");
    }
    let all: f64 = URGENT_STEPS.iter().map(|(_, ms, _)| ms).sum();
    let without: f64 = all - URGENT_STEPS[6].1;
    let verdict = |ms: f64| if ms <= sizes::URGENT_MS { "holds" } else { "**does not hold**" };
    let _ = writeln!(
        text,
        "\nWith a victim that is stopped: {without:.0} ms, {}. With a victim that is checkpointed \
         first, at the bounds: {all:.0} ms, {}. What would help: for urgent work, ask the worker to \
         checkpoint and stop within one bound, or stop repeatable victims without a checkpoint.\n",
        verdict(without),
        verdict(all)
    );
}

fn in_force(text: &mut String, figures: &Figures) {
    let poll = 1_000.0 / (LOG_POLLS / 2.0);
    let total = poll + 2.0 * 8.0 + figures.fold_edit_us / 1_000.0 + 25.0;
    let verdict = if total <= sizes::IN_FORCE_MS { "holds" } else { "**does not hold**" };
    let _ = writeln!(
        text,
        "## A change of configuration in force everywhere\n\nEvery entry reads the log itself, so \
         there is no fan-out to wait for: one poll ({poll:.0} ms) + two round trips of 8 ms \
         (assumed) + {:.1} us to fold it + one tick (25 ms) = {total:.0} ms against 13000 ms: \
         {verdict}. Side processes hold no table. While the log is down an entry takes the highest \
         version that its peers hold, within two polls.\n",
        figures.fold_edit_us
    );
}

fn peaks(text: &mut String, figures: &Figures) {
    let tasks_a_worker = sizes::TASKS / sizes::WORKERS;
    let domain = sizes::WORKERS / sizes::FAILURE_DOMAINS;
    let snapshot = 512.0 * figures.edit_bytes;
    let list = REPORT_BYTES * sizes::WORKERS;
    let place = figures.place_256_us_by_workers.at(sizes::WORKERS);
    let _ = writeln!(
        text,
        "## Peaks\n\n\
         | event | what it brings | by |\n| --- | --- | --- |\n\
         | a box fails ({:.0} a day) | {tasks_a_worker:.1} tasks lose their gang | the next poll of the workers |\n\
         | a rack goes | {:.0} tasks at once, each gang placed anew in at most {place:.0} us | the same |\n\
         | a failure domain goes | {:.0} tasks of {domain:.0} workers; {} B of reports to each entry | the same; at most 256 starts a tick |\n\
         | {:.0} boxes restarted a day | one in {:.0} s; each is a hello ({:.0} B) and a load report | list of boxes |\n\
         | a region is cut off for an hour | leases whose entry is on the other side lapse after 3 s and their gangs stop; entries place by failure domain first, which keeps that to gangs that found no room at home | **does not hold as wished**: renewal from beside the work would keep them running |\n\
         | everything restarts at once | each entry reads {} B of the log and {} B of workers' reports; with {ENTRIES} entries {} B from the workers | read once, then changes only |\n",
        sizes::FAILURES_A_DAY,
        tasks_a_worker * 3.0,
        tasks_a_worker * domain,
        number(domain * REPORT_BYTES),
        sizes::RESTARTS_A_DAY,
        sizes::DAY / sizes::RESTARTS_A_DAY,
        message(figures, "hello"),
        number(snapshot),
        number(list),
        number(list * ENTRIES),
    );
}

/// Writes the page.
#[must_use]
pub fn write(figures: &Figures) -> String {
    let mut text = String::from(
        "# Capacity at the size of two years from now\n\n\
         This page is written by `cargo run --release -p rampbay-capacity -- page` from the figures \
         in `docs/measurements/capacity.json`; a test holds it to them. The figures come from \
         `cargo run --release -p rampbay-capacity -- measure` over the real code, with small \
         stand-ins in one process on loopback. A straight line is fitted to three sizes; its \
         residue is the largest distance of a point from the line, as a share of the largest \
         value. Where the residue is large the line is not to be trusted, and says so.\n\n\
         It covers the programs of the product's own interface. The programs on the users' platform \
         are in `docs/measurements/platform.md`.\n\n\
         Sizes: 2500 workers and as many side processes, 24000 tasks, 2800 jobs and 8100 changes a \
         day, 130 teams, 4 regions with 9 failure domains. For control a daemon may spend 2.7% of a \
         core, 128 MB and 3 KB/s.\n\n",
    );
    let _ = writeln!(
        text,
        "**Count of entries: {ENTRIES}**, two in each failure domain, so that one may go. No \
         measured line asks for more: the requests of a day would fit into one. Each side process \
         reports to {ENTRIES_OF_A_SIDE} of them (`limits.upstreams` = {:.0}).\n\nMeasured on a \
         machine with {} processors.\n\n## Side process\n",
        sizes::SIDES * ENTRIES_OF_A_SIDE / ENTRIES,
        figures.processors
    );
    table(&mut text, &side_rows(figures));
    text.push_str("## Entry\n\n");
    table(&mut text, &entry_rows(figures));
    text.push_str("## Load on the platform\n\n");
    table(&mut text, &platform_rows(figures));
    urgent(&mut text);
    in_force(&mut text, figures);
    peaks(&mut text, figures);
    text.push_str(MEND);
    text
}

/// What would carry the lines that don't hold.
const MEND: &str = "## What does not hold today, and what would carry it\n\n\
    - **Load reports to an entry.** An unchanged load is reported twice a second. Reports only on \
    change, with a heartbeat that grows with the number of side processes (8 s at this size), bring \
    it under the limit: 2.7 jobs a second would be needed before changes dominate, and there are \
    0.03.\n\
    - **Renewals by entries.** One call a second for each worker is too many for 18 entries at \
    3 KB/s. Renewal belongs beside the work: the side process on the worker's box renews the leases \
    of its box in one local call, and the entry only tells it which tokens it wants kept. That also \
    keeps gangs running while a region is cut off. Until then a longer `times.lease_ms` (60 s \
    brings one call in 20 s) trades bytes for the time that a lost entry's gangs keep devices.\n\
    - **Polls of the platform.** 32 polls a second with nothing new cost more than 3 KB/s. \
    `times.workers_poll_ms` = 500 and `times.log_poll_ms` = 2000 bring them to 4 a second and still \
    meet 1.5 s and 13 s; a long poll would be better, where the platform has one.\n\
    - **Changes of workers.** A report carries all leases of a worker as JSON. Sending the changed \
    lease alone divides that by ten.\n\
    - **The list of boxes** is read whole. It needs a revision, as the workers have, or a poll every \
    30 s beside what processes say of themselves.\n\
    - **Processor time of an entry** is an upper bound from a slope that holds the side processes' \
    own work; fewer reports bring it down with the bytes.\n";
