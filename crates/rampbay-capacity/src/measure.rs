//! The measurements.

use std::time::{Duration, Instant};

use bytes::Bytes;
use rampbay_core::{
    job::{Adjacency, GangSpec, JobSpec},
    knobs::Knobs,
    plan::{Command, Planner},
    topology::WorkerSpec,
};
use rampbay_demo::site::{RunningSite, SiteOptions};
use rampbay_dispatch::message::{
    Accepted, Answer, AttemptId, AttemptResult, Dispatch, Load, Reply,
};
use rampbay_load::run::{Plan, run};
use rampbay_standin::settings::Site;
use rampbay_table::{
    record::{Edit, Record},
    state::TableState,
};
use rampbay_wire::{
    clock::Stamp,
    envelope::{Envelope, Message},
    event::{Code, Event},
};
use serde::{Deserialize, Serialize};

use crate::{
    fit::Line,
    usage::{memory, processor_time},
};

/// Everything that was measured.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Processors of the machine.
    pub processors: usize,
    /// Memory of this process before anything was measured, in bytes.
    pub base_memory: f64,
    /// Bytes of one message of each kind, with its envelope, without an opaque body.
    pub message_bytes: Vec<(String, f64)>,
    /// Memory of the planner by workers, in bytes, at ten tasks a worker.
    pub planner_memory_by_workers: Line,
    /// Time of one tick with 100 events by running tasks, in microseconds.
    pub tick_us_by_tasks: Line,
    /// Time of one tick without events by queued jobs, in microseconds.
    pub idle_tick_us_by_jobs: Line,
    /// Time of placing one gang of 256 by workers, in microseconds.
    pub place_256_us_by_workers: Line,
    /// Memory of a site by side processes, in bytes.
    pub memory_by_sides: Line,
    /// Bytes a second that one idle side process sends, by entries that it reports to.
    pub side_bytes_per_second_by_entries: Line,
    /// Processor time of an idle site by side processes, in milliseconds a second.
    pub processor_ms_by_sides: Line,
    /// Memory of an entry by waiting requests of 256 bytes, in bytes.
    pub memory_by_requests: Line,
    /// Processor time for one request through the whole path and its stand-ins, in microseconds.
    pub request_processor_us: f64,
    /// Bytes of one table edit in the log.
    pub edit_bytes: f64,
    /// Time of folding one table edit, in microseconds.
    pub fold_edit_us: f64,
    /// Time of recording one event when nobody looks, in nanoseconds.
    pub event_ns: f64,
}

/// Runs every measurement.
///
/// # Errors
///
/// Returns an error if a site can't start.
pub async fn all() -> Result<Figures, String> {
    let base_memory = memory() as f64;
    let planner_memory_by_workers = planner_memory();
    // First, while the allocator holds no memory of earlier measurements.
    let (memory_by_sides, processor_ms_by_sides) = sides().await?;
    let figures = Figures {
        processors: std::thread::available_parallelism().map_or(1, usize::from),
        base_memory,
        message_bytes: message_bytes(),
        planner_memory_by_workers,
        tick_us_by_tasks: tick_time(),
        idle_tick_us_by_jobs: idle_tick_time(),
        place_256_us_by_workers: place_256(),
        memory_by_sides,
        side_bytes_per_second_by_entries: side_bytes().await?,
        processor_ms_by_sides,
        memory_by_requests: memory_by_requests().await?,
        request_processor_us: request_processor().await?,
        edit_bytes: Record::Edit(edit(1)).encode().len() as f64,
        fold_edit_us: fold_edit(),
        event_ns: event_cost(),
    };
    Ok(figures)
}

fn fleet(workers: usize) -> Planner {
    let mut planner = Planner::new(1);
    for at in 0..workers {
        let rack = at / 3;
        let domain = rack * 9 / workers.div_ceil(3).max(1);
        let region = domain * 4 / 9;
        planner.add_worker(WorkerSpec::new(
            &format!("w{at}"),
            &format!("r{rack}"),
            &format!("d{domain}"),
            &format!("g{region}"),
            8,
        ));
    }
    // 130 teams, each guaranteed one worker where the fleet has enough.
    for at in 0..130.min(workers) {
        let guarantee = "1 worker".parse().unwrap_or_default();
        planner.set_workspace(format!("team-{at}"), Knobs::default().guarantee(guarantee));
    }
    planner
}

fn carry_out(planner: &mut Planner, now: Duration) {
    loop {
        let commands = planner.tick(now);
        if commands.is_empty() {
            return;
        }
        for command in commands {
            if let Command::Start { job, .. } = command {
                planner.started(&job, now);
            }
        }
    }
}

