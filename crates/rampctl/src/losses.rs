//! Where time and work were lost, told from the logs of all processes alone.
//!
//! [`Trails`] follows each job from its submission to its end over the numbered events (docs/EVENTS.md);
//! [`Loss`] names why a job was refused or late; [`Report`] counts both, and what the stops for urgent
//! work bought.

mod line;
mod report;
mod trail;

pub use line::LogLine;
pub use report::{LossRow, Report, StopRow};
pub use trail::{Loss, Trail, Trails};
