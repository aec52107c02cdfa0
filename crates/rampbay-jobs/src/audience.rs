//! Which agents a record of the state concerns.
//!
//! An agent needs the accounts of jobs that have a run at its worker, and little else. What doesn't
//! concern it isn't sent to it: at an entry with a small link, the accounts of large jobs for every
//! agent would delay the orders that they carry.

use std::collections::BTreeSet;

use crate::job::NodeName;
use crate::record::{JobPlan, KeyedRecord, Record, TaskPlan, split_worker_name};
use crate::table::JobTable;

/// Whom a record concerns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Audience {
    /// Every process.
    #[default]
    All,
    /// The agents beside these workers.
    Agents(BTreeSet<NodeName>),
}

impl Audience {
    /// Returns whether an agent needs the record.
    #[must_use]
    pub fn includes(&self, agent: &str) -> bool {
        match self {
            Self::All => true,
            Self::Agents(nodes) => nodes.contains(agent),
        }
    }
}

/// A record that was taken in, and whom to pass it on to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Passed {
    /// The record.
    pub record: KeyedRecord,
    /// Whom it concerns.
    pub audience: Audience,
    /// For an account: the job that it is of, and the agents that haven't had it yet.
    pub introduction: Option<Introduction>,
}

impl Passed {
    /// Makes a record that concerns every process.
    #[must_use]
    pub const fn to_all(record: KeyedRecord) -> Self {
        Self { record, audience: Audience::All, introduction: None }
    }

    /// Iterates over what an agent needs of it, the job before its account.
    pub fn records_for(&self, agent: &str) -> impl Iterator<Item = KeyedRecord> + use<> {
        let introduction = self.introduction.as_ref().filter(|intro| intro.agents.contains(agent));
        let job = introduction.map(|introduction| introduction.job.clone());
        let record = self.audience.includes(agent).then(|| self.record.clone());
        job.into_iter().chain(record)
    }
}

/// A job that is sent along with its account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Introduction {
    /// The job's record.
    pub job: KeyedRecord,
    /// The agents that get it: their workers had no run of it before.
    pub agents: BTreeSet<NodeName>,
}

impl JobTable {
    /// Takes in one record, and tells whom it concerns: the agents that its value concerned before,
    /// and those that it concerns now.
    pub fn apply_and_tell(&mut self, record: &KeyedRecord) -> Passed {
        let before = self.concerned(&record.key);
        self.apply(record);
        let after = self.concerned(&record.key);
        let (Some(before), Some(after)) = (before, after) else {
            return Passed::to_all(record.clone());
        };
        let introduction = self.introduction(&record.key, &before, &after);
        let audience = Audience::Agents(before.into_iter().chain(after).collect());
        Passed { record: record.clone(), audience, introduction }
    }

    fn introduction(
        &self,
        key: &str,
        before: &BTreeSet<NodeName>,
        after: &BTreeSet<NodeName>,
    ) -> Option<Introduction> {
        let job = self.jobs.get(key.strip_prefix("plan/")?)?;
        let agents: BTreeSet<NodeName> = after.difference(before).cloned().collect();
        if agents.is_empty() {
            return None;
        }
        let job = Record::Submitted(Box::new(job.submission.as_ref().clone())).encode();
        Some(Introduction { job, agents })
    }

    /// Returns the agents that the present value of a key concerns; `None` for all processes.
    fn concerned(&self, key: &str) -> Option<BTreeSet<NodeName>> {
        let (kind, name) = key.split_once('/')?;
        match kind {
            // An agent gets a job with the first account that concerns it, and all removals.
            "job" => self.jobs.contains_key(name).then(BTreeSet::new),
            "plan" => {
                let plan = self.jobs.get(name).and_then(|job| job.plan.as_deref());
                Some(plan.map(|plan| self.agents_of(plan)).unwrap_or_default())
            }
            "end" | "refusal" => {
                let end = self.ends.get(key);
                Some(end.and_then(|end| self.agent_of(&end.instance)).into_iter().collect())
            }
            "worker" => Some(self.agent_of(split_worker_name(name).0).into_iter().collect()),
            _ => None,
        }
    }

    fn agents_of(&self, plan: &JobPlan) -> BTreeSet<NodeName> {
        let tasks = plan.open.iter().flat_map(|open| open.steps.iter().flatten());
        let occupying = tasks.filter(|task| TaskPlan::occupies(task));
        occupying.filter_map(|task| self.agent_of(&task.instance)).collect()
    }

    fn agent_of(&self, instance: &str) -> Option<NodeName> {
        self.workers.get(instance).map(|worker| worker.node.clone())
    }
}
