//! Dispatch, cancel, tombstone and retry with a side process that restarts.
//!
//! There are one job that may run at most once, one entry, and one side process that may restart
//! once. The network is a set from which messages are never removed: each message may be delivered
//! late, more than once, or never.

use std::collections::BTreeSet;

use crate::search::Spec;

/// The protocol, or a wrong variant of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// The protocol as it is implemented.
    Correct,
    /// A cancel of an unknown attempt leaves nothing behind.
    NoTombstone,
    /// A side process accepts a dispatch that was meant for another incarnation.
    AnyIncarnation,
    /// The entry accepts a refusal or a tombstone as proof although it comes from an incarnation other
    /// than the one that the attempt was sent to.
    TrustsOtherIncarnation,
    /// After a wait, the entry settles a cancelled request as not run without an answer that proves it.
    NotRunWithoutProof,
    /// A duplicated dispatch starts the attempt again.
    NoMemoryOfAttempts,
    /// The entry retries a cancelled attempt that may have run.
    RetriesWithoutProof,
}

type Attempt = u8;
type Incarnation = u8;

const ATTEMPTS: Attempt = 2;
const INCARNATIONS: Incarnation = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Dispatch {
        attempt: Attempt,
        to: Incarnation,
    },
    Cancel {
        attempt: Attempt,
    },
    Refused {
        attempt: Attempt,
        from: Incarnation,
    },
    Tombstoned {
        attempt: Attempt,
        from: Incarnation,
    },
    Answered {
        attempt: Attempt,
    },
    /// The side process's report that an incarnation runs.
    Alive(Incarnation),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Outcome {
    Answered,
    NotRun,
    Unknown,
}

/// A state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The attempt that has no result yet, and the incarnation that it was sent to.
    sent: Option<(Attempt, Incarnation)>,
    cancelled: bool,
    attempts: Attempt,
    /// The latest incarnation that the entry knows of.
    known_incarnation: Incarnation,
    outcome: Option<Outcome>,
    incarnation: Incarnation,
    leaving: bool,
    tombstones: BTreeSet<Attempt>,
    known: BTreeSet<Attempt>,
    starts: u8,
    network: BTreeSet<Message>,
}

/// The specification.
#[derive(Debug, Clone, Copy)]
pub struct Dispatch {
    variant: Variant,
}

impl Dispatch {
    /// Creates the specification of a variant.
    #[must_use]
    pub const fn new(variant: Variant) -> Self {
        Self { variant }
    }

    fn side_steps(&self, state: &State) -> Vec<State> {
        let mut steps = Vec::new();
        for message in &state.network {
            match *message {
                Message::Dispatch { attempt, to } => {
                    steps.push(self.on_dispatch(state, attempt, to));
                }
                Message::Cancel { attempt } => steps.push(self.on_cancel(state, attempt)),
                _ => {}
            }
        }
        for attempt in &state.known {
            let mut next = state.clone();
            next.network.insert(Message::Answered { attempt: *attempt });
            steps.push(next);
        }
        if state.incarnation < INCARNATIONS {
            let mut next = state.clone();
            next.incarnation += 1;
            next.tombstones.clear();
            next.known.clear();
            next.leaving = false;
            next.network.insert(Message::Alive(next.incarnation));
            steps.push(next);
        }
        if !state.leaving {
            let mut next = state.clone();
            next.leaving = true;
            steps.push(next);
        }
        steps
    }

    fn on_dispatch(&self, state: &State, attempt: Attempt, to: Incarnation) -> State {
        let mut next = state.clone();
        let from = state.incarnation;
        if state.known.contains(&attempt) && self.variant != Variant::NoMemoryOfAttempts {
            return next;
        }
        if to != state.incarnation && self.variant != Variant::AnyIncarnation {
            next.network.insert(Message::Refused { attempt, from });
            return next;
        }
        if state.tombstones.contains(&attempt) {
            next.network.insert(Message::Refused { attempt, from });
            return next;
        }
        if state.leaving {
            // The entry takes the refusal as proof that the attempt won't start, so the refusal must
            // leave a tombstone too.
            if self.variant != Variant::NoTombstone {
                next.tombstones.insert(attempt);
            }
            next.network.insert(Message::Refused { attempt, from });
            return next;
        }
        next.known.insert(attempt);
        next.starts += 1;
        next
    }

