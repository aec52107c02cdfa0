//! Who leads: a process stands for leadership while nobody leads.
//!
//! Leadership is membership of a group that the store keeps. The store may deal it anew whenever a process
//! joins or leaves, and unasked; each change costs a second in which nothing is started. So only the leader
//! stays in the group: the others ask who leads, join once nobody does, and leave again where another one
//! was first. While the leader is the only member, whatever is dealt is dealt to it.
//!
//! A leader of hundreds of workers needs a good share of a core and a wide link; a small process that led
//! would lag behind, and lose its place again and again. So it leaves processes with room time to stand
//! first, and hands over once one of them answers.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::watch;

use crate::job::NodeName;
use crate::store::Store;

/// Time between two questions of a process with little room whether anybody leads.
const SMALL_VACANCY_INTERVAL: Duration = Duration::from_millis(1000);
/// Answers in a row that nobody leads after which such a process stands: one with room asks three times in
/// that time.
const SMALL_VACANT_ANSWERS: u32 = 2;
/// Intervals after which a join without answer is given up: the leader's time to live, by which its place
/// has lapsed. What hangs longer could take the place back from whoever leads then.
const JOIN_INTERVALS: u32 = 3;
/// Time between two looks of such a process, while it leads, for one with more room.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(2000);

/// Processes that have more room to lead than this one.
#[async_trait(?Send)]
pub trait Successors {
    /// Returns whether one of them answers.
    async fn any_answers(&self) -> bool;
}

/// A process that stands for leadership.
pub struct Candidate {
    /// Its name.
    pub node: NodeName,
    /// The store.
    pub store: Rc<dyn Store>,
    /// Time between two calls: of a leader to stay, of others to learn whether anybody leads.
    pub interval: Duration,
    /// Processes with more room, where this one has little.
    pub successors: Option<Rc<dyn Successors>>,
}

/// The term of a process that leads: the generation under which it began.
pub type Term = watch::Sender<Option<u64>>;

/// Ends a process's term, if it has one.
fn end_term(term: &Term) {
    term.send_if_modified(|current| current.take().is_some());
}

/// Stands for leadership for ever, each time that nobody leads. A process with little room hands over once
/// one with more room answers.
pub async fn stand_for_ever(candidate: &Candidate, term: &Term) {
    let mut generation = 0;
    loop {
        wait_for_vacancy(candidate).await;
        if let Some(successors) = &candidate.successors {
            log::info!("event=J123 nobody leads, a process with little room stands");
            tokio::select! {
                () = stand(candidate, term, &mut generation) => {}
                () = successor_answers(successors.as_ref(), term) => {
                    log::info!("event=J124 leadership handed over to a process with more room");
                }
            }
        } else {
            stand(candidate, term, &mut generation).await;
        }
        end_term(term);
        candidate.store.resign(&candidate.node).await;
    }
}

/// Stands until somebody else leads.
async fn stand(candidate: &Candidate, term: &Term, generation: &mut u64) {
    loop {
        let join = candidate.store.stand(&candidate.node, *generation);
        let joined = tokio::time::timeout(candidate.interval * JOIN_INTERVALS, join).await;
        let is_sure_to_lead = match joined {
            Ok(Ok(answer)) => {
                let held = *term.borrow();
                // A leader keeps the generation under which it began.
                let next = if answer.leads { held.or(Some(answer.generation)) } else { None };
                term.send_if_modified(|current| std::mem::replace(current, next) != next);
                *generation = answer.generation;
                answer.leads
            }
            Ok(Err(_)) | Err(_) => false,
        };
        if !is_sure_to_lead && is_led_by_other(candidate).await {
            return;
        }
        tokio::time::sleep(candidate.interval).await;
    }
}

async fn is_led_by_other(candidate: &Candidate) -> bool {
    let holder = candidate.store.holder().await;
    holder.is_ok_and(|holder| holder.is_some_and(|holder| holder != candidate.node))
}

/// Waits until the store says that nobody leads, to a process with little room several times in a row.
async fn wait_for_vacancy(candidate: &Candidate) {
    if candidate.successors.is_none() {
        while nobody_leads(candidate).await != Some(true) {
            tokio::time::sleep(candidate.interval).await;
        }
        return;
    }
    let mut vacant = 0;
    while vacant < SMALL_VACANT_ANSWERS {
        tokio::time::sleep(SMALL_VACANCY_INTERVAL).await;
        match nobody_leads(candidate).await {
            Some(true) => vacant += 1,
            Some(false) => vacant = 0,
            None => {}
        }
    }
}

/// Returns whether nobody leads, or this process by its name from before a restart; `None` where the store
/// is away, which says nothing about who leads.
async fn nobody_leads(candidate: &Candidate) -> Option<bool> {
    let holder = candidate.store.holder().await.ok()?;
    Some(holder.is_none_or(|holder| holder == candidate.node))
}

/// Waits until a process with more room answers while this one leads.
async fn successor_answers(successors: &dyn Successors, term: &Term) {
    loop {
        tokio::time::sleep(HANDOVER_INTERVAL).await;
        let leads = term.borrow().is_some();
        if leads && successors.any_answers().await {
            return;
        }
    }
}
