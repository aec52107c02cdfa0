//! The platform's stand-ins and some upstreams, in one process.

use std::{io, net::SocketAddr, process::ExitCode, sync::Arc, time::Duration};

use argh::FromArgs;
use rampbay_node::serve::HttpServer;
use rampbay_platform::log::Log;
use rampbay_standin::{
    boxes::BoxesModel,
    http::{Platform, serve_platform, serve_upstream},
    log::LogModel,
    settings::{Site, UPSTREAMS},
    upstream::UpstreamModel,
    workers::WorkersModel,
};
use rampbay_table::record::{Edit, Record};

/// Runs stand-ins for the platform's log, list of boxes and workers, and for upstreams.
#[derive(FromArgs)]
struct Args {
    /// address of the platform's stand-ins (default 127.0.0.1:7100)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7100))")]
    platform: SocketAddr,
    /// port of the first upstream; the others follow (default 7200)
    #[argh(option, default = "7200")]
    upstream_port: u16,
    /// number of upstreams (default 10)
    #[argh(option, default = "UPSTREAMS")]
    upstreams: usize,
    /// take the Verbund's sizes in place of Stockline's
    #[argh(switch)]
    verbund: bool,
    /// lag of the list of boxes in milliseconds (default 1000)
    #[argh(option, default = "1000")]
    lag_ms: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> io::Result<()> {
    let site = if args.verbund { Site::verbund() } else { Site::stockline() };
    let platform = Platform {
        log: Arc::new(LogModel::default()),
        boxes: Arc::new(BoxesModel::new(Duration::from_millis(args.lag_ms))),
        workers: Arc::new(WorkersModel::new(site.workers())),
    };
    let mut edit = Edit::new("initial", "standin");
    for (workspace, knobs) in &site.workspaces {
        edit = edit.set(workspace.clone(), 0, knobs.clone());
    }
    let record = Record::Edit(edit).encode();
    platform.log.append("table", record).await.map_err(io::Error::other)?;
    let serving = serve_platform(args.platform, platform).await?;
    println!("platform ({}) at {}", site.name, serving.addr());
    let mut upstreams: Vec<HttpServer> = Vec::new();
    for at in 0..args.upstreams {
        let port = args.upstream_port + u16::try_from(at).unwrap_or(0);
        let addr = SocketAddr::new(args.platform.ip(), port);
        upstreams.push(serve_upstream(addr, Arc::new(UpstreamModel::default())).await?);
        println!("upstream {at} ({}) at {addr}", site.domain(at));
    }
    tokio::signal::ctrl_c().await
}
