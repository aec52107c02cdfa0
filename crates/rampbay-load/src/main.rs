//! The load tool.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use argh::FromArgs;
use rampbay_load::run::{Plan, run};

/// Sends open-loop load to entries, and checks every answer byte for byte.
#[derive(FromArgs)]
struct Args {
    /// address of an entry's callers' interface; may be given several times
    #[argh(option)]
    target: Vec<SocketAddr>,
    /// the targets are upstreams: send straight to them
    #[argh(switch)]
    direct: bool,
    /// requests a second (default 100)
    #[argh(option, default = "100.0")]
    rate: f64,
    /// requests in all (default 1000)
    #[argh(option, default = "1000")]
    count: u64,
    /// longest duration of the run in seconds (default 60)
    #[argh(option, default = "60")]
    seconds: u64,
    /// workspace and its share, as NAME=SHARE; may be given several times
    #[argh(option)]
    workspace: Vec<String>,
    /// mean time of the work in milliseconds (default 20)
    #[argh(option, default = "20")]
    work_ms: u64,
    /// draw the work's time from an exponential distribution
    #[argh(switch)]
    exponential: bool,
    /// bytes of each body (default 256)
    #[argh(option, default = "256")]
    body_bytes: usize,
    /// share of requests with a gang, 0 to 1 (default 0)
    #[argh(option, default = "0.0")]
    gangs: f64,
    /// share of urgent requests, 0 to 1 (default 0)
    #[argh(option, default = "0.0")]
    urgent: f64,
    /// share of requests that must run at most once, 0 to 1 (default 0)
    #[argh(option, default = "0.0")]
    once: f64,
    /// deadline of each request in milliseconds (default 30000)
    #[argh(option, default = "30000")]
    deadline_ms: u64,
    /// seed of everything that is drawn (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// prefix of each id (default load)
    #[argh(option, default = "String::from(\"load\")")]
    prefix: String,
    /// a caller's key
    #[argh(option)]
    key: Option<String>,
    /// write the result as JSON
    #[argh(switch)]
    json: bool,
}

fn workspaces(texts: &[String]) -> Vec<(String, f64)> {
    if texts.is_empty() {
        return Plan::default().workspaces;
    }
    texts
        .iter()
        .map(|text| match text.split_once('=') {
            Some((name, share)) => (name.to_owned(), share.parse().unwrap_or(1.0)),
            None => (text.clone(), 1.0),
        })
        .collect()
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if args.target.is_empty() {
        eprintln!("name at least one --target");
        return ExitCode::from(2);
    }
    let plan = Plan {
        targets: args.target,
        direct: args.direct,
        rate: args.rate.max(0.01),
        count: args.count,
        max_duration: Duration::from_secs(args.seconds),
        workspaces: workspaces(&args.workspace),
        work: Duration::from_millis(args.work_ms),
        exponential: args.exponential,
        body_bytes: args.body_bytes,
        gangs: args.gangs,
        urgent: args.urgent,
        once: args.once,
        deadline: Duration::from_millis(args.deadline_ms),
        seed: args.seed,
        prefix: args.prefix,
        key: args.key,
        ..Plan::default()
    };
    let report = run(&plan, |_| {}).await;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        print!("{}", report.to_text());
    }
    if report.wrong_answers == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
