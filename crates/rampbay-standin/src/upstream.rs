//! A stand-in for an upstream: it waits for the time that a request asks for and derives the answer
//! from the request's job and body.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use rampbay_platform::upstream::{Upstream, UpstreamAnswer, UpstreamError, UpstreamRequest};
use serde::{Deserialize, Serialize};

use crate::faults::{Faults, lock};

/// What the upstream observed; tests check against these counts.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// How often each job was started.
    pub starts: HashMap<String, u32>,
    /// How often each job was finished.
    pub finishes: HashMap<String, u32>,
    /// Requests in progress now.
    pub busy: u32,
    /// Most requests that were in progress at once.
    pub most_busy: u32,
}

/// The upstream in memory.
#[derive(Debug, Default)]
pub struct UpstreamModel {
    record: Mutex<UpstreamRecord>,
    /// Faults of the upstream.
    pub faults: Faults,
}

/// Prefix of a body that sets the time of the work: the milliseconds follow as digits.
pub const WORK_PREFIX: &str = "work_ms=";

/// Returns the time of the work that a body asks for; zero without [`WORK_PREFIX`].
#[must_use]
pub fn work_time(body: &[u8]) -> Duration {
    let text = body.strip_prefix(WORK_PREFIX.as_bytes()).unwrap_or_default();
    let digits = text.iter().take_while(|byte| byte.is_ascii_digit()).count();
    let millis = std::str::from_utf8(&text[..digits]).ok().and_then(|text| text.parse().ok());
    Duration::from_millis(millis.unwrap_or(0))
}

/// Returns the answer that belongs to a job and its body, and to no other.
#[must_use]
pub fn answer_for(job: &str, body: &[u8]) -> Bytes {
    let digest = rapidhash::v3::rapidhash_v3(body);
    let mut answer = format!("job={job} digest={digest:016x}\n").into_bytes();
    answer.extend(body.iter().rev());
    answer.into()
}

impl UpstreamModel {
    /// Returns what the upstream observed so far.
    #[must_use]
    pub fn record(&self) -> UpstreamRecord {
        lock(&self.record).clone()
    }

    /// Handles a request, subject to the faults that are on.
    ///
    /// # Errors
    ///
    /// Returns the fault that affected the request.
    pub async fn work(&self, job: &str, body: &[u8]) -> Result<Bytes, UpstreamError> {
        let faults = self.faults.get();
        if faults.down {
            return Err(UpstreamError::Refused("down".into()));
        }
        let _in_progress = InProgress::start(&self.record, job);
        tokio::time::sleep(work_time(body)).await;
        self.faults.pause().await;
        *lock(&self.record).finishes.entry(job.to_owned()).or_default() += 1;
        if self.faults.hits(faults.fail_percent) {
            return Err(UpstreamError::ServerError(500));
        }
        if self.faults.hits(faults.cut_percent) {
            return Err(UpstreamError::Cut("cut".into()));
        }
        Ok(answer_for(job, body))
    }
}

/// Counts a request as in progress until it is dropped.
struct InProgress<'a> {
    record: &'a Mutex<UpstreamRecord>,
}

impl<'a> InProgress<'a> {
    fn start(record: &'a Mutex<UpstreamRecord>, job: &str) -> Self {
        let mut inner = lock(record);
        *inner.starts.entry(job.to_owned()).or_default() += 1;
        inner.busy += 1;
        inner.most_busy = inner.most_busy.max(inner.busy);
        Self { record }
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        lock(self.record).busy -= 1;
    }
}

#[async_trait]
impl Upstream for UpstreamModel {
    async fn run(&self, req: UpstreamRequest) -> Result<UpstreamAnswer, UpstreamError> {
        let work = self.work(&req.job, &req.body);
        let body = tokio::time::timeout(req.timeout, work)
            .await
            .map_err(|_| UpstreamError::TimedOut)??;
        if body.len() > req.max_answer {
            return Err(UpstreamError::TooLarge);
        }
        Ok(UpstreamAnswer { status: 200, body })
    }
}
