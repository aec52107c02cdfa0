//! Who leads: processes with room stand for leadership, others only while nobody leads.
//!
//! Leadership is membership of a group that the store keeps. A leader of hundreds of workers needs a good
//! share of a core and a wide link; a small process that led would lag behind, and lose its place again
//! and again. So it waits until the store says that nobody leads, and hands over once a process with
//! more room answers.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::watch;

use crate::job::NodeName;
use crate::store::Store;

/// Time between two questions of a process with little room whether anybody leads.
const VACANCY_INTERVAL: Duration = Duration::from_millis(1000);
/// Answers in a row that nobody leads after which such a process stands: between two leaders there is
/// nobody for a second, the least time to live that the store knows.
const VACANT_ANSWERS: u32 = 2;
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
    /// Time between two calls for leadership.
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

/// Stands for leadership. A process with little room stands only while nobody leads, and hands over
/// once a process with more room answers.
pub async fn stand_for_ever(candidate: &Candidate, term: &Term) {
    let mut generation = 0;
    loop {
        if let Some(successors) = &candidate.successors {
            wait_for_vacancy(candidate).await;
            log::info!("event=J123 nobody leads, a process with little room stands");
            tokio::select! {
                () = stand(candidate, term, &mut generation) => {}
                () = successor_answers(successors.as_ref(), term) => {
                    log::info!("event=J124 leadership handed over to a process with more room");
                }
            }
            end_term(term);
            candidate.store.resign(&candidate.node).await;
        } else {
            stand(candidate, term, &mut generation).await;
        }
    }
}

/// Stands until somebody else leads, or for ever where this process has room enough.
async fn stand(candidate: &Candidate, term: &Term, generation: &mut u64) {
    loop {
        if let Ok(answer) = candidate.store.stand(&candidate.node, *generation).await {
            let held = *term.borrow();
            // A leader keeps the generation under which it began.
            let next = if answer.leads { held.or(Some(answer.generation)) } else { None };
            term.send_if_modified(|current| std::mem::replace(current, next) != next);
            *generation = answer.generation;
            if !answer.leads && candidate.successors.is_some() && is_led_by_other(candidate).await {
                return;
            }
        }
        tokio::time::sleep(candidate.interval).await;
    }
}

async fn is_led_by_other(candidate: &Candidate) -> bool {
    let holder = candidate.store.holder().await;
    holder.is_ok_and(|holder| holder.is_some_and(|holder| holder != candidate.node))
}

/// Waits until the store has said several times in a row that nobody leads.
async fn wait_for_vacancy(candidate: &Candidate) {
    let mut vacant = 0;
    while vacant < VACANT_ANSWERS {
        tokio::time::sleep(VACANCY_INTERVAL).await;
        match candidate.store.holder().await {
            Ok(None) => vacant += 1,
            Ok(Some(holder)) if holder == candidate.node => vacant += 1,
            Ok(Some(_)) => vacant = 0,
            // A store that is away says nothing about who leads.
            Err(_) => {}
        }
    }
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
