//! What peers ask of each other: the store's operations, as messages.

use rampbay_jobs::job::NodeName;
use rampbay_jobs::record::{KeyedRecord, Member};
use rampbay_jobs::store::{AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot};
use serde::{Deserialize, Serialize};

/// An operation on the store that a peer is asked for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreRequest {
    /// See [`Store::append`](rampbay_jobs::store::Store::append).
    Append {
        /// Topic.
        topic: String,
        /// Records.
        records: Vec<KeyedRecord>,
        /// Fence, if the writer has one.
        fence: Option<Fence>,
    },
    /// See [`Store::append`](rampbay_jobs::store::Store::append): gathered with those of others, over all ways of the peer.
    Gather {
        /// Topic.
        topic: String,
        /// Records.
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
        /// The agent that asks, for the records that it needs; none for all.
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
        /// Generation heard last.
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
        /// The agent that asks, for the records that it needs; none for all.
        agent: Option<NodeName>,
    },
    /// See [`Snapshots::entries`](crate::snapshots::Snapshots::entries).
    Entries,
    /// See [`Store::report`](rampbay_jobs::store::Store::report): gathered with those of others.
    Report {
        /// The reports.
        reports: Vec<KeyedRecord>,
    },
}

/// What came of an operation.
#[derive(Debug, Serialize, Deserialize)]
pub enum StoreReply {
    /// Of an append.
    Append(Result<Offset, AppendError>),
    /// Of a read.
    Read(Result<Batch, ReadError>),
    /// Of a read of the newest records.
    Newest(Result<Snapshot, ReadError>),
    /// Of a candidacy.
    Stand(Result<Candidacy, ReadError>),
    /// Of a question who leads.
    Holder(Result<Option<NodeName>, ReadError>),
    /// Of a ping.
    Pong,
    /// Of a resignation.
    Resigned,
    /// Of reports.
    Report(Result<(), AppendError>),
    /// Of a question for the entries.
    Entries(Vec<Member>),
}
