//! The search over all states that can be reached.

use std::hash::Hash;

use pathfinding::directed::bfs::bfs_reach;

/// A specification.
pub trait Spec {
    /// A state of the whole system.
    type State: Clone + Eq + Hash;

    /// Returns the first state.
    fn first(&self) -> Self::State;

    /// Returns every state that one step leads to.
    fn next(&self, state: &Self::State) -> Vec<Self::State>;

    /// Returns which promise a state breaks, if it breaks one.
    fn broken(&self, state: &Self::State) -> Option<&'static str>;
}

/// What a search found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Found {
    /// States that were looked at.
    pub states: usize,
    /// The first promise that was found broken.
    pub violation: Option<&'static str>,
}

/// Looks at every state that can be reached, nearest first, until one breaks a promise.
pub fn explore<S: Spec>(spec: &S) -> Found {
    let mut states = 0;
    for state in bfs_reach(spec.first(), |state| spec.next(state)) {
        states += 1;
        if let Some(violation) = spec.broken(&state) {
            return Found { states, violation: Some(violation) };
        }
    }
    Found { states, violation: None }
}