/// Fills a fleet with gangs of 4 tasks until `tasks` run.
fn filled(workers: usize, tasks: usize) -> Planner {
    const GANG: usize = 4;
    let mut planner = fleet(workers);
    let teams = 130.min(workers);
    let now = Duration::from_secs(1_000);
    for at in 0..tasks / GANG {
        let spec = JobSpec::new(format!("job-{at}"), format!("team-{}", at % teams));
        let _ = planner.submit(spec.gang(GangSpec::new(4)), now);
        if at % 200 == 0 {
            carry_out(&mut planner, now);
        }
    }
    carry_out(&mut planner, now);
    planner
}

fn planner_memory() -> Line {
    let points = [250, 1_000, 2_500].map(|workers| {
        let before = memory();
        let planner = filled(workers, workers * 10 / 4 * 4);
        let used = memory().saturating_sub(before);
        // Kept, so that the next size can't use its memory again.
        std::mem::forget(planner);
        (workers as f64, used as f64)
    });
    Line::fit(points.to_vec())
}

fn tick_time() -> Line {
    let points = [800, 8_000, 16_000].map(|tasks| {
        let mut planner = filled(2_500, tasks);
        let now = Duration::from_secs(2_000);
        let mut times: Vec<f64> = (0..15)
            .map(|round| {
                // 50 gangs end and 50 arrive.
                for at in 0..50 {
                    planner.finished(&format!("job-{}", round * 50 + at), now);
                    let spec = JobSpec::new(format!("new-{round}-{at}"), format!("team-{at}"));
                    let _ = planner.submit(spec.gang(GangSpec::new(4)), now);
                }
                let started = Instant::now();
                let commands = planner.tick(now);
                let took = started.elapsed().as_secs_f64() * 1e6;
                for command in commands {
                    if let Command::Start { job, .. } = command {
                        planner.started(&job, now);
                    }
                }
                took
            })
            .collect();
        times.sort_by(f64::total_cmp);
        (tasks as f64, times[times.len() / 2])
    });
    Line::fit(points.to_vec())
}

fn idle_tick_time() -> Line {
    let points = [10, 1_000, 10_000].map(|jobs| {
        let mut planner = filled(300, 2_400);
        let now = Duration::from_secs(2_000);
        for at in 0..jobs {
            let spec = JobSpec::new(format!("waits-{at}"), format!("team-{}", at % 130));
            let _ = planner.submit(spec.gang(GangSpec::new(8)), now);
        }
        carry_out(&mut planner, now);
        const ROUNDS: u32 = 200;
        let started = Instant::now();
        for round in 0..ROUNDS {
            planner.tick(now + Duration::from_micros(round.into()));
        }
        (f64::from(jobs), started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS))
    });
    Line::fit(points.to_vec())
}

fn place_256() -> Line {
    let points = [300, 1_000, 2_500].map(|workers| {
        let mut planner = filled(workers, workers);
        let now = Duration::from_secs(2_000);
        let mut times: Vec<f64> = (0..9)
            .map(|round| {
                let gang = GangSpec::new(256).adjacency(Adjacency::FailureDomain);
                let id = format!("large-{round}");
                let _ = planner.submit(JobSpec::new(id.as_str(), "team-0").gang(gang), now);
                let started = Instant::now();
                let commands = planner.tick(now);
                let took = started.elapsed().as_secs_f64() * 1e6;
                drop(commands);
                planner.finished(&id, now);
                took
            })
            .collect();
        times.sort_by(f64::total_cmp);
        (workers as f64, times[times.len() / 2])
    });
    Line::fit(points.to_vec())
}

fn message_bytes() -> Vec<(String, f64)> {
    let attempt = AttemptId { entry: u64::MAX / 3, number: 1_000_000 };
    let job: rampbay_core::ids::JobId = "forecasts/2027-03-01-kumasi-0042".into();
    let from = u64::MAX / 5;
    let event = Event {
        stamp: Stamp { time: u64::MAX / 7, process: from },
        process: "upstream-1234".into(),
        code: Code::AttemptStarted,
        job: Some(job.clone()),
        workspace: None,
        detail: attempt.to_string(),
    };
    let answer = Answer { status: 200, body: Bytes::new() };
    let dispatch = Dispatch::new(job.clone(), attempt, from, Bytes::new());
    let load = Load { from, slots: 8, used: 4, waiting: 1, leaving: false };
    let reply = Reply { job: job.clone(), attempt, from, result: AttemptResult::Answered(answer) };
    let messages = [
        Message::Hello,
        Message::Load(load),
        Message::Dispatch(Box::new(dispatch)),
        Message::Accepted(Accepted { job, attempt, from }),
        Message::Reply(reply),
        Message::Events(vec![event]),
        Message::TableQuery { have: 100_000 },
    ];
    messages
        .into_iter()
        .map(|message| {
            let kind = message.kind().to_owned();
            let envelope = Envelope {
                from: "upstream-1234".into(),
                incarnation: from,
                reply_to: std::net::SocketAddr::from(([10, 20, 30, 40], 7_300)),
                stamp: Stamp { time: u64::MAX / 7, process: from },
                message,
            };
            (kind, envelope.encode().map_or(0.0, |buf| buf.len() as f64))
        })
        .collect()
}

