//! How a job is stored, so that releases read each other's records.
//!
//! The encoding has neither names nor lengths of fields, so a field added to a step would make the records of other releases
//! unreadable. Later fields of steps follow the job instead, as one list for each field. Earlier releases ignore what
//! follows a job; where nothing follows, the fields have their defaults.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::{Step, Submission};

/// The later fields of all steps of a job.
#[derive(Default, Serialize)]
struct LaterFields {
    optional: Vec<Option<u32>>,
}

impl<'de> Deserialize<'de> for LaterFields {
    /// Reads the lists. One that is missing, in a record of an earlier release, is empty.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let optional = Vec::deserialize(deserializer).unwrap_or_default();
        Ok(Self { optional })
    }
}

fn has_later_fields(step: &Step) -> bool {
    step.optional.is_some()
}

/// Writes a job. Nothing follows it if the later fields of its steps have their defaults.
///
/// # Errors
///
/// Returns an error if the serializer does.
pub fn serialize<S: Serializer>(job: &Submission, serializer: S) -> Result<S::Ok, S::Error> {
    if !job.steps.iter().any(has_later_fields) {
        return job.serialize(serializer);
    }
    let optional = job.steps.iter().map(|step| step.optional).collect();
    (job, LaterFields { optional }).serialize(serializer)
}

/// Reads a job.
///
/// # Errors
///
/// Returns an error if the job can't be read.
pub fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Box<Submission>, D::Error> {
    let (mut job, later) = <(Box<Submission>, LaterFields)>::deserialize(deserializer)?;
    for (step, optional) in job.steps.iter_mut().zip(later.optional) {
        step.optional = optional;
    }
    Ok(job)
}
