//! What the processes of a fleet ask of the store and of each other.

use std::cell::RefCell;
use std::collections::BTreeMap;

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// An entry with a good share of a core and a wide link.
    AmpleEntry,
    /// An entry with little room.
    SmallEntry,
    /// The agent beside a worker.
    Agent,
}

impl Role {
    /// Returns its name in tables.
    #[must_use]
    pub const fn word(self) -> &'static str {
        match self {
            Self::AmpleEntry => "ample entry",
            Self::SmallEntry => "small entry",
            Self::Agent => "agent",
        }
    }
}

/// What a call to the store is for.
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
    /// A call to lead, or to go on leading.
    Stand,
    /// A question who leads, which also shows whether the store answers.
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

    /// Returns its name in tables.
    #[must_use]
    pub const fn word(self) -> &'static str {
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

/// Calls and bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of calls.
    pub calls: u64,
    /// Bytes both ways.
    pub bytes: u64,
}

impl Traffic {
    fn add(&mut self, bytes: usize) {
        self.calls += 1;
        self.bytes += bytes as u64;
    }
}

/// Everything that was counted since the last [`Load::take`].
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Calls to the store.
    pub store: BTreeMap<(Role, Purpose), Traffic>,
    /// Calls that each process answered for its peers, by its name.
    pub served: BTreeMap<String, Traffic>,
}

impl Counts {
    /// Returns the calls to the store for a purpose.
    #[must_use]
    pub fn calls_for(&self, purpose: Purpose) -> u64 {
        let of_purpose = self.store.iter().filter(|((_, found), _)| *found == purpose);
        of_purpose.map(|(_, traffic)| traffic.calls).sum()
    }

    /// Returns all calls to the store.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.store.values().map(|traffic| traffic.calls).sum()
    }

    /// Returns all bytes to and from the store.
    #[must_use]
    pub fn store_bytes(&self) -> u64 {
        self.store.values().map(|traffic| traffic.bytes).sum()
    }

    /// Returns all bytes that processes passed on to their peers.
    #[must_use]
    pub fn passed_bytes(&self) -> u64 {
        self.served.values().map(|traffic| traffic.bytes).sum()
    }

    /// Returns what the process did that answered most calls of its peers.
    #[must_use]
    pub fn busiest(&self) -> Traffic {
        self.served.values().copied().max_by_key(|traffic| traffic.calls).unwrap_or_default()
    }

    /// Returns what the process did that passed most bytes on to its peers.
    #[must_use]
    pub fn widest(&self) -> Traffic {
        self.served.values().copied().max_by_key(|traffic| traffic.bytes).unwrap_or_default()
    }
}

/// Counts calls.
#[derive(Debug, Default)]
pub struct Load(RefCell<Counts>);

impl Load {
    /// Counts a call to the store.
    pub fn note_store(&self, role: Role, purpose: Purpose, bytes: usize) {
        self.0.borrow_mut().store.entry((role, purpose)).or_default().add(bytes);
    }

    /// Counts a call that a process answered for a peer.
    pub fn note_served(&self, node: &str, bytes: usize) {
        self.0.borrow_mut().served.entry(node.to_owned()).or_default().add(bytes);
    }

    /// Returns what was counted, and begins anew.
    pub fn take(&self) -> Counts {
        self.0.take()
    }
}
