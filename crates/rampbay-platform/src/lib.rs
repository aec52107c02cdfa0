//! The borders to what the platform gives: its log, its list of boxes, its workers, and upstreams.
//!
//! Each border is one small object-safe trait, so that the processes run on the platform's
//! interfaces, on stand-ins over HTTP, or on fakes in memory. [`http`] has the clients.
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
