//! A model of a whole fleet in memory.
//!
//! The processes are real: their ways to the store, followers, candidates, planner and agents are the product's.
//! Only what surrounds them is modelled, in virtual time and without input or output: the [`store`], which counts
//! each call by purpose; the [`network`] between processes, which counts calls and bytes; and the [`worker`]s. The
//! size of the [`fleet`] is a parameter, so that a test can show what grows faster than the fleet does, and the
//! program prints a table of [`load`] by role and size (`bash run scale`).
//!
//! The model costs no processor time of the modelled processes: what a round or a call costs is measured by the
//! benchmarks of `rampbay-jobs`.

pub mod connection;
pub mod fleet;
mod group;
pub mod load;
pub mod machine;
pub mod network;
pub mod process;
pub mod store;
pub mod time;
pub mod worker;
