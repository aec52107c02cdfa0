//! Runs the benchmark of policies and prints its report.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use comfy_table::Table;
use rampbay_policy::{
    baselines::{Baseline, Kind},
    metrics::{Outcome, quantile},
    plot::{Bar, bars, frontier},
    policy::{Policy, Rampbay},
    simulate::simulate,
    workload::{Mix, Workload, WorkloadParams},
};

/// Compares rampbay's planner with baselines in virtual time.
#[derive(FromArgs)]
struct Args {
    /// seeds (default 20)
    #[argh(option, default = "20")]
    seeds: u64,
    /// jobs of each run (default 1500)
    #[argh(option, default = "1500")]
    jobs: usize,
    /// offered load as a share of all devices (default 0.85)
    #[argh(option, default = "0.85")]
    load: f64,
    /// write plots into this folder
    #[argh(option)]
    plots: Option<PathBuf>,
    /// trace the packing knob as well
    #[argh(switch)]
    trace: bool,
    /// only this mix: stockline or verbund
    #[argh(option)]
    mix: Option<String>,
}

type PolicyConstructor = fn(&Workload) -> Box<dyn Policy>;

const POLICIES: [PolicyConstructor; 4] = [
    |w| Box::new(Rampbay::new(&w.workers, &w.workspaces)),
    |w| Box::new(Baseline::new(Kind::FirstInFirstOut, &w.workers, &w.workspaces)),
    |w| Box::new(Baseline::new(Kind::BestFit, &w.workers, &w.workspaces)),
    |w| Box::new(Baseline::new(Kind::StaticPartition, &w.workers, &w.workspaces)),
];

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    for mix in [Mix::Stockline, Mix::Verbund] {
        if args.mix.as_deref().is_some_and(|name| name != mix.name()) {
            continue;
        }
        if let Err(e) = report(&args, mix) {
            eprintln!("{e}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn run(
    args: &Args,
    mix: Mix,
    packing: Option<u32>,
    constructor: PolicyConstructor,
) -> (String, Vec<Outcome>) {
    let runs: Vec<(String, Outcome)> = std::thread::scope(|scope| {
        let tasks: Vec<_> = (1..=args.seeds)
            .map(|seed| {
                let params =
                    WorkloadParams { mix, load: args.load, jobs: args.jobs, seed, packing };
                scope.spawn(move || {
                    let workload = params.generate();
                    let mut policy = constructor(&workload);
                    let outcome = simulate(&workload, &mut *policy);
                    (policy.name().to_owned(), outcome)
                })
            })
            .collect();
        tasks.into_iter().filter_map(|task| task.join().ok()).collect()
    });
    let name = runs.first().map(|(name, _)| name.clone()).unwrap_or_default();
    (name, runs.into_iter().map(|(_, outcome)| outcome).collect())
}

fn bar(name: &str, outcomes: &[Outcome], value: fn(&Outcome) -> f64) -> Bar {
    let values: Vec<f64> = outcomes.iter().map(value).collect();
    Bar {
        name: name.to_owned(),
        low: quantile(&values, 0.0),
        median: quantile(&values, 0.5),
        high: quantile(&values, 1.0),
    }
}

type Measure = (&'static str, fn(&Outcome) -> f64, f64);

/// Name of a measure, its value, and the factor that converts the value to the unit in the name.
const MEASURES: [Measure; 16] = [
    ("completion p50 min", |o| o.completion_p50, 1.0 / 60.0),
    ("completion p99 min", |o| o.completion_p99, 1.0 / 60.0),
    ("slowdown p50", |o| o.slowdown_p50, 1.0),
    ("slowdown p99", |o| o.slowdown_p99, 1.0),
    ("fragmentation 8 %", |o| o.fragmentation[0], 100.0),
    ("fragmentation 16 %", |o| o.fragmentation[1], 100.0),
    ("fragmentation 24 %", |o| o.fragmentation[2], 100.0),
    ("utilization %", |o| o.utilization, 100.0),
    ("reclaim p99 s", |o| o.reclaim_p99, 1.0),
    ("broken guarantees", |o| o.broken, 1.0),
    ("urgent wait p99 s", |o| o.urgent_p99, 1.0),
    ("large wait p99 min", |o| o.large_wait_p99, 1.0 / 60.0),
    ("moves", |o| o.moves, 1.0),
    ("shrinks", |o| o.shrinks, 1.0),
    ("lost device-hours", |o| o.lost_device_hours, 1.0),
    ("unfinished + short", |o| o.unfinished + o.short, 1.0),
];

fn report(args: &Args, mix: Mix) -> Result<(), String> {
    println!("{}: load {}, {} jobs, {} seeds", mix.name(), args.load, args.jobs, args.seeds);
    let runs: Vec<_> =
        POLICIES.iter().map(|constructor| run(args, mix, None, *constructor)).collect();
    let mut table = Table::new();
    let names = runs.iter().map(|(name, _)| format!("{name}: median (low to high)"));
    table.set_header(std::iter::once("measure".to_owned()).chain(names));
    for (measure, value, factor) in MEASURES {
        let cells = runs.iter().map(|(name, outcomes)| {
            let bar = bar(name, outcomes, value);
            let scaled = |value: f64| value * factor;
            let (low, high) = (scaled(bar.low), scaled(bar.high));
            format!("{:.1} ({low:.1} to {high:.1})", scaled(bar.median))
        });
        table.add_row(std::iter::once(measure.to_owned()).chain(cells));
    }
    println!("{table}");
    if let Some(folder) = &args.plots {
        plots(folder, mix, &runs)?;
    }
    if args.trace {
        trace_packing(args, mix)?;
    }
    Ok(())
}

fn plots(
    folder: &std::path::Path,
    mix: Mix,
    runs: &[(String, Vec<Outcome>)],
) -> Result<(), String> {
    let draw = |file: &str, title: &str, unit: &str, value: fn(&Outcome) -> f64| {
        let all: Vec<Bar> =
            runs.iter().map(|(name, outcomes)| bar(name, outcomes, value)).collect();
        let path = folder.join(format!("policy-{}-{file}.svg", mix.name()));
        bars(&path, &format!("{title}, {}", mix.name()), unit, &all)
    };
    draw("completion", "completion time p99", "seconds", |o| o.completion_p99)?;
    draw("fragmentation", "fragmentation for gangs of 16", "share of free devices", |o| {
        o.fragmentation[1]
    })?;
    draw("reclaim", "wait within the guarantee, p99", "seconds", |o| o.reclaim_p99)
}

fn trace_packing(args: &Args, mix: Mix) -> Result<(), String> {
    let mut points = Vec::new();
    for packing in [0, 20, 40, 60, 80, 100] {
        let (_, outcomes) = run(args, mix, Some(packing), POLICIES[0]);
        let completion = bar("", &outcomes, |o| o.completion_p99).median;
        let fragmentation = bar("", &outcomes, |o| o.fragmentation[1]).median;
        println!(
            "packing {packing}: completion p99 {:.1} min, fragmentation 16 {:.1} %",
            completion / 60.0,
            fragmentation * 100.0
        );
        points.push((format!("packing {packing}"), completion / 60.0, fragmentation * 100.0));
    }
    let Some(folder) = &args.plots else { return Ok(()) };
    let path = folder.join(format!("policy-{}-frontier.svg", mix.name()));
    let axes = ("completion time p99, minutes", "fragmentation for gangs of 16, %");
    frontier(&path, &format!("trade-off of the packing knob, {}", mix.name()), &points, axes)
}
