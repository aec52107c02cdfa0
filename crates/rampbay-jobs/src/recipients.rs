//! Which agents a record of the state concerns.
//!
//! An agent needs the plans of jobs that have a run at its worker, and little else. Records that don't
//! concern it aren't sent to it: at an entry with little bandwidth, sending the plans of large jobs to
//! every agent would delay the orders that the plans carry.

use std::collections::BTreeSet;
use std::rc::Rc;

use crate::job::{NodeName, TaskId};
use crate::keys::{
    TIMERS_KEY, plan_job, plan_key, split_number, split_unanswered_name, split_worker_key,
};
use crate::outlook::OUTLOOK_KEY;
use crate::parts::tasks_from;
use crate::plan::JobPlan;
use crate::record::{KeyedRecord, Member, Record};
use crate::table::JobTable;

/// Approximate memory that a kept record takes in addition to its key and value, in bytes: its slot, its recipients and
/// what they point to.
const RECORD_OVERHEAD: usize = 200;

/// The processes that a record concerns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Recipients {
    /// Every process.
    #[default]
    All,
    /// These agents.
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

/// A record that was applied, and the processes to pass it on to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedRecord {
    /// The record.
    pub record: Rc<KeyedRecord>,
    /// The processes that it concerns.
    pub recipients: Recipients,
    /// For a plan or a part of one: its job, and the agents that haven't received the job yet.
    pub attached_job: Option<AttachedJob>,
}

impl AddressedRecord {
    /// Creates a record that concerns every process.
    #[must_use]
    pub fn for_all(record: KeyedRecord) -> Self {
        Self { record: Rc::new(record), recipients: Recipients::All, attached_job: None }
    }

    /// Returns the approximate memory that the record takes while it is kept, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let job = self.attached_job.as_ref().map_or(0, |attached| attached.job.size());
        RECORD_OVERHEAD + self.record.size() + job
    }

    /// Iterates over the records that an agent needs, the job before its plan.
    pub fn records_for(&self, agent: &str) -> impl Iterator<Item = KeyedRecord> + use<> {
        let attached =
            self.attached_job.as_ref().filter(|attached| attached.agents.includes(agent));
        let job = attached.map(|attached| attached.job.clone());
        let record = self.recipients.includes(agent).then(|| self.record.as_ref().clone());
        job.into_iter().chain(record)
    }
}

/// A job that is sent along with its plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttachedJob {
    /// The job's record.
    pub job: KeyedRecord,
    /// The agents that receive it: their workers had no run of the job before.
    pub agents: Recipients,
}

/// The agents that the value of a key concerns.
#[derive(Clone, Debug, Default)]
struct Concerned {
    /// The agents that are known.
    agents: BTreeSet<NodeName>,
    /// Whether the value also concerns a worker whose agent isn't known.
    has_unknown: bool,
}

impl Concerned {
    fn add(&mut self, agent: Option<&NodeName>) {
        match agent {
            Some(agent) => {
                self.agents.insert(agent.clone());
            }
            None => self.has_unknown = true,
        }
    }
}

impl JobTable {
    /// Applies one record, and returns it with its recipients: the agents that the value of its key concerned
    /// before, and those that it concerns now. A record that concerns a worker that is gone is still passed on to
    /// the worker's agent, or to all processes if the agent isn't known: an agent that doesn't learn that its run was
    /// given up would let the run go on.
    pub fn apply_and_address(&mut self, record: &KeyedRecord) -> AddressedRecord {
        let before = self.concerned(&record.key);
        self.apply(record);
        let after = self.concerned(&record.key);
        let (Some(before), Some(after)) = (before, after) else {
            return AddressedRecord::for_all(record.clone());
        };
        let attached_job = self.attached_job(&record.key, &before, &after);
        let recipients = if before.has_unknown || after.has_unknown {
            Recipients::All
        } else {
            Recipients::Agents(before.agents.into_iter().chain(after.agents).collect())
        };
        AddressedRecord { record: Rc::new(record.clone()), recipients, attached_job }
    }

