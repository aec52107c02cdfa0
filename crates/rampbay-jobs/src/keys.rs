//! The keys under which the state is kept.
//!
//! A call that got no answer may be carried out seconds later. The keys of records that several processes write without
//! coordination end with a number, so that a late copy affects only the record that it was sent for.

use crate::cancel::CancelNumber;
use crate::job::TaskId;
use crate::record::{EndReason, RunEnd};
use crate::registrations::RegistrationNumber;
use crate::upkeep::wave::WaveNumber;

/// Key of the leader's timers.
pub const TIMERS_KEY: &str = "timers";
/// Start of the name of the timer after which cancellations without jobs are removed. It ends with the highest number of
/// the cancellations that the timer covers.
pub const STRAY_CANCELS_TIMER: &str = "early_cancels/";

/// Returns the key of a run's end. A start that failed has a key of its own, so that its record can't
/// replace an end that was reported before.
#[must_use]
pub fn end_key(end: &RunEnd) -> String {
    let kind = if end.reason == EndReason::NotStarted { "refusal" } else { "end" };
    format!("{kind}/{}/{}", end.task, end.attempt)
}

/// Returns the key of a start that failed, as the agent reports it under a registration of its worker.
#[must_use]
pub fn refusal_key(end: &RunEnd, registration: RegistrationNumber) -> String {
    numbered(end_key(end), registration)
}

/// Splits the key of a refusal into its run's key and the registration under which it was reported.
#[must_use]
pub fn split_refusal_key(key: &str) -> (&str, RegistrationNumber) {
    // The number follows the kind, the task and the attempt.
    let is_numbered = key.split('/').count() > 3;
    if is_numbered { split_number(key) } else { (key, 0) }
}

/// Returns the key of a worker's registration.
#[must_use]
pub fn worker_key(instance: &str, registration: RegistrationNumber) -> String {
    numbered(format!("worker/{instance}"), registration)
}

/// Returns the key under which the end of a worker's registrations is kept.
#[must_use]
pub fn registrations_end_key(instance: &str) -> String {
    format!("over/{instance}")
}

/// Returns the key of the record of how an incarnation of a worker ended.
#[must_use]
pub fn life_key(instance: &str) -> String {
    format!("life/{instance}")
}

/// Returns the key of a job's plan.
#[must_use]
pub fn plan_key(job: &str) -> String {
    format!("plan/{job}")
}

/// Returns the key of the part of a plan that starts with a task.
#[must_use]
pub fn part_key(first: &TaskId) -> String {
    format!("part/{first}")
}

/// Returns the job whose plan, or a part of it, is kept under a key; `None` for any other key.
#[must_use]
pub fn plan_job(key: &str) -> Option<&str> {
    let part = || key.strip_prefix("part/")?.split_once('.').map(|(job, _)| job);
    key.strip_prefix("plan/").or_else(part)
}

/// Returns the job or the worker that the record under a key is about; `None` if it is about neither.
#[must_use]
pub fn subject(key: &str) -> Option<&str> {
    let (kind, name) = key.split_once('/')?;
    match kind {
        "job" | "cancel" | "losses" | "over" | "life" => Some(name),
        "early_cancel" => Some(split_number(name).0),
        "plan" | "part" => plan_job(key),
        "worker" | "evicted" | "stopped" | "suspected" => Some(split_worker_key(key).0),
        _ => None,
    }
}

/// Returns the key of the cancellation of a job that was known where it was cancelled.
#[must_use]
pub fn cancel_key(job: &str) -> String {
    format!("cancel/{job}")
}

/// Returns the key of the cancellation of a job that wasn't known where it was cancelled.
#[must_use]
pub fn early_cancel_key(job: &str, number: CancelNumber) -> String {
    format!("early_cancel/{job}/{number}")
}

/// Returns the key of the runs that a job has lost.
#[must_use]
pub fn losses_key(job: &str) -> String {
    format!("losses/{job}")
}

/// Returns the key of a start that got no answer.
#[must_use]
pub fn unanswered_key(task: &TaskId, attempt: u32) -> String {
    format!("unanswered/{task}/{attempt}")
}

/// Returns the run whose start got no answer, from the part of its key after the kind.
#[must_use]
pub fn split_unanswered_name(name: &str) -> Option<(TaskId, u32)> {
    let (task, attempt) = name.split_once('/')?;
    Some((task.parse().ok()?, attempt.parse().ok()?))
}

/// Returns the key of what is kept of a wave of machine maintenance.
#[must_use]
pub fn upkeep_key(wave: WaveNumber) -> String {
    format!("upkeep/{wave}")
}

/// Splits the key of a registration, an eviction, a stop or a suspicion into the worker's id and the number.
#[must_use]
pub fn split_worker_key(key: &str) -> (&str, RegistrationNumber) {
    const KINDS: [&str; 4] = ["worker/", "evicted/", "stopped/", "suspected/"];
    let rest = KINDS.iter().find_map(|kind| key.strip_prefix(kind));
    split_number(rest.unwrap_or(key))
}

fn numbered(key: String, number: RegistrationNumber) -> String {
    if number == 0 { key } else { format!("{key}/{number}") }
}

/// Splits a number off the end of a key; 0 if there is none.
pub(crate) fn split_number(text: &str) -> (&str, RegistrationNumber) {
    let split = text.rsplit_once('/');
    let numbered = split.and_then(|(rest, number)| Some((rest, number.parse().ok()?)));
    numbered.unwrap_or((text, 0))
}

/// Returns the key of the eviction of a worker under a registration.
#[must_use]
pub fn eviction_key(instance: &str, registration: RegistrationNumber) -> String {
    numbered(format!("evicted/{instance}"), registration)
}

/// Returns the key of the stop of the agent's process that registered a worker.
#[must_use]
pub fn stop_key(instance: &str, registration: RegistrationNumber) -> String {
    numbered(format!("stopped/{instance}"), registration)
}

/// Returns the key of the suspicion of a worker under a registration.
#[must_use]
pub fn suspicion_key(instance: &str, registration: RegistrationNumber) -> String {
    numbered(format!("suspected/{instance}"), registration)
}
