//! HTTP between rampbay's processes.
//!
//! [`client`] and [`server`] are thin covers over hyper for one thread. The ways to the store are
//! stores themselves, one around the other ([`stack`]): [`direct`] knows whether the process's own way is
//! open, [`relay`] goes through peers where it isn't, [`gateway`] hands appends to the leader, [`group`] lets them
//! ride together, [`tail`] reads
//! through peers, [`metered`] counts. [`reports`] gathers what agents report, [`snapshots`]
//! gives the whole state to those that start. A [`peer`] is a store as well, over a [`transport`]; [`service`] is
//! what a process does for its peers, and [`routes`] whom it goes through, by the [`tree`] of
//! all entries. [`entry`] and [`agent`] put
//! the two kinds of processes together.

pub mod agent;
pub mod client;
pub mod direct;
pub mod entry;
pub mod gateway;
pub mod group;
pub mod metered;
pub mod peer;
pub mod protocol;
pub mod relay;
pub mod reports;
pub mod routes;
pub mod server;
pub mod service;
pub mod snapshots;
pub mod stack;
pub mod tail;
pub mod transport;
pub mod tree;
