//! Messages between rampbay's processes, the mailbox that carries them, and the time line.
//!
//! Every process has one [`Mailbox`](mailbox::Mailbox), an nng pull socket, and one push socket for
//! each peer that it writes to. Pipelines are used because they never send a message twice on
//! their own: nng's request protocol resends on a timer and on reconnect, which would break
//! "at most once". A message may be lost; where delivery has to be confirmed, the state machines
//! of [`rampbay_dispatch`] acknowledge it.

pub mod clock;
pub mod envelope;
pub mod event;
pub mod mailbox;
