//! Small specifications of the core protocols.
//!
//! Each specification is a set of states and the steps between them. The steps include the faults
//! that the protocol must tolerate, such as loss, delay and duplication of messages, pauses and
//! restarts.
//! [`search::explore`] visits all states that can be reached and checks the invariants in each.
//! Wrong variants of each protocol are kept, to show that the check can fail.
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
