//! The keys under which the state is kept.
//!
//! A call without answer may be carried out seconds later. Keys of what processes write without an order among them have a
//! number besides, so that a late copy concerns only what it was sent for.

use crate::job::TaskId;
use crate::record::{EndReason, RunEnd};
use crate::registrations::RegistrationNumber;

/// Returns the key of a run's end. A start that failed has a key of its own, so that it can't
/// hide an end that was reported before.
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
    // Before the number stand the kind, the task and the attempt.
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

/// Returns the key under which it is kept how a worker's life ended.
#[must_use]
pub fn life_key(instance: &str) -> String {
    format!("life/{instance}")
}

/// Returns the key of a job's account.
#[must_use]
pub fn plan_key(job: &str) -> String {
    format!("plan/{job}")
}

/// Returns the key of the part of an account that begins with a task.
#[must_use]
pub fn part_key(first: &TaskId) -> String {
    format!("part/{first}")
}

/// Returns the job whose account, or part of it, stands under a key; `None` under any other.
#[must_use]
pub fn account_job(key: &str) -> Option<&str> {
    let part = || key.strip_prefix("part/")?.split_once('.').map(|(job, _)| job);
    key.strip_prefix("plan/").or_else(part)
}

/// Returns the job or the worker that the record under a key is about; `None` where it is about neither.
#[must_use]
pub fn subject(key: &str) -> Option<&str> {
    let (kind, name) = key.split_once('/')?;
    match kind {
        "job" | "cancel" | "losses" | "over" | "life" => Some(name),
        "plan" | "part" => account_job(key),
        "worker" | "evicted" => Some(split_worker_key(key).0),
        _ => None,
    }
}

/// Returns the key of what a job has lost.
#[must_use]
pub fn losses_key(job: &str) -> String {
    format!("losses/{job}")
}

/// Splits the key of a registration, or of an eviction, into the worker's id and the number.
#[must_use]
pub fn split_worker_key(key: &str) -> (&str, RegistrationNumber) {
    let rest = key.strip_prefix("worker/").or_else(|| key.strip_prefix("evicted/"));
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
