//! Which agents a record of the state concerns.
//!
//! An agent needs the accounts of jobs that have a run at its worker, and little else. What doesn't
//! concern it isn't sent to it: at an entry with a small link, the accounts of large jobs for every
//! agent would delay the orders that they carry.

use std::collections::BTreeSet;
use std::rc::Rc;

use crate::job::{NodeName, TaskId};
use crate::keys::{account_job, plan_key, split_worker_key};
use crate::parts::tasks_from;
use crate::plan::JobPlan;
use crate::record::{KeyedRecord, Member, Record};
use crate::table::JobTable;

/// About how many bytes a kept record takes beside its own: its place, its recipients and what they point to.
const KEEPING_OVERHEAD: usize = 200;

/// Whom a record concerns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Recipients {
    /// Every process.
    #[default]
    All,
    /// The agents beside these workers.
    Agents(BTreeSet<NodeName>),
}

impl Recipients {
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
pub struct AddressedRecord {
    /// The record.
    pub record: Rc<KeyedRecord>,
    /// Whom it concerns.
    pub recipients: Recipients,
    /// For an account: the job that it is of, and the agents that haven't had it yet.
    pub attached_job: Option<AttachedJob>,
}

impl AddressedRecord {
    /// Makes a record that concerns every process.
    #[must_use]
    pub fn for_all(record: KeyedRecord) -> Self {
        Self { record: Rc::new(record), recipients: Recipients::All, attached_job: None }
    }

    /// Returns about how many bytes it takes to keep.
    #[must_use]
    pub fn size(&self) -> usize {
        let job = self.attached_job.as_ref().map_or(0, |attached_job| attached_job.job.size());
        KEEPING_OVERHEAD + self.record.size() + job
    }

    /// Iterates over what an agent needs of it, the job before its account.
    pub fn records_for(&self, agent: &str) -> impl Iterator<Item = KeyedRecord> + use<> {
        let attached_job = self.attached_job.as_ref().filter(|intro| intro.agents.includes(agent));
        let job = attached_job.map(|attached_job| attached_job.job.clone());
        let record = self.recipients.includes(agent).then(|| self.record.as_ref().clone());
        job.into_iter().chain(record)
    }
}

/// A job that is sent along with its account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttachedJob {
    /// The job's record.
    pub job: KeyedRecord,
    /// The agents that get it: their workers had no run of it before.
    pub agents: Recipients,
}

/// Whom the value of a key concerns.
#[derive(Clone, Debug, Default)]
struct Concerned {
    /// The agents that are known.
    agents: BTreeSet<NodeName>,
    /// Whether it concerns an agent besides that isn't known.
    others: bool,
}

impl Concerned {
    fn extend(&mut self, agent: Option<&NodeName>) {
        match agent {
            Some(agent) => {
                self.agents.insert(agent.clone());
            }
            None => self.others = true,
        }
    }
}

impl JobTable {
    /// Takes in one record, and tells whom it concerns: the agents that its value concerned before,
    /// and those that it concerns now. What concerns a worker that is gone is passed on to its agent still, or
    /// to all where it isn't known: an agent that isn't told that its run was given up goes on with it.
    pub fn apply_and_address(&mut self, record: &KeyedRecord) -> AddressedRecord {
        let before = self.concerned(&record.key);
        self.apply(record);
        let after = self.concerned(&record.key);
        let (Some(before), Some(after)) = (before, after) else {
            return AddressedRecord::for_all(record.clone());
        };
        let attached_job = self.attached_job(&record.key, &before, &after);
        let recipients = if before.others || after.others {
            Recipients::All
        } else {
            Recipients::Agents(before.agents.into_iter().chain(after.agents).collect())
        };
        AddressedRecord { record: Rc::new(record.clone()), recipients, attached_job }
    }

    /// Returns whether an agent that begins to follow needs the record under a key: the job before its account, and
    /// of all processes those that it may read through.
    #[must_use]
    pub fn concerns(&self, key: &str, agent: &str) -> bool {
        match key.split_once('/') {
            Some(("job", id)) => self.includes_agent(&plan_key(id), agent),
            Some(("member", name)) => {
                let any_ample = || self.members.values().any(Member::is_well_provisioned_relay);
                let is_read_through = |member: &Member| {
                    member.is_well_provisioned_relay() || (member.passes_on && !any_ample())
                };
                name == agent || self.members.get(name).is_some_and(is_read_through)
            }
            _ => self.includes_agent(key, agent),
        }
    }

    fn includes_agent(&self, key: &str, agent: &str) -> bool {
        let concerned = self.concerned(key);
        concerned.is_none_or(|concerned| concerned.others || concerned.agents.contains(agent))
    }

    fn attached_job(
        &self,
        key: &str,
        before: &Concerned,
        after: &Concerned,
    ) -> Option<AttachedJob> {
        let job = self.jobs.get(account_job(key)?)?;
        let new: BTreeSet<NodeName> = after.agents.difference(&before.agents).cloned().collect();
        let agents = if after.others { Recipients::All } else { Recipients::Agents(new) };
        if agents == Recipients::Agents(BTreeSet::new()) {
            return None;
        }
        let job = Record::Submitted(Box::new(job.submission.as_ref().clone())).encode();
        Some(AttachedJob { job, agents })
    }

    /// Returns the agents that the present value of a key concerns; `None` for all processes.
    fn concerned(&self, key: &str) -> Option<Concerned> {
        let (kind, name) = key.split_once('/')?;
        let mut concerned = Concerned::default();
        match kind {
            // New jobs and removals go to all; what an agent has, it isn't sent again.
            "job" if self.jobs.contains_key(name) => {}
            "plan" => {
                let plan = self.jobs.get(name).and_then(|job| job.plan.as_deref());
                let workers = plan.into_iter().flat_map(JobPlan::workers);
                workers.for_each(|instance| concerned.extend(self.agent_of(instance)));
            }
            "part" => {
                let first: TaskId = name.parse().ok()?;
                let plan = self.jobs.get(&first.job).and_then(|job| job.plan.as_deref());
                let tasks = plan.into_iter().flat_map(|plan| tasks_from(plan, &first));
                let tasks = tasks.filter(|task| task.may_be_running());
                tasks.for_each(|task| concerned.extend(self.agent_of(&task.instance)));
            }
            "end" | "refusal" => {
                let end = self.ends.get(key).into_iter();
                end.for_each(|end| concerned.extend(self.agent_of(&end.instance)));
            }
            // Only whoever leads goes by them.
            "life" | "losses" => {}
            // Agents don't read through each other: passed on to all of them, their addresses would grow with the
            // square of the fleet.
            "member" if self.members.get(name).is_none_or(|member| !member.passes_on) => {
                concerned.agents.insert(name.to_owned());
            }
            "over" => concerned.agents.extend(self.agent_of(name).cloned()),
            "worker" => {
                let (instance, _) = split_worker_key(key);
                concerned.agents.extend(self.agent_of(instance).cloned());
            }
            _ => return None,
        }
        Some(concerned)
    }
}
