//! Structured log lines on standard error, one JSON object each.

use std::io;

use rampbay_core::ids::{JobId, ProcessId, WorkspaceId};
use rampbay_wire::{
    clock::Clock,
    event::{Code, Timeline},
};

/// Starts logging for a process.
///
/// Call it once; a second call changes nothing.
///
/// # Errors
///
/// Returns an error if `level` isn't one of `off`, `error`, `warn`, `info`, `debug`, `trace`.
pub fn start(process: &ProcessId, level: &str) -> io::Result<()> {
    let level: log::LevelFilter =
        level.parse().map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, format!("{e}")))?;
    let process = process.clone();
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn.min(level))
        .level_for("rampbay", level)
        .format(move |out, message, record| {
            let line = serde_json::json!({
                "time_ms": u64::try_from(crate::epoch_now().as_millis()).unwrap_or(u64::MAX),
                "level": record.level().as_str(),
                "process": process,
                "target": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        })
        .chain(io::stderr());
    // A process that runs several daemons calls this several times; only the first has effect.
    let _ = dispatch.apply();
    Ok(())
}

/// Target under which every numbered event is logged.
const EVENT_TARGET: &str = "rampbay::event";

/// Records an event on the time line and in the log.
///
/// Events of single requests are logged at the level debug, all others at info.
pub fn event(
    timeline: &Timeline,
    clock: &Clock,
    code: Code,
    job: Option<&JobId>,
    workspace: Option<&WorkspaceId>,
    detail: impl Into<String>,
) {
    const REQUESTS: std::ops::Range<u16> = 200..300;
    let number = code as u16;
    let level = if REQUESTS.contains(&number) { log::Level::Debug } else { log::Level::Info };
    let detail = detail.into();
    log::log!(
        target: EVENT_TARGET,
        level,
        "E{number} {} job={} workspace={} {detail}",
        code.text(),
        job.map_or("-", |job| job),
        workspace.map_or("-", |workspace| workspace),
    );
    timeline.record(clock, code, job, workspace, detail);
}
