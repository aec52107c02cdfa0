//! One line of a process's log.

use std::collections::BTreeMap;

/// Milliseconds since the Unix epoch, by the clock of the process that wrote the line.
pub type EpochMillis = u64;

/// A line: `time_ms=… level=… node=… event=… text key=value …`. Text before the time is skipped, so
/// that lines gathered from many processes, which have a prefix, can be read.
#[derive(Debug, PartialEq, Eq)]
pub struct LogLine<'a> {
    /// When it was written.
    pub time: EpochMillis,
    /// Number of the event, such as `J150`.
    pub event: &'a str,
    fields: BTreeMap<&'a str, &'a str>,
}

impl<'a> LogLine<'a> {
    /// Parses a line; returns `None` if it has no time or no event number.
    #[must_use]
    pub fn parse(text: &'a str) -> Option<Self> {
        let start = text.find("time_ms=")?;
        let words = text[start..].split_whitespace();
        let fields: BTreeMap<_, _> = words.filter_map(|word| word.split_once('=')).collect();
        let time = fields.get("time_ms")?.parse().ok()?;
        Some(Self { time, event: fields.get("event")?, fields })
    }

    /// Returns a field's text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.fields.get(name).copied()
    }

    /// Returns a field that is a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }

    /// Returns the id of the job from the field `task`: a task's name begins with its job's id.
    #[must_use]
    pub fn job_of_task(&self) -> Option<&'a str> {
        self.text("task")?.split('.').next()
    }
}
