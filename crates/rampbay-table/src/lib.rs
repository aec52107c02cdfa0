//! The table of workspaces, and how it is agreed through the platform's log.
//!
//! Operators publish row changes to the log. Every process applies the log's records in order with
//! [`TableState::apply`](state::TableState::apply), so that all processes get the same table
//! without communicating with each other. An edit names the version of each row that it is based
//! on; if a row has changed since, the edit is void and its operator learns who made the earlier
//! change.
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