    /// Returns whether an agent that starts to follow needs the record under a key. It needs a job if it needs the
    /// job's plan; of the other processes, it needs those that it may read through.
    #[must_use]
    pub fn concerns(&self, key: &str, agent: &str) -> bool {
        match key.split_once('/') {
            Some(("job", id)) => self.includes_agent(&plan_key(id), agent),
            Some(("member", name)) => {
                let any_well_provisioned =
                    || self.members.values().any(Member::is_well_provisioned_relay);
                let is_read_through = |member: &Member| {
                    member.is_well_provisioned_relay()
                        || (member.passes_on && !any_well_provisioned())
                };
                name == agent || self.members.get(name).is_some_and(is_read_through)
            }
            _ => self.includes_agent(key, agent),
        }
    }

    fn includes_agent(&self, key: &str, agent: &str) -> bool {
        let concerned = self.concerned(key);
        concerned.is_none_or(|concerned| concerned.has_unknown || concerned.agents.contains(agent))
    }

    fn attached_job(
        &self,
        key: &str,
        before: &Concerned,
        after: &Concerned,
    ) -> Option<AttachedJob> {
        let job = self.jobs.get(plan_job(key)?)?;
        let new: BTreeSet<NodeName> = after.agents.difference(&before.agents).cloned().collect();
        let agents = if after.has_unknown { Recipients::All } else { Recipients::Agents(new) };
        if agents == Recipients::Agents(BTreeSet::new()) {
            return None;
        }
        let job = Record::Submitted(Box::new(job.submission.as_ref().clone())).encode();
        Some(AttachedJob { job, agents })
    }

    /// Returns the agents that the current value of a key concerns; `None` for all processes.
    fn concerned(&self, key: &str) -> Option<Concerned> {
        if key == OUTLOOK_KEY || key == TIMERS_KEY {
            // Only entries use them.
            return Some(Concerned::default());
        }
        let (kind, name) = key.split_once('/')?;
        let mut concerned = Concerned::default();
        match kind {
            // New jobs and removals go to all processes; a job that is known isn't sent again.
            "job" if self.jobs.contains_key(name) => {}
            "plan" => {
                let plan = self.jobs.get(name).and_then(|job| job.plan.as_deref());
                let workers = plan.into_iter().flat_map(JobPlan::workers);
                workers.for_each(|instance| concerned.add(self.agent_of(instance)));
            }
            "part" => {
                let first: TaskId = name.parse().ok()?;
                let plan = self.jobs.get(&first.job).and_then(|job| job.plan.as_deref());
                let tasks = plan.into_iter().flat_map(|plan| tasks_from(plan, &first));
                let tasks = tasks.filter(|task| task.may_be_running());
                tasks.for_each(|task| concerned.add(self.agent_of(&task.instance)));
            }
            "end" | "refusal" => {
                let end = self.ends.get(key).into_iter();
                end.for_each(|end| concerned.add(self.agent_of(&end.instance)));
            }
            "unanswered" => {
                let (task, attempt) = split_unanswered_name(name)?;
                // The agents of the other members' workers need it, too, also those that begin after the gang has ended.
                if self.is_in_gang(&task) {
                    return None;
                }
                let start = self.unanswered.get(&task).and_then(|starts| starts.get(&attempt));
                start.into_iter().for_each(|start| concerned.add(self.agent_of(&start.instance)));
            }
            // A job that isn't known has no runs: once it is stored, it is cancelled at once.
            "early_cancel" if !self.jobs.contains_key(split_number(name).0) => {}
            // Only the leader uses these.
            "life" | "losses" | "upkeep" | "stopped" => {}
            // Agents don't read through each other: passing the addresses of all agents on to all agents would cost the
            // square of their number.
            "member" if self.members.get(name).is_none_or(|member| !member.passes_on) => {
                concerned.agents.insert(name.to_owned());
            }
            "over" => concerned.agents.extend(self.agent_of(name).cloned()),
            "worker" | "suspected" => {
                let (instance, _) = split_worker_key(key);
                concerned.agents.extend(self.agent_of(instance).cloned());
            }
            _ => return None,
        }
        Some(concerned)
    }
}
