//! The command line's form.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

/// Watches and steers rampbay.
///
/// Examples:
///   rampctl --entry 127.0.0.1:7301 table get > table.csv
///   rampctl --entry 127.0.0.1:7301 table set table.csv --by ama
///   rampctl --entry 127.0.0.1:7301 explain forecasts/job-7
///   rampctl --entry 127.0.0.1:7301 timeline --job forecasts/job-7
///
/// Exit codes: 0 done; 1 refused; 2 bad use; 3 the entry can't be reached; 4 the outcome isn't
/// known.
#[derive(FromArgs, Debug)]
pub struct Args {
    /// an entry's operators' address (default 127.0.0.1:7301)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7301))")]
    pub entry: SocketAddr,
    /// an operator's key
    #[argh(option)]
    pub key: Option<String>,
    /// write JSON in place of grids
    #[argh(switch)]
    pub json: bool,
    /// the command
    #[argh(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// The table.
    Table(TableArgs),
    /// Requests without an outcome.
    Jobs(JobsArgs),
    /// Why a job is in its state.
    Explain(ExplainArgs),
    /// Workers and their leases.
    Workers(WorkersArgs),
    /// Upstreams as the entry sees them.
    Upstreams(UpstreamsArgs),
    /// Workspaces, devices and guarantees.
    Plan(PlanArgs),
    /// Has a process stop once its work is done.
    Drain(DrainArgs),
    /// Events of all processes in one order.
    Timeline(TimelineArgs),
    /// Jobs that were refused or late, and why, from logs alone.
    Losses(LossesArgs),
}

/// tells from log files which jobs were refused or late and why, and what stops for urgent work
/// bought; needs no running process
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "losses")]
pub struct LossesArgs {
    /// log files of all processes, in any order
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// reads and edits the table
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "table")]
pub struct TableArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: TableCommand,
}

/// What to do with the table.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum TableCommand {
    /// Writes CSV.
    Get(TableGet),
    /// Publishes CSV.
    Set(TableSet),
    /// Shows a grid.
    Show(TableShow),
    /// Shows who changed what.
    Log(TableLog),
}

/// writes the table as CSV, with the version of each row in the last column
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "get")]
pub struct TableGet {}

/// publishes a CSV; rows that differ from the table are changed, rows that are missing removed
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "set")]
pub struct TableSet {
    /// the CSV file
    #[argh(positional)]
    pub file: PathBuf,
    /// who publishes
    #[argh(option, default = "String::from(\"operator\")")]
    pub by: String,
    /// show what would change, and change nothing
    #[argh(switch)]
    pub dry_run: bool,
}

/// shows the table as a grid
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct TableShow {}

/// shows the latest edits, who made them and whether they are in force
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "log")]
pub struct TableLog {}

/// lists requests without an outcome
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "jobs")]
pub struct JobsArgs {}

/// explains why a job waits, starts, shrinks or is refused
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the job, as WORKSPACE/ID
    #[argh(positional)]
    pub job: String,
}

/// lists workers and their leases
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "workers")]
pub struct WorkersArgs {}

/// lists upstreams as the entry sees them
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "upstreams")]
pub struct UpstreamsArgs {}

/// shows workspaces, devices and guarantees
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "plan")]
pub struct PlanArgs {}

/// has the entry named by --entry, or a side process, stop once its work is done
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// a side process's HTTP address, in place of the entry
    #[argh(option)]
    pub side: Option<SocketAddr>,
}

/// shows events of all processes in one order
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "timeline")]
pub struct TimelineArgs {
    /// only of this job, as WORKSPACE/ID
    #[argh(option)]
    pub job: Option<String>,
    /// only of this workspace
    #[argh(option)]
    pub workspace: Option<String>,
    /// only of this process
    #[argh(option)]
    pub process: Option<String>,
    /// only events whose detail has this text, for example a worker or a gang's token
    #[argh(option)]
    pub text: Option<String>,
    /// only the last so many seconds
    #[argh(option)]
    pub last_s: Option<u64>,
    /// write a trace that browsers' trace viewers open
    #[argh(switch)]
    pub trace: bool,
    /// write a self-contained HTML page
    #[argh(switch)]
    pub html: bool,
}
