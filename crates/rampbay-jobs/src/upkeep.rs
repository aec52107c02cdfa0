//! Maintenance of machines in waves.
//!
//! Operators name machines that must get their maintenance within a time, and how many of them may be down for it at once.
//! [`decision`] decides in rounds, without a network, what is ordered when. Its load are waves that overlap each other and
//! the work on the machines, at an interface that is slow, limits calls, or loses answers. [`driver`] makes the calls of
//! the leader.
//!
//! An order may have been carried out although no answer came. So it is kept in the store before it is sent, and counts
//! as begun until the list of machines shows otherwise.

pub mod budget;
pub mod control;
pub mod decision;
pub mod driver;
pub mod load;
pub mod machine;
mod pace;
pub mod record;
mod turns;
pub mod wave;
