//! A model of a whole fleet in memory.
//!
//! The processes are real: their store stacks, followers, candidates, planner and agents are the product's. Only
//! their environment is modelled, in virtual time and without I/O: the [`store`], which counts each call by
//! purpose; the [`network`] between processes, which counts calls and bytes; and the [`worker`]s. The size of the
//! [`fleet`] is a parameter, so that a test can show what grows faster than the fleet does, and the program prints
//! a table of the [`load`] by purpose and size (`bash run scale`).
//!
//! The model doesn't measure the processor time of the modelled processes: the benchmarks of `rampbay-jobs`
//! measure what a planning round or a call costs.

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
