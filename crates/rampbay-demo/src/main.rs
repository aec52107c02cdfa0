//! The demo: runs a site on loopback under load and checks the results against the stand-ins.

use std::{process::ExitCode, time::Duration};

use argh::FromArgs;
use comfy_table::Table;
use indicatif::{ProgressBar, ProgressStyle};
use rampbay_core::ids::ProcessId;
use rampbay_demo::site::{RunningSite, SiteError, SiteOptions};
use rampbay_load::{
    report::Report,
    run::{Plan, run},
};
use rampbay_node::logs;
use rampbay_standin::settings::Site;

/// Runs a whole site in one process on loopback, and shows what it does under load.
#[derive(FromArgs)]
struct Args {
    /// take the Verbund's sizes in place of Stockline's
    #[argh(switch)]
    verbund: bool,
    /// requests (default 3000)
    #[argh(option, default = "3000")]
    count: u64,
    /// requests a second (default 300)
    #[argh(option, default = "300.0")]
    rate: f64,
    /// compare requests through rampbay with requests straight to the upstreams, at 10, 50, 90 and
    /// 120 % of the slots
    #[argh(switch)]
    measure: bool,
    /// level of the logs (default error)
    #[argh(option, default = "String::from(\"error\")")]
    log_level: String,
}

/// Longest duration of the load.
const MAX_DURATION: Duration = Duration::from_secs(40);
const WORK: Duration = Duration::from_millis(50);

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match demo(&args).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

async fn demo(args: &Args) -> Result<bool, SiteError> {
    logs::start(&ProcessId::from("demo"), &args.log_level)?;
    let sizes = if args.verbund { Site::verbund() } else { Site::stockline() };
    println!("rampbay demo, {}'s sizes: 3 entries, 10 upstreams, 10 workers", sizes.name);
    let site = RunningSite::start(SiteOptions::new(sizes)).await?;
    if args.measure {
        return Ok(measure(&site).await);
    }
    let plan = Plan {
        targets: site.callers(),
        rate: args.rate,
        count: args.count,
        max_duration: MAX_DURATION,
        workspaces: site.workspaces().iter().map(|(name, _)| (name.to_string(), 1.0)).collect(),
        work: WORK,
        exponential: true,
        gangs: 0.2,
        urgent: 0.05,
        once: 0.1,
        prefix: "demo".to_owned(),
        ..Plan::default()
    };
    let bar = ProgressBar::new(args.count);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} requests, {eta} left");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let report = run(&plan, |sent| bar.set_position(sent)).await;
    bar.finish_and_clear();
    print!("{}", report.to_text());
    print_free_devices(&site).await;
    Ok(check_against_stand_ins(&site, &report))
}

/// Time of the work in measurements: a hundred times the time that the path itself takes.
const MEASURED_WORK: Duration = Duration::from_millis(100);
/// Duration of each measured load, in seconds.
const MEASURED_SECONDS: f64 = 10.0;

/// Compares requests through rampbay with requests straight to the upstreams.
async fn measure(site: &RunningSite) -> bool {
    let capacity = f64::from(site.slots()) / MEASURED_WORK.as_secs_f64();
    let workspaces: Vec<(String, f64)> =
        site.workspaces().iter().map(|(name, _)| (name.to_string(), 1.0)).collect();
    let mut table = Table::new();
    table.set_header([
        "load %",
        "way",
        "sent",
        "answered",
        "not_run",
        "other",
        "p50 ms",
        "p99 ms",
        "answers/s",
    ]);
    let mut good = true;
    for percent in [10.0, 50.0, 90.0, 120.0] {
        let rate = capacity * percent / 100.0;
        let plan = Plan {
            rate,
            count: (rate * MEASURED_SECONDS) as u64,
            workspaces: workspaces.clone(),
            work: MEASURED_WORK,
            deadline: Duration::from_secs(3),
            ..Plan::default()
        };
        let direct = Plan {
            targets: site.upstreams.iter().map(|upstream| upstream.addr).collect(),
            direct: true,
            prefix: format!("direct-{percent}"),
            ..plan.clone()
        };
        let through =
            Plan { targets: site.callers(), prefix: format!("through-{percent}"), ..plan };
        for (way, plan) in [("straight", direct), ("through", through)] {
            let report = run(&plan, |_| {}).await;
            let (answered, not_run) = (report.outcome("answered"), report.outcome("not_run"));
            let starts = site.starts();
            good &= report.wrong_answers == 0;
            good &= report.not_run.iter().all(|id| !starts.contains_key(id));
            table.add_row([
                format!("{percent}"),
                way.to_owned(),
                report.sent.to_string(),
                answered.to_string(),
                not_run.to_string(),
                (report.sent - answered - not_run).to_string(),
                format!("{:.2}", report.all.p50_ms),
                format!("{:.2}", report.all.p99_ms),
                format!("{:.0}", report.answers_per_second),
            ]);
        }
    }
    println!("capacity {capacity:.0} requests/s: {} slots, 100 ms of work each", site.slots());
    println!("{table}");
    good
}

/// Prints the devices that the planner left free, and the guarantees that it can't meet.
async fn print_free_devices(site: &RunningSite) {
    let Some(entry) = site.entries.iter().flatten().next() else {
        return;
    };
    let view = entry.parts().gangs.ask(rampbay_entry::gangs::Input::View).await;
    if let Some(view) = view {
        println!(
            "devices: {} of {} free, guarantees short of {}",
            view.free, view.devices, view.short
        );
    }
}

/// Checks the run against the stand-ins' own records.
fn check_against_stand_ins(site: &RunningSite, report: &Report) -> bool {
    let starts = site.starts();
    let workers = site.platform.workers.record();
    let ran_though_refused = report.not_run.iter().filter(|id| starts.contains_key(*id)).count();
    let lost = report.answered.iter().filter(|id| !starts.contains_key(*id)).count();
    let most_busy = site.upstreams.iter().map(|u| u.model.record().most_busy).max().unwrap_or(0);
    let checks = [
        ("answers incomplete or of another request", report.wrong_answers, 0),
        ("requests without an answer", report.outcome("no_answer"), 0),
        ("refused as not run, but started", ran_though_refused as u64, 0),
        ("answered, but never started", lost as u64, 0),
        ("gates opened before the whole gang was committed", workers.opened_in_part, 0),
        ("most requests at once at one upstream", most_busy.into(), 8),
    ];
    let mut table = Table::new();
    table.set_header(["checked by the stand-ins' records", "seen", "allowed"]);
    let mut good = true;
    for (what, seen, allowed) in checks {
        good &= seen <= allowed;
        table.add_row([what.to_owned(), seen.to_string(), format!("{allowed} at most")]);
    }
    println!("{table}");
    println!("gangs started: {}", workers.opened);
    good
}
