//! Where time and work were lost, computed only from the logs of all processes.
//!
//! [`JobHistories`] follows each job from its submission to its end over the numbered events
//! (docs/EVENTS.md); [`Loss`] names why a job was refused or late; [`Report`] counts the jobs of each
//! outcome, the stops for urgent work, and the outcomes of the jobs that the stops made room for.

mod history;
mod line;
mod report;

pub use history::{JobHistories, JobHistory, Loss};
pub use line::LogLine;
pub use report::{LossRow, Report, StopRow};
