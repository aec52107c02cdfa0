//! The table of workspaces, and how it is agreed through the platform's log.
//!
//! Operators publish row changes to the log. Every process folds the log in its order with
//! [`TableState::apply`](state::TableState::apply), so that all come to the same table without
//! asking each other. A change says which version of each row it was based on; if the row has
//! changed meanwhile, the change is void and its operator is told who was first.
//!
//! ```
//! use rampbay_core::knobs::Knobs;
//! use rampbay_table::{record::{Edit, Record}, state::{Applied, TableState}};
//!
//! let mut table = TableState::default();
//! let edit = Edit::new("edit-1", "ama").set("forecasts", 0, Knobs::default().weight(200));
//! let applied = table.apply(0, &Record::Edit(edit).encode());
//! assert!(matches!(applied, Applied::Accepted { version: 1, .. }));
//! ```

pub mod grid;
pub mod record;
pub mod state;
