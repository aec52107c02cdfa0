//! The operators' command line.
//!
//! Every command asks one entry over its operators' interface, so each can be tried with any HTTP
//! client as well. Grids are for people, `--json` for programs.

pub mod args;
pub mod client;
pub mod commands;
pub mod grids;
pub mod html;
pub mod losses;
