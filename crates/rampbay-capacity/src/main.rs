//! Measures slopes, and writes the capacity page from them.

use std::{fs, path::PathBuf, process::ExitCode};

use argh::FromArgs;
use rampbay_capacity::{measure, page};

/// Measures slopes over the real code, or writes the capacity page from measured figures.
#[derive(FromArgs)]
struct Args {
    /// measure, or page
    #[argh(positional)]
    what: String,
    /// the figures (default docs/measurements/capacity.json)
    #[argh(option, default = "PathBuf::from(\"docs/measurements/capacity.json\")")]
    figures: PathBuf,
    /// the page (default docs/CAPACITY.md)
    #[argh(option, default = "PathBuf::from(\"docs/CAPACITY.md\")")]
    page: PathBuf,
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

async fn run(args: Args) -> Result<(), String> {
    match args.what.as_str() {
        "measure" => {
            let figures = measure::all().await?;
            let text = serde_json::to_string_pretty(&figures).map_err(|e| e.to_string())?;
            fs::write(&args.figures, text + "\n").map_err(|e| e.to_string())
        }
        "page" => {
            let text = fs::read_to_string(&args.figures).map_err(|e| e.to_string())?;
            let figures = serde_json::from_str(&text).map_err(|e| e.to_string())?;
            fs::write(&args.page, page::write(&figures)).map_err(|e| e.to_string())
        }
        other => Err(format!("`{other}`: expected measure or page")),
    }
}
