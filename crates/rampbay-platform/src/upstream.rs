//! The interface through which a side process calls its upstream.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use rampbay_core::ids::{JobId, WorkspaceId};
use thiserror::Error;

/// One call of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRequest {
    /// The job.
    pub job: JobId,
    /// The attempt, for the upstream's own records.
    pub attempt: String,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The caller's opaque body.
    pub body: Bytes,
    /// How much longer the caller waits for the answer.
    pub timeout: Duration,
    /// The largest answer that is accepted, in bytes.
    pub max_answer: usize,
}

/// An upstream's whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The whole body.
    pub body: Bytes,
}

/// Why there is no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UpstreamError {
    /// The connection was refused: nothing was sent.
    #[error("upstream refused the connection: {0}")]
    Refused(String),
    /// The connection broke before the whole answer was there.
    #[error("upstream broke off: {0}")]
    Cut(String),
    /// The upstream answered with a server error.
    #[error("upstream answered with status {0}")]
    ServerError(u16),
    /// The answer didn't come in time.
    #[error("upstream didn't answer in time")]
    TimedOut,
    /// The answer was larger than is allowed.
    #[error("upstream's answer is too large")]
    TooLarge,
}

/// An upstream.
#[async_trait]
pub trait Upstream: Send + Sync {
    /// Sends one request, without retries, and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// Only [`UpstreamError::Refused`] proves that nothing ran.
    async fn run(&self, req: UpstreamRequest) -> Result<UpstreamAnswer, UpstreamError>;
}
