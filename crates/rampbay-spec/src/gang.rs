//! Hold, commit and open of a gang, with two planners and two workers with one device each.
//!
//! Both planners need both devices. Messages may be lost (they stay undelivered), delayed and
//! duplicated (the network is a set from which messages are never removed). Holds and leases may
//! expire at any time; a planner may pause at any step, since every step is optional.

use std::collections::BTreeSet;

use crate::search::Spec;

/// The protocol, or a wrong variant of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// The protocol as it is implemented.
    Correct,
    /// A planner opens the gang when the first commit is acknowledged.
    OpensEarly,
    /// A worker grants a hold even if it has granted the same or a later token before.
    NoFencing,
    /// A worker commits without a hold.
    CommitsWithoutHold,
    /// A planner commits when only one part is held, and opens when only one is committed.
    CommitsInPart,
}

/// A planner's number, which is also its token: the second planner's token is the later one.
type Token = u8;
type Worker = u8;

const PLANNERS: [Token; 2] = [1, 2];
const WORKERS: [Worker; 2] = [0, 1];

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Hold(Token, Worker),
    Held(Token, Worker),
    Refused(Token, Worker),
    Commit(Token, Worker),
    Committed(Token, Worker),
    Open(Token, Worker),
    Release(Token, Worker),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Lease {
    Held(Token),
    Committed(Token),
    Running(Token),
}

impl Lease {
    const fn token(self) -> Token {
        match self {
            Lease::Held(token) | Lease::Committed(token) | Lease::Running(token) => token,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Holding,
    Committing,
    Opened,
    GaveUp,
}

/// A state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    leases: [Option<Lease>; 2],
    fences: [Token; 2],
    /// Parts that were committed at some time, by token.
    committed_once: [[bool; 2]; 2],
    phases: [Phase; 2],
    network: BTreeSet<Message>,
    violation: Option<&'static str>,
}

/// The specification.
#[derive(Debug, Clone, Copy)]
pub struct Gang {
    variant: Variant,
}

impl Gang {
    /// Creates the specification of a variant.
    #[must_use]
    pub const fn new(variant: Variant) -> Self {
        Self { variant }
    }

    fn deliver(&self, state: &State, message: Message) -> Option<State> {
        let mut next = state.clone();
        match message {
            Message::Hold(token, worker) => self.on_hold(&mut next, token, worker),
            Message::Commit(token, worker) => self.on_commit(&mut next, token, worker),
            Message::Open(token, worker) => on_open(&mut next, token, worker),
            Message::Release(token, worker) => {
                let lease = &mut next.leases[usize::from(worker)];
                if lease.is_some_and(|lease| lease.token() == token) {
                    *lease = None;
                }
            }
            Message::Held(..) | Message::Refused(..) | Message::Committed(..) => return None,
        }
        Some(next)
    }

    fn on_hold(&self, state: &mut State, token: Token, worker: Worker) {
        let at = usize::from(worker);
        let free = state.leases[at].is_none();
        let same = state.leases[at].is_some_and(|lease| lease.token() == token);
        let fenced = self.variant != Variant::NoFencing && state.fences[at] >= token && !same;
        if free && !fenced {
            if state.fences[at] > token {
                state.violation = Some("a hold with an old token was granted after a newer one");
            }
            state.leases[at] = Some(Lease::Held(token));
            state.fences[at] = state.fences[at].max(token);
            state.network.insert(Message::Held(token, worker));
        } else if !same {
            state.network.insert(Message::Refused(token, worker));
        }
    }

    fn on_commit(&self, state: &mut State, token: Token, worker: Worker) {
        let at = usize::from(worker);
        let held = state.leases[at] == Some(Lease::Held(token));
        let needs_no_hold = self.variant == Variant::CommitsWithoutHold;
        if held || needs_no_hold {
            if state.leases[at].is_some_and(|lease| lease.token() != token) {
                state.violation = Some("a device was taken from another gang");
            }
            state.leases[at] = Some(Lease::Committed(token));
            state.committed_once[usize::from(token) - 1][at] = true;
            state.network.insert(Message::Committed(token, worker));
        }
    }

    fn planner_steps(&self, state: &State, token: Token) -> Vec<State> {
        let at = usize::from(token) - 1;
        let send_to_all = |make: fn(Token, Worker) -> Message, phase| {
            let mut next = state.clone();
            next.phases[at] = phase;
            next.network.extend(WORKERS.map(|worker| make(token, worker)));
            next
        };
        let has = |make: fn(Token, Worker) -> Message| {
            WORKERS.map(|worker| state.network.contains(&make(token, worker)))
        };
        match state.phases[at] {
            Phase::Idle => vec![send_to_all(Message::Hold, Phase::Holding)],
            Phase::Holding => {
                let mut steps = vec![send_to_all(Message::Release, Phase::GaveUp)];
                let held = has(Message::Held);
                let refused = has(Message::Refused) != [false, false];
                let enough = match self.variant {
                    Variant::CommitsInPart => held != [false, false],
                    _ => held == [true, true] && !refused,
                };
                if enough {
                    steps.push(send_to_all(Message::Commit, Phase::Committing));
                }
                steps
            }
            Phase::Committing => {
                let mut steps = vec![send_to_all(Message::Release, Phase::GaveUp)];
                let committed = has(Message::Committed);
                let enough = match self.variant {
                    Variant::OpensEarly | Variant::CommitsInPart => committed != [false, false],
                    _ => committed == [true, true],
                };
                if enough {
                    steps.push(send_to_all(Message::Open, Phase::Opened));
                }
                steps
            }
            Phase::Opened => vec![send_to_all(Message::Release, Phase::GaveUp)],
            Phase::GaveUp => Vec::new(),
        }
    }
}

fn on_open(state: &mut State, token: Token, worker: Worker) {
    let at = usize::from(worker);
    if state.leases[at] != Some(Lease::Committed(token)) {
        return;
    }
    state.leases[at] = Some(Lease::Running(token));
    if state.committed_once[usize::from(token) - 1] != [true, true] {
        state.violation = Some("a gang's task ran although a part was never committed");
    }
}

impl Spec for Gang {
    type State = State;

    fn initial(&self) -> State {
        State {
            leases: [None; 2],
            fences: [0; 2],
            committed_once: [[false; 2]; 2],
            phases: [Phase::Idle; 2],
            network: BTreeSet::new(),
            violation: None,
        }
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut steps: Vec<State> =
            state.network.iter().filter_map(|message| self.deliver(state, *message)).collect();
        for token in PLANNERS {
            steps.extend(self.planner_steps(state, token));
        }
        for at in 0..2 {
            if state.leases[at].is_some() {
                let mut expired = state.clone();
                expired.leases[at] = None;
                steps.push(expired);
            }
        }
        steps.retain(|next| next != state);
        steps
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        state.violation
    }
}
