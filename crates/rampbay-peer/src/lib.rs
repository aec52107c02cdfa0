//! HTTP between rampbay's processes.
//!
//! [`client`] and [`server`] are thin covers over hyper for one thread. The ways to the store are
//! stores themselves, one around the other: [`direct`] knows whether the process's own way is open,
//! [`relay`] goes through peers where it isn't, [`group`] lets appends ride together, [`tail`] reads
//! through peers, [`metered`] counts.

pub mod client;
pub mod direct;
pub mod group;
pub mod metered;
pub mod protocol;
pub mod relay;
pub mod routes;
pub mod server;
pub mod tail;
