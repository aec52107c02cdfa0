//! Small stand-ins for what the platform gives, for trials and tests.
//!
//! Each stand-in is a model in memory, which also is the border's trait, and routes that serve it
//! over HTTP. Faults are switched on through [`faults::Faults`] or over HTTP. The models keep
//! records of their own, so that tests are judged by them and not by what rampbay says.

pub mod boxes;
pub mod faults;
pub mod http;
pub mod log;
pub mod settings;
pub mod upstream;
pub mod workers;
