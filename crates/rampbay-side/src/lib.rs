//! The side process, which runs beside each upstream as its sidecar.
//!
//! The side process alone decides which attempts start at its upstream: it counts slots and
//! connections, starts each attempt at most once, and refuses work when the upstream is leaving.
//! The decisions are in [`rampbay_dispatch::register`]; this crate provides the mailbox, the HTTP
//! client and the clock.
//!
//! ```no_run
//! use rampbay_side::{settings::SideSettings, side::Side};
//! # async fn run() -> Result<(), rampbay_side::side::SideError> {
//! let settings = SideSettings::new("side-1", "bern-halle", "127.0.0.1:9000".parse().unwrap());
//! let side = Side::start(settings).await?;
//! println!("mailbox at {}", side.mailbox());
//! side.drain().await;
//! # Ok(())
//! # }
//! ```

pub mod http;
pub mod run;
pub mod settings;
pub mod side;
