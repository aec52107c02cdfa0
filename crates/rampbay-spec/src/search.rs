//! The search over all states that can be reached.

use std::hash::Hash;

use pathfinding::directed::bfs::bfs_reach;

/// A specification.
pub trait Spec {
    /// A state of the whole system.
    type State: Clone + Eq + Hash;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;

    /// Returns every state that one step leads to.
    fn next(&self, state: &Self::State) -> Vec<Self::State>;

    /// Returns the invariant that a state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// Result of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SearchResult {
    /// Number of states that were checked.
    pub states: usize,
    /// The first violation that was found.
    pub violation: Option<&'static str>,
}

/// Checks every state that can be reached, in breadth-first order, until one violates an invariant.
pub fn explore<S: Spec>(spec: &S) -> SearchResult {
    let mut states = 0;
    for state in bfs_reach(spec.initial(), |state| spec.next(state)) {
        states += 1;
        if let Some(violation) = spec.violation(&state) {
            return SearchResult { states, violation: Some(violation) };
        }
    }
    SearchResult { states, violation: None }
}
