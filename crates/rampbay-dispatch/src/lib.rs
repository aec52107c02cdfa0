//! The request path as two pure state machines.
//!
//! - [`Dispatcher`](dispatcher::Dispatcher) runs in an entry process: it queues requests by
//!   workspace, chooses an upstream, retries, cancels, and gives each request exactly one outcome.
//! - [`Register`](register::Register) runs in the process beside an upstream: it counts slots,
//!   starts each attempt at most once, and remembers which attempts must never start.
//!
//! Neither does input or output, nor reads a clock: events and the time go in, actions come out.
//! So the same code runs in the processes, in tests, and against the specifications.
//!
//! ```
//! use std::time::Duration;
//! use rampbay_dispatch::{message::{AttemptId, Dispatch}, register::{Action, Register}};
//!
//! let mut register = Register::new(7, 8, 16);
//! let dispatch = Dispatch::new("job-1", AttemptId { entry: 1, number: 1 }, 7, "sweep shelf 3");
//! let actions = register.dispatch("entry-1".into(), dispatch, Duration::ZERO);
//! assert!(matches!(actions[1], Action::Run(_)));
//! ```

pub mod dispatcher;
pub mod fair;
pub mod message;
pub mod register;
pub mod sides;
