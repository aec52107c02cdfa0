//! The side process.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use rampbay_node::{logs, settings};
use rampbay_side::{settings::SideSettings, side::Side};

/// Runs the process beside one upstream.
#[derive(FromArgs)]
struct Args {
    /// settings file in JSON
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and end
    #[argh(switch)]
    check: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match settings::for_daemon(&args.settings, args.check) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    run(settings).await.unwrap_or_else(|e| {
        eprintln!("{e}");
        ExitCode::FAILURE
    })
}

async fn run(settings: SideSettings) -> Result<ExitCode, Box<dyn std::error::Error>> {
    logs::start(&settings.id, &settings.log_level)?;
    let mut side = Side::start(settings).await?;
    println!("{{\"mailbox\":\"{}\",\"http\":\"{}\"}}", side.mailbox(), side.http());
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => side.drain().await,
        _ = tokio::signal::ctrl_c() => side.drain().await,
        () = side.wait() => {}
    }
    Ok(ExitCode::SUCCESS)
}
