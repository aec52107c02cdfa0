//! Slopes of state, messages, processor time and memory, and the capacity page made from them.
//!
//! `rampbay-capacity measure` runs the real code at several sizes and writes the figures as JSON;
//! `rampbay-capacity page` writes `docs/CAPACITY.md` from that JSON. A test holds the committed
//! page to the committed figures.

pub mod fit;
pub mod measure;
pub mod page;
pub mod usage;
