//! A whole site in one process on loopback: the platform's stand-ins, upstreams, side processes
//! and entries, on ports that the system chooses.
//!
//! The demo and the fault tests run on it. Every process's code is the real one; only the
//! platform and the upstreams are stand-ins.

pub mod site;
