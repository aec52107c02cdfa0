//! The messages between peers: the operations of the store, and pings.

use rampbay_jobs::bounded;
use rampbay_jobs::job::NodeName;
use rampbay_jobs::record::{KeyedRecord, Member};
use rampbay_jobs::store::{AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot};
use serde::{Deserialize, Serialize};

/// A request to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreRequest {
    /// See [`Store::append`](rampbay_jobs::store::Store::append).
    Append {
        /// Topic.
        topic: String,
        /// Records.
        #[serde(deserialize_with = "bounded::deserialize::<MAX_RECORDS, _, _>")]
        records: Vec<KeyedRecord>,
        /// Fence, if the writer has one.
        fence: Option<Fence>,
    },
    /// See [`Store::append`](rampbay_jobs::store::Store::append): batched with the appends of other
    /// processes, over any path of the peer.
    Gather {
        /// Topic.
        topic: String,
        /// Records.
        #[serde(deserialize_with = "bounded::deserialize::<MAX_RECORDS, _, _>")]
        records: Vec<KeyedRecord>,
    },
    /// See [`Store::read`](rampbay_jobs::store::Store::read).
    Read {
        /// Topic.
        topic: String,
        /// Offset.
        from: Offset,
        /// Longest wait, in milliseconds.
        wait_ms: u64,
    },
    /// See [`Freshness::pass_on`](rampbay_jobs::freshness::Freshness::pass_on).
    Tail {
        /// Topic.
        topic: String,
        /// Offset.
        from: Offset,
        /// Longest wait, in milliseconds.
        wait_ms: u64,
        /// The agent that reads, to get only the records that concern it; `None` for all records.
        agent: Option<NodeName>,
    },
    /// See [`Store::newest`](rampbay_jobs::store::Store::newest).
    Newest {
        /// Topic.
        topic: String,
    },
    /// See [`Store::stand_for_election`](rampbay_jobs::store::Store::stand_for_election).
    Stand {
        /// Candidate.
        member: String,
        /// Generation of the group that the candidate last got.
        generation: u64,
    },
    /// See [`Store::holder`](rampbay_jobs::store::Store::holder).
    Holder,
    /// See [`GatewayPeer::responds`](crate::gateway::GatewayPeer::responds).
    Ping,
    /// See [`Store::resign`](rampbay_jobs::store::Store::resign).
    Resign {
        /// Candidate.
        member: String,
    },
    /// See [`Snapshots::take`](crate::snapshots::Snapshots::take).
    Snapshot {
        /// The agent that reads, to get only the records that concern it; `None` for all records.
        agent: Option<NodeName>,
    },
    /// See [`Snapshots::entries`](crate::snapshots::Snapshots::entries).
    Entries,
    /// See [`Store::report`](rampbay_jobs::store::Store::report): batched with the reports of other
    /// processes.
    Report {
        /// The reports.
        #[serde(deserialize_with = "bounded::deserialize::<MAX_RECORDS, _, _>")]
        reports: Vec<KeyedRecord>,
    },
}

impl StoreRequest {
    /// Returns about how much memory the records of the request take, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        match self {
            Self::Append { records, .. }
            | Self::Gather { records, .. }
            | Self::Report { reports: records } => {
                let sizes: usize = records.iter().map(KeyedRecord::size).sum();
                size_of_val(records.as_slice()) + sizes
            }
            _ => 0,
        }
    }
}

/// Largest number of records in a request. The store takes 2 MiB at once, in which each would have
/// 32 bytes; the removal of one takes about as many. An empty one takes two.
const MAX_RECORDS: usize = 64 << 10;
/// The reply to a request.
#[derive(Debug, Serialize, Deserialize)]
pub enum StoreReply {
    /// To an append.
    Append(Result<Offset, AppendError>),
    /// To a read.
    Read(Result<Batch, ReadError>),
    /// To a read of the newest record of each key.
    Newest(Result<Snapshot, ReadError>),
    /// To a candidacy.
    Stand(Result<Candidacy, ReadError>),
    /// To a query for the leader.
    Holder(Result<Option<NodeName>, ReadError>),
    /// To a ping.
    Pong,
    /// To a resignation.
    Resigned,
    /// To reports.
    Report(Result<(), AppendError>),
    /// To a query for the entries.
    Entries(Vec<Member>),
}