    fn on_cancel(&self, state: &State, attempt: Attempt) -> State {
        let mut next = state.clone();
        if !state.known.contains(&attempt) {
            if self.variant != Variant::NoTombstone {
                next.tombstones.insert(attempt);
            }
            next.network.insert(Message::Tombstoned { attempt, from: state.incarnation });
        }
        next
    }

    fn entry_steps(&self, state: &State) -> Vec<State> {
        let mut steps = Vec::new();
        if state.outcome.is_some() {
            return steps;
        }
        for message in &state.network {
            if let Message::Alive(incarnation) = *message
                && incarnation > state.known_incarnation
            {
                steps.push(self.on_restart(state, incarnation));
            }
        }
        match state.sent {
            None => {
                if state.attempts < ATTEMPTS {
                    let mut next = state.clone();
                    next.attempts += 1;
                    next.sent = Some((next.attempts, next.known_incarnation));
                    next.cancelled = false;
                    let dispatch =
                        Message::Dispatch { attempt: next.attempts, to: next.known_incarnation };
                    next.network.insert(dispatch);
                    steps.push(next);
                }
                let mut next = state.clone();
                next.outcome = Some(Outcome::NotRun);
                steps.push(next);
            }
            Some((attempt, to)) => {
                let mut cancel = state.clone();
                cancel.cancelled = true;
                cancel.network.insert(Message::Cancel { attempt });
                steps.push(cancel);
                steps.extend(self.outcomes(state, attempt, to));
            }
        }
        steps
    }

    fn outcomes(&self, state: &State, attempt: Attempt, to: Incarnation) -> Vec<State> {
        let mut steps = Vec::new();
        let settled = |outcome| {
            let mut next = state.clone();
            next.outcome = Some(outcome);
            next.sent = None;
            next
        };
        if state.network.contains(&Message::Answered { attempt }) {
            steps.push(settled(Outcome::Answered));
        }
        let trusts = self.variant == Variant::TrustsOtherIncarnation;
        let proves = |message: &Message| match *message {
            Message::Refused { attempt: of, from } | Message::Tombstoned { attempt: of, from } => {
                of == attempt && (from == to || trusts)
            }
            _ => false,
        };
        if state.network.iter().any(proves) {
            let mut retry = state.clone();
            retry.sent = None;
            steps.push(retry);
        }
        if state.cancelled {
            steps.push(settled(Outcome::Unknown));
            if self.variant == Variant::NotRunWithoutProof {
                steps.push(settled(Outcome::NotRun));
            }
            if self.variant == Variant::RetriesWithoutProof {
                let mut retry = state.clone();
                retry.sent = None;
                steps.push(retry);
            }
        }
        steps
    }

    /// Handles a restart: an open attempt was meant for an incarnation that is gone, so its outcome
    /// is unknown.
    fn on_restart(&self, state: &State, incarnation: Incarnation) -> State {
        let mut next = state.clone();
        next.known_incarnation = incarnation;
        if next.sent.is_some() {
            next.sent = None;
            next.outcome = Some(Outcome::Unknown);
        }
        next
    }
}

impl Spec for Dispatch {
    type State = State;

    fn initial(&self) -> State {
        State {
            sent: None,
            cancelled: false,
            attempts: 0,
            known_incarnation: 1,
            outcome: None,
            incarnation: 1,
            leaving: false,
            tombstones: BTreeSet::new(),
            known: BTreeSet::new(),
            starts: 0,
            network: BTreeSet::new(),
        }
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut steps = self.side_steps(state);
        steps.extend(self.entry_steps(state));
        steps.retain(|next| next != state);
        steps
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.starts > 1 {
            return Some("work that may run at most once was started twice");
        }
        if state.outcome == Some(Outcome::NotRun) && state.starts > 0 {
            return Some("work that was said not to have run was started");
        }
        None
    }
}
