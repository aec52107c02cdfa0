//! Small stand-ins for the platform's services and for upstreams, for trials and tests.
//!
//! Each stand-in consists of a model in memory, which implements the interface's trait, and of
//! routes that serve the model over HTTP. Faults are switched on through [`faults::Faults`] or over
//! HTTP. The models keep their own records, so that tests check against these records and not
//! against what rampbay reports.

pub mod boxes;
pub mod faults;
pub mod http;
pub mod log;
pub mod settings;
pub mod upstream;
pub mod workers;
