//! Small specifications of the core protocols.
//!
//! Each specification is a set of states and the steps between them, with every loss, delay,
//! duplication, pause and restart that the brief names. [`search::explore`] walks all states that
//! can be reached and checks each. Wrong variants of each protocol are kept, to show that the
//! check can fail.
//!
//! ```
//! use rampbay_spec::{gang::{Gang, Variant}, search::explore};
//! let found = explore(&Gang::new(Variant::OpensEarly));
//! assert!(found.violation.is_some());
//! ```

pub mod dispatch;
pub mod gang;
pub mod search;
pub mod table;
