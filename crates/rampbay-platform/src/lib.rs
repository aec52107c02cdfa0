//! Interfaces to the platform's services: its log, its list of boxes, its workers, and upstreams.
//!
//! Each interface is one small object-safe trait, so that the processes run against the platform
//! itself, against stand-ins over HTTP, or against fakes in memory. [`http`] has the clients.
//!
//! ```
//! use rampbay_platform::{http::HttpLog, log::Log};
//! let log: Box<dyn Log> = Box::new(HttpLog::new("127.0.0.1:7100".parse().unwrap()));
//! # let _ = log;
//! ```

pub mod boxes;
pub mod http;
pub mod log;
pub mod upstream;
pub mod workers;
