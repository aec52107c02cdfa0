//! HTTP between rampbay's processes.
//!
//! [`client`] and [`server`] are thin covers over hyper for one thread. [`relay`] lets a process
//! whose own way to the store is broken reach it through its peers.

pub mod client;
pub mod group;
pub mod metered;
pub mod protocol;
pub mod relay;
pub mod server;
pub mod tail;
