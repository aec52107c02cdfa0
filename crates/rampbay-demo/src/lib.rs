//! A whole site in one process on loopback: the platform's stand-ins, upstreams, side processes
//! and entries, on ports that the system chooses.
//!
//! The demo and the fault tests run on it. The entries and side processes are the real ones; only
//! the platform and the upstreams are stand-ins.

pub mod site;
