//! Runs attempts at the upstream.

use std::{sync::Arc, time::Duration};

use rampbay_core::ids::JobId;
use rampbay_dispatch::message::{Answer, AttemptId, AttemptResult, Dispatch, Failure, NotRun};
use rampbay_platform::upstream::{Upstream, UpstreamError, UpstreamRequest};
use tokio::{sync::mpsc, task::AbortHandle};

/// An attempt that has ended.
#[derive(Debug)]
pub struct Done {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub result: AttemptResult,
}

/// Holds a slot of the upstream; dropping the guard reports the attempt's end, however it ended.
struct SlotGuard {
    done: Option<Done>,
    tx: mpsc::UnboundedSender<Done>,
}

impl SlotGuard {
    fn new(dispatch: &Dispatch, tx: mpsc::UnboundedSender<Done>) -> Self {
        let done = Done {
            job: dispatch.job.clone(),
            attempt: dispatch.attempt,
            result: AttemptResult::Failed(Failure::Stopped),
        };
        Self { done: Some(done), tx }
    }

    fn finish(mut self, result: AttemptResult) {
        if let Some(done) = &mut self.done {
            done.result = result;
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if let Some(done) = self.done.take() {
            // The receiver is dropped only when the process ends.
            let _ = self.tx.send(done);
        }
    }
}

/// Starts an attempt and sends its end to `tx`.
///
/// If the returned handle aborts the attempt, it ends as [`Failure::Stopped`].
pub fn start(
    upstream: Arc<dyn Upstream>,
    dispatch: Dispatch,
    max_answer: usize,
    tx: mpsc::UnboundedSender<Done>,
) -> AbortHandle {
    let guard = SlotGuard::new(&dispatch, tx);
    let task = tokio::spawn(async move {
        let req = UpstreamRequest {
            job: dispatch.job.clone(),
            attempt: dispatch.attempt.to_string(),
            workspace: dispatch.workspace.clone(),
            body: dispatch.body.clone(),
            timeout: Duration::from_millis(dispatch.finish_within_ms.max(1)),
            max_answer,
        };
        let result = match upstream.run(req).await {
            Ok(answer) => {
                AttemptResult::Answered(Answer { status: answer.status, body: answer.body })
            }
            Err(e) => result_of_error(&e),
        };
        guard.finish(result);
    });
    task.abort_handle()
}

fn result_of_error(e: &UpstreamError) -> AttemptResult {
    match e {
        UpstreamError::Refused(_) => AttemptResult::NotRun(NotRun::UpstreamRefused),
        UpstreamError::Cut(_) => AttemptResult::Failed(Failure::Cut),
        UpstreamError::ServerError(_) => AttemptResult::Failed(Failure::ServerError),
        UpstreamError::TimedOut => AttemptResult::Failed(Failure::TimedOut),
        UpstreamError::TooLarge => AttemptResult::Failed(Failure::TooLarge),
    }
}
