//! Counts the calls that the processes of a fleet make to the store and to each other.

use std::cell::RefCell;
use std::collections::BTreeMap;

/// Kind of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// An entry on a machine with a good share of a core and a wide link.
    WellProvisionedEntry,
    /// An entry on a machine with little processor power and a narrow link.
    SmallEntry,
    /// An agent, beside its worker.
    Agent,
}

impl Role {
    /// Returns the label in tables.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::WellProvisionedEntry => "ample entry",
            Self::SmallEntry => "small entry",
            Self::Agent => "agent",
        }
    }
}

/// Purpose of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// An append to the state.
    AppendState,
    /// An append to the runs' progress.
    AppendProgress,
    /// A read of the state.
    ReadState,
    /// A read of the operators' orders.
    ReadOperators,
    /// A read of the runs' progress.
    ReadProgress,
    /// A page of the newest record of each key.
    Snapshot,
    /// A call to become or remain leader.
    Stand,
    /// A query for the leader, which also shows whether the store answers.
    Holder,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Self; 8] = [
        Self::AppendState,
        Self::AppendProgress,
        Self::ReadState,
        Self::ReadOperators,
        Self::ReadProgress,
        Self::Snapshot,
        Self::Stand,
        Self::Holder,
    ];

    /// Returns the label in tables.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::AppendState => "append state",
            Self::AppendProgress => "append progress",
            Self::ReadState => "read state",
            Self::ReadOperators => "read operators' orders",
            Self::ReadProgress => "read progress",
            Self::Snapshot => "snapshot",
            Self::Stand => "stand",
            Self::Holder => "who leads",
        }
    }
}

/// Number and size of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of calls.
    pub calls: u64,
    /// Bytes in both directions.
    pub bytes: u64,
}

impl Traffic {
    fn add(&mut self, bytes: usize) {
        self.calls += 1;
        self.bytes += bytes as u64;
    }
}

/// All calls counted since the last [`Load::take`].
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Calls to the store, by role and purpose.
    pub store: BTreeMap<(Role, Purpose), Traffic>,
    /// Calls that each process answered for its peers, by the name of the process.
    pub peer_calls: BTreeMap<String, Traffic>,
}

impl Counts {
    /// Returns the number of calls to the store for a purpose.
    #[must_use]
    pub fn calls_for(&self, purpose: Purpose) -> u64 {
        let of_purpose = self.store.iter().filter(|((_, found), _)| *found == purpose);
        of_purpose.map(|(_, traffic)| traffic.calls).sum()
    }

    /// Returns the number of all calls to the store.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.store.values().map(|traffic| traffic.calls).sum()
    }

    /// Returns all bytes to and from the store.
    #[must_use]
    pub fn store_bytes(&self) -> u64 {
        self.store.values().map(|traffic| traffic.bytes).sum()
    }

    /// Returns all bytes of calls between processes.
    #[must_use]
    pub fn peer_bytes(&self) -> u64 {
        self.peer_calls.values().map(|traffic| traffic.bytes).sum()
    }

    /// Returns the traffic of the process that answered the most calls of its peers.
    #[must_use]
    pub fn busiest_by_calls(&self) -> Traffic {
        self.peer_calls.values().copied().max_by_key(|traffic| traffic.calls).unwrap_or_default()
    }

    /// Returns the traffic of the process that exchanged the most bytes with its peers.
    #[must_use]
    pub fn busiest_by_bytes(&self) -> Traffic {
        self.peer_calls.values().copied().max_by_key(|traffic| traffic.bytes).unwrap_or_default()
    }
}

/// Counter of calls.
#[derive(Debug, Default)]
pub struct Load(RefCell<Counts>);

impl Load {
    /// Counts a call to the store.
    pub fn record_store_call(&self, role: Role, purpose: Purpose, bytes: usize) {
        self.0.borrow_mut().store.entry((role, purpose)).or_default().add(bytes);
    }

    /// Counts a call that a process answered for a peer.
    pub fn record_peer_call(&self, node: &str, bytes: usize) {
        self.0.borrow_mut().peer_calls.entry(node.to_owned()).or_default().add(bytes);
    }

    /// Returns the counts and resets them.
    pub fn take(&self) -> Counts {
        self.0.take()
    }
}
