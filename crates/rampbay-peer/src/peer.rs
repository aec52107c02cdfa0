//! The store, and what a peer follows of it, as one peer passes them on.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::job::NodeName;
use rampbay_jobs::record::{KeyedRecord, Member};
use rampbay_jobs::store::{
    AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store,
};
use tokio::time::Instant;

use crate::client::CallError;
use crate::gateway::GatewayPeer;
use crate::protocol::{StoreReply, StoreRequest};
use crate::transport::Transport;

/// Longest time for an answer that needn't wait at the store: a peer's own call, and the way there.
const CALL_TIMEOUT: Duration = Duration::from_millis(2300);
/// Longest time of an append through a gateway: more than the outages of the store that are worth
/// waiting for. Until then the gateway is pinged.
const GATEWAY_TIMEOUT: Duration = Duration::from_secs(12);
/// Longest time for the answer to a ping, or to reports: a process that takes longer is frozen, cut off or gone.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for the state as a whole: the peer asks the store first, and a state of some megabytes goes over a
/// link of 20 Mbit/s.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Added to a read's wait at the store.
const READ_SLACK: Duration = Duration::from_millis(950);
/// Added to the wait for records that a peer follows itself.
const TAIL_SLACK: Duration = Duration::from_millis(200);

/// The store as one peer reaches it.
#[derive(Clone)]
pub struct PeerStore {
    transport: Rc<dyn Transport>,
    address: String,
    /// Whether the peer gathers appends and sees to them itself.
    is_gateway: bool,
}

impl PeerStore {
    /// Makes a client of the peer at an address.
    #[must_use]
    pub fn new(transport: Rc<dyn Transport>, address: String) -> Self {
        Self { transport, address, is_gateway: false }
    }

    /// Returns where the peer is reached, `IP:PORT`.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Gives the peer the time that it needs to see to an append itself.
    #[must_use]
    pub fn as_gateway(mut self) -> Self {
        self.is_gateway = true;
        self
    }

    /// Reads records of a topic that the peer follows itself: all, or those that an agent needs.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer can't be reached or doesn't keep them.
    pub async fn tail(
        &self,
        topic: &str,
        from: Offset,
        wait: Duration,
        agent: Option<NodeName>,
    ) -> Result<Batch, ReadError> {
        let wait_ms = wait.as_millis() as u64;
        let is_partial = agent.is_some();
        let request = StoreRequest::Tail { topic: topic.to_owned(), from, wait_ms, agent };
        let batch = self.call_to_read(&request, wait_ms, wait + TAIL_SLACK).await?;
        Ok(Batch { is_partial, ..batch })
    }

    /// Reads the newest record of each key of the state that the peer follows: all, or those that an agent needs.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer can't be reached, or doesn't know the state well enough.
    pub async fn snapshot(&self, agent: Option<NodeName>) -> Result<Snapshot, ReadError> {
        match self.call(&StoreRequest::Snapshot { agent }, SNAPSHOT_TIMEOUT).await {
            Ok(StoreReply::Newest(outcome)) => outcome,
            _ => Err(ReadError::Unavailable),
        }
    }

    /// Lists the entries that the peer knows to read through; none if it can't be reached.
    pub async fn entries(&self) -> Vec<Member> {
        match self.call(&StoreRequest::Entries, PING_TIMEOUT).await {
            Ok(StoreReply::Entries(entries)) => entries,
            _ => Vec::new(),
        }
    }

    /// Makes a call that reads. What it proves counts from when it was sent, and by the wait that was
    /// sent: the peer may be stopped at any moment between.
    async fn call_to_read(
        &self,
        request: &StoreRequest,
        wait_ms: u64,
        timeout: Duration,
    ) -> Result<Batch, ReadError> {
        let sent = Instant::now();
        match self.call(request, timeout).await {
            Ok(StoreReply::Read(outcome)) => {
                outcome.map(|batch| batch.after_wait(sent, Duration::from_millis(wait_ms)))
            }
            _ => Err(ReadError::Unavailable),
        }
    }

    async fn call(
        &self,
        request: &StoreRequest,
        timeout: Duration,
    ) -> Result<StoreReply, CallError> {
        self.transport.call(&self.address, request, timeout).await
    }
}

#[async_trait(?Send)]
impl Store for PeerStore {
    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        let (topic, records) = (topic.to_owned(), records.to_vec());
        let gathers = self.is_gateway && fence.is_none();
        let (request, timeout) = if gathers {
            (StoreRequest::Gather { topic, records }, GATEWAY_TIMEOUT)
        } else {
            (StoreRequest::Append { topic, records, fence: fence.cloned() }, CALL_TIMEOUT)
        };
        match self.call(&request, timeout).await {
            Ok(StoreReply::Append(outcome)) => outcome,
            Err(CallError::NotSent | CallError::Refused) => Err(AppendError::Refused),
            Ok(_) | Err(CallError::NoAnswer) => Err(AppendError::Unknown),
        }
    }

    async fn report(&self, reports: &[KeyedRecord]) -> Result<(), AppendError> {
        let request = StoreRequest::Report { reports: reports.to_vec() };
        match self.call(&request, PING_TIMEOUT).await {
            Ok(StoreReply::Report(outcome)) => outcome,
            Ok(_) | Err(_) => Err(AppendError::Unknown),
        }
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let wait_ms = wait.as_millis() as u64;
        let request = StoreRequest::Read { topic: topic.to_owned(), from, wait_ms };
        self.call_to_read(&request, wait_ms, wait + READ_SLACK).await
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        let request = StoreRequest::Newest { topic: topic.to_owned() };
        match self.call(&request, CALL_TIMEOUT + READ_SLACK).await {
            Ok(StoreReply::Newest(outcome)) => outcome,
            _ => Err(ReadError::Unavailable),
        }
    }

    async fn stand_for_election(
        &self,
        member: &str,
        generation: u64,
    ) -> Result<Candidacy, ReadError> {
        let request = StoreRequest::Stand { member: member.to_owned(), generation };
        match self.call(&request, CALL_TIMEOUT).await {
            Ok(StoreReply::Stand(outcome)) => outcome,
            _ => Err(ReadError::Unavailable),
        }
    }

    async fn resign(&self, member: &str) {
        let request = StoreRequest::Resign { member: member.to_owned() };
        let _ = self.call(&request, CALL_TIMEOUT).await;
    }

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        match self.call(&StoreRequest::Holder, CALL_TIMEOUT).await {
            Ok(StoreReply::Holder(outcome)) => outcome,
            _ => Err(ReadError::Unavailable),
        }
    }
}

#[async_trait(?Send)]
impl GatewayPeer for PeerStore {
    fn name(&self) -> &str {
        &self.address
    }

    async fn responds(&self) -> bool {
        matches!(self.call(&StoreRequest::Ping, PING_TIMEOUT).await, Ok(StoreReply::Pong))
    }
}
