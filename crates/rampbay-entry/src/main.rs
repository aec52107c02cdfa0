//! The entry process.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use argh::FromArgs;
use rampbay_entry::{entry::Entry, settings::EntrySettings};
use rampbay_node::{logs, settings};

/// Longest wait for requests in progress at a planned stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);

/// Runs an entry of rampbay.
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

async fn run(settings: EntrySettings) -> Result<ExitCode, Box<dyn std::error::Error>> {
    logs::start(&settings.id, &settings.log_level)?;
    let entry = Entry::start(settings).await?;
    println!(
        "{{\"callers\":\"{}\",\"operators\":\"{}\",\"mailbox\":\"{}\"}}",
        entry.callers(),
        entry.operators(),
        entry.mailbox()
    );
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
        () = entry.asked_to_stop() => {}
    }
    entry.drain(DRAIN_TIMEOUT).await;
    Ok(ExitCode::SUCCESS)
}
