//! Open-loop load on an entry: bounded in count and time, every answer checked.
//!
//! Callers send at times that are drawn beforehand, whether earlier answers are back or not, so
//! that a slow system can't slow its own load down. Completion time counts from the time that a
//! request was due, not from when it could be sent.

pub mod report;
pub mod run;
