//! Policy bench in virtual time: the decision core against baselines.
//!
//! It has no processes and no network: a fake of the workers carries the decisions out after a
//! fixed time, and seeded arrivals ask for gangs. Every policy sees the same arrivals, losses and
//! edits.

pub mod baselines;
pub mod metrics;
pub mod plot;
pub mod policy;
pub mod simulate;
pub mod workload;
