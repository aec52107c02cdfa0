//! Jobs of many tasks, kept in an append-only store.
//!
//! Every process follows one topic of the store into a [`table::JobTable`], a pure function of the
//! records. Callers' jobs are appended by an [`intake::Intake`]; one [`leader`], elected through the
//! store, appends decisions of the [`planner::Planner`] under an epoch that fences older planners;
//! the [`agent`] beside each worker carries out what the table says and appends how runs end.
//!
//! A decision is in the store before an order leaves for a worker, and the end of a run is in the
//! store before its worker may forget it. So a planner that takes over knows every run that may
//! exist, and nothing but the store has to last.
//!
//! Read [`job`], [`plan`], [`record`], [`parts`], [`table`], then [`planner`] and [`agent`].

pub mod agent;
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
pub mod worker;
