//! The entry process: it admits requests, plans gangs, dispatches work and answers.
//!
//! All its state is soft: what runs is recorded by the workers' leases, what started by the side
//! processes, and the table and the claims by the log.
//!
//! A request's way, with the module that has each step:
//!
//! 1. [`callers`] reads and checks it, and [`jobs`] keeps its record;
//! 2. [`claims`] claims work that must run at most once, in the log;
//! 3. [`gangs`] gets its gang of devices, as [`rampbay_core::plan`] decides;
//! 4. [`dispatching`] sends it to an upstream, as [`rampbay_dispatch::dispatcher`] decides;
//! 5. [`lifecycle`] puts these together and settles the one outcome.
//!
//! Beside it, [`table`] follows the table in the log, [`membership`] follows the list of boxes,
//! and [`operators`] serves the operators.

pub mod callers;
pub mod claims;
pub mod dispatching;
pub mod entry;
pub mod gang_calls;
pub mod gangs;
pub mod jobs;
pub mod keys;
pub mod leases;
pub mod lifecycle;
pub mod membership;
pub mod operators;
pub mod settings;
pub mod shared;
pub mod table;
