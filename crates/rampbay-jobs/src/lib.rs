//! Jobs of many tasks, kept in an append-only store.
//!
//! Every process reads one topic of the store and applies its records to a [`table::JobTable`],
//! which depends on nothing but these records. Callers' jobs are appended by an [`intake::Intake`];
//! one [`leader`], elected through the store, appends decisions of the [`planner::Planner`] under
//! an epoch that fences older planners; the [`agent`] of each worker carries out what the table
//! says and appends how runs end.
//!
//! A decision is in the store before an order is sent to a worker, and the end of a run is in the
//! store before its worker may forget it. So a planner that takes over knows every run that may
//! exist, and only the store has to be durable.
//!
//! Suggested reading order: [`job`], [`plan`], [`record`], [`parts`], [`table`], then [`planner`]
//! and [`agent`].

pub mod admission;
pub mod agent;
pub mod bounded;
pub mod cancel;
pub mod candidacy;
pub mod clock;
pub mod drained;
pub mod fencing;
pub mod follower;
pub mod freshness;
pub mod intake;
pub mod job;
pub mod keys;
pub mod layer;
pub mod leader;
pub mod losses;
pub mod metrics;
pub mod outlook;
pub mod parts;
pub mod plan;
pub mod planner;
pub mod process;
pub mod read_your_writes;
pub mod recipients;
pub mod record;
pub mod registrations;
pub mod routing;
pub mod settings;
pub mod store;
pub mod table;
pub mod upkeep;
pub mod worker;