fn site(sides: usize, entries: usize) -> SiteOptions {
    SiteOptions::new(Site::stockline())
        .entries(entries)
        .upstreams(sides)
        .lag(Duration::from_millis(50))
}

async fn start(options: SiteOptions) -> Result<RunningSite, String> {
    RunningSite::start(options).await.map_err(|e| e.to_string())
}

const WATCH: Duration = Duration::from_secs(6);

async fn sides() -> Result<(Line, Line), String> {
    let mut memories = Vec::new();
    let mut times = Vec::new();
    for count in [20, 60, 180] {
        let before = memory();
        let mut options = site(count, 1);
        options.slots = 8;
        let site = start(options).await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let used = memory().saturating_sub(before);
        let processor = processor_time();
        tokio::time::sleep(WATCH).await;
        let spent = (processor_time() - processor).as_secs_f64() * 1_000.0 / WATCH.as_secs_f64();
        memories.push((count as f64, used as f64));
        times.push((count as f64, spent));
        drop(site);
    }
    Ok((Line::fit(memories), Line::fit(times)))
}

async fn side_bytes() -> Result<Line, String> {
    let mut points = Vec::new();
    for entries in [1, 2, 4] {
        let site = start(site(4, entries)).await?;
        let sent = |site: &RunningSite| -> u64 {
            let sides = site.upstreams.iter().filter_map(|upstream| upstream.side.as_ref());
            let counts = sides.flat_map(|side| side.link_counts().sent());
            counts.map(|(_, _, bytes)| bytes).sum()
        };
        tokio::time::sleep(Duration::from_secs(2)).await;
        let before = sent(&site);
        tokio::time::sleep(WATCH).await;
        let bytes = (sent(&site) - before) as f64;
        points.push((entries as f64, bytes / WATCH.as_secs_f64() / site.upstreams.len() as f64));
    }
    Ok(Line::fit(points))
}

async fn memory_by_requests() -> Result<Line, String> {
    let mut points = Vec::new();
    for count in [500_u64, 2_000, 6_000] {
        let site = start(site(2, 1)).await?;
        let before = memory();
        let plan = Plan {
            targets: site.callers(),
            rate: 4_000.0,
            count,
            workspaces: site.workspaces().iter().map(|(name, _)| (name.to_string(), 1.0)).collect(),
            work: Duration::from_secs(30),
            deadline: Duration::from_secs(7),
            prefix: format!("memory-{count}"),
            ..Plan::default()
        };
        let load = tokio::spawn(async move { run(&plan, |_| {}).await });
        tokio::time::sleep(Duration::from_millis(4_500)).await;
        points.push((count as f64, memory().saturating_sub(before) as f64));
        load.abort();
        drop(site);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    Ok(Line::fit(points))
}

async fn request_processor() -> Result<f64, String> {
    const COUNT: u64 = 6_000;
    let site = start(site(10, 1)).await?;
    let plan = Plan {
        targets: site.callers(),
        rate: 1_500.0,
        count: COUNT,
        workspaces: site.workspaces().iter().map(|(name, _)| (name.to_string(), 1.0)).collect(),
        work: Duration::from_millis(5),
        ..Plan::default()
    };
    let before = processor_time();
    run(&plan, |_| {}).await;
    Ok((processor_time() - before).as_secs_f64() * 1e6 / COUNT as f64)
}

fn edit(at: u64) -> Edit {
    Edit::new(format!("{at:016x}"), "operator").set(
        format!("team-{}", at % 130),
        if at < 130 { 0 } else { at - 130 + 1 },
        Knobs::default().weight(u32::try_from(at % 1_000 + 1).unwrap_or(1)),
    )
}

fn fold_edit() -> f64 {
    const EDITS: u64 = 20_000;
    let records: Vec<Vec<u8>> = (0..EDITS).map(|at| Record::Edit(edit(at)).encode()).collect();
    let mut table = TableState::default();
    let started = Instant::now();
    for (offset, record) in (0..).zip(&records) {
        table.apply(offset, record);
    }
    started.elapsed().as_secs_f64() * 1e6 / EDITS as f64
}

fn event_cost() -> f64 {
    const EVENTS: u32 = 200_000;
    let clock = rampbay_wire::clock::Clock::new(7);
    let timeline = rampbay_wire::event::Timeline::new("entry-0", 10_000);
    let job = "forecasts/2027-03-01-kumasi-0042".into();
    let started = Instant::now();
    for _ in 0..EVENTS {
        timeline.record(&clock, Code::AttemptSent, Some(&job), None, "to upstream-1234");
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(EVENTS)
}
