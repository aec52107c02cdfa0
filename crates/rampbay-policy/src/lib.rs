//! Benchmark of scheduling policies in virtual time: rampbay's planner against baselines.
//!
//! There are no processes and no network: the simulation carries out the decisions to stop or to
//! checkpoint after a fixed time, and seeded arrivals ask for gangs. Every policy gets the same
//! arrivals, losses of workers and edits of the table.

pub mod baselines;
pub mod metrics;
pub mod plot;
pub mod policy;
pub mod simulate;
pub mod workload;
