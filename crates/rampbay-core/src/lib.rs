//! The decision core of rampbay.
//!
//! The crate decides which gang of accelerators runs where and when, and which borrowed devices
//! are returned to their owner. It performs no I/O: the caller passes the time in, and decisions
//! are returned as typed [`Command`](plan::Command)s, with a [`Reason`](reason::Reason) for each
//! job.
//!
//! # A first example
//!
//! ```
//! use std::time::Duration;
//! use rampbay_core::{job::{GangSpec, JobSpec}, knobs::Knobs, plan::{Command, Planner}, topology::WorkerSpec};
//!
//! let mut planner = Planner::new(7);
//! planner.add_worker(WorkerSpec::new("w1", "rack-1", "bern-halle", "mittelland", 8));
//! planner.set_workspace("indexing", Knobs::default().guarantee("1 worker".parse().unwrap()));
//! planner.submit(JobSpec::new("job-1", "indexing").gang(GangSpec::new(8)), Duration::ZERO);
//! let commands = planner.tick(Duration::from_millis(50));
//! assert!(matches!(&commands[0], Command::Start { .. }));
//! ```
//!
//! # Concepts, in reading order
//!
//! - [`job`]: what a caller asks for.
//! - [`shape`]: guaranteed shapes, and the arithmetic of cells that splits and counts them.
//! - [`knobs`]: one row of the table of weights and limits.
//! - [`topology`]: workers in racks in failure domains, and their devices.
//! - [`lease`]: the metadata of a lease on devices.
//! - [`guarantee`]: which leases are owned, which borrowed, and whether every guarantee can be
//!   reclaimed.
//! - [`place`]: where a gang goes.
//! - [`reclaim`]: which running gangs yield their devices.
//! - [`plan`]: the tables and the systems that run over them each tick.
//! - [`reason`]: why a job is in its state.

mod fleet;
pub mod guarantee;
pub mod ids;
pub mod job;
pub mod knobs;
pub mod lease;
pub mod place;
pub mod plan;
pub mod reason;
pub mod reclaim;
pub mod shape;
mod tables;
pub mod topology;
