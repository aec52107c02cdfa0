//! A refusal that proves that an attempt has not run, and one that doesn't.
//!
//! `cargo run -p rampbay-dispatch --example true_refusal`
//!
//! The leaving side process refuses the attempt that hasn't started and leaves a tombstone, so that
//! a delayed copy of the dispatch can't start; the running attempt goes on to its end.

use std::time::Duration;

use rampbay_dispatch::{
    message::{AttemptId, Dispatch},
    register::Register,
};

fn main() {
    let mut register = Register::new(7, 1, 4);
    let attempt = |number| AttemptId { entry: 1, number };
    let first = Dispatch::new("first", attempt(1), 7, "sweep shelf 3");
    let second = Dispatch::new("second", attempt(2), 7, "sweep shelf 4");
    println!("first: {:?}", register.dispatch("entry".into(), first, Duration::ZERO));
    println!("second: {:?}", register.dispatch("entry".into(), second.clone(), Duration::ZERO));
    println!("the upstream leaves: {:?}", register.leave());
    println!("a delayed copy: {:?}", register.dispatch("entry".into(), second, Duration::ZERO));
    println!("still running: {}", !register.is_idle());
    let restarted = Register::new(8, 1, 4);
    println!("after a restart the register remembers {} attempts", restarted.remembered());
    println!("so what was meant for incarnation 7 is refused by 8, and proves nothing about 7");
}
