//! The entry process: it admits requests, plans gangs, dispatches work and answers.
//!
//! An entry keeps only soft state: the workers' leases record what runs, the side processes record
//! which attempts were started, and the log holds the table and the claims.
//!
//! The steps of a request, each with its module:
//!
//! 1. [`callers`] reads and checks it, and [`jobs`] keeps its record;
//! 2. [`claims`] claims work that must run at most once, in the log;
//! 3. [`gangs`] acquires its gang of devices, as [`rampbay_core::plan`] decides;
//! 4. [`dispatching`] sends it to an upstream, as [`rampbay_dispatch::dispatcher`] decides;
//! 5. [`lifecycle`] runs steps 2 to 4 and settles the request's single outcome.
//!
//! Besides, [`table`] follows the table in the log, [`membership`] follows the list of boxes, and
//! [`operators`] serves the operators.

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
