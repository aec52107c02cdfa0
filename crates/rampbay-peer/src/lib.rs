//! HTTP between rampbay's processes, and access to the store through peers.
//!
//! [`client`] and [`server`] are thin wrappers over hyper for one thread; a [`budget`] bounds what
//! the clients of a server make the process hold. The layers over the store
//! are stores themselves, each wrapping the next ([`stack`]): [`direct`] tracks whether the
//! process's direct path is available, [`relay`] goes through peers while it isn't, [`gateway`]
//! hands appends to the leader, [`group`] batches them, [`tail`] reads through peers, [`metered`]
//! counts calls. [`reports`] collects the agents' progress reports, and [`snapshots`] sends the
//! whole state to processes that start. A [`peer`] is a store as well, over a [`transport`];
//! [`service`] handles the requests of peers, and [`routes`] selects the peers to use, by the
//! [`tree`] of all entries. [`entry`] and [`agent`] assemble the two kinds of processes.

pub mod agent;
mod body;
pub mod budget;
pub mod client;
pub mod direct;
pub mod entry;
pub mod gateway;
pub mod group;
pub mod metered;
mod metered_stream;
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
