//! Who leads: a process stands for leadership while nobody leads.
//!
//! Leadership is membership of a group that the store keeps. The store may deal it anew whenever a process
//! joins or leaves, and unasked; each change costs a second in which nothing is started. So only the leader
//! stays in the group: the others learn whether anybody leads, join once nobody does, and leave again where another
//! one was first. While the leader is the only member, whatever is dealt is dealt to it.
//!
//! A few processes ask the store again and again who leads ([`LeaderPollers`]). The others hear of it with what they read
//! through peers, and ask only once they haven't for a while: so the calls don't grow with the fleet, and a
//! leader is found also where all of the few are lost with the last one. Those who stand do so one after the other.
//!
//! A leader of hundreds of workers needs a good share of a core and a wide link; a small process that led
//! would lag behind, and lose its place again and again. So it leaves processes with room time to stand
//! first, and hands over once one of them answers.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::clock::Moment;
use crate::freshness::Freshness;
use crate::job::NodeName;
use crate::store::{Candidacy, Store};

/// Time between two questions of a process with little room whether anybody leads.
const SMALL_VACANCY_INTERVAL: Duration = Duration::from_millis(1000);
/// Answers in a row that nobody leads after which such a process stands: one with room asks three times in
/// that time.
const SMALL_VACANT_ANSWERS: u32 = 2;
/// Joins without answer, an interval apart, after which all of them are given up: the leader's time to live, by which its
/// place has lapsed. What hangs longer could take the place back from whoever leads then.
const JOIN_INTERVALS: u32 = 3;
/// Time between two looks of such a process, while it leads, for one with more room.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(2000);

/// Age of the last news that somebody leads from which on a process asks the store itself: what the few who ask
/// need to stand (1.4 s), and what news takes through three hops (1.3 s).
const NEWS_AGE: Duration = Duration::from_millis(2700);
/// Least time between the standing of one process and of the next: a call to the store takes a sixth of it.
const STANDING_GAP: Duration = Duration::from_millis(30);
/// The same as a multiple of what a call to the store takes now: to join, and to be seen by the next one. Right after
/// an outage a call takes many times as long as usual, and those who stood at once took the place from each other for
/// a second.
const STANDING_CALLS: u32 = 3;
/// Processes that ask the store again and again who leads: as many as may be lost at once with a leader, before the
/// others have to notice by themselves, and a call a third of a second of each.
pub const LEADER_POLLER_COUNT: usize = 5;
/// Places over which processes that aren't among the few spread their standing. Twice as many of them have a place as
/// have the one before, so that one or two come first whatever their number is, up to some 1,000. Spread evenly, one
/// in twenty came first, and of 126 that started at one moment six took the lead from each other.
const OTHER_PLACES: u32 = 10;

/// Who asks the store again and again who leads.
pub trait LeaderPollers {
    /// Returns this process's place among the few who ask, by which they stand one after the other; `None` if it
    /// isn't one of them.
    fn rank(&self) -> Option<usize>;
}

/// Processes that have more room to lead than this one.
#[async_trait(?Send)]
pub trait PreferredLeaders {
    /// Returns whether one of them answers.
    async fn any_reachable(&self) -> bool;
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
    pub preferred_leaders: Option<Rc<dyn PreferredLeaders>>,
    /// Who asks the store again and again who leads.
    pub leader_pollers: Rc<dyn LeaderPollers>,
    /// What this process hears of who leads with what it reads.
    pub freshness: Rc<Freshness>,
    /// A random number, which differs between processes and starts.
    pub salt: u64,
}

impl Candidate {
    fn note_led(&self) {
        self.freshness.note_led(Moment::now());
    }

    /// Returns whether this process has to ask the store who leads.
    fn has_to_ask(&self) -> bool {
        self.leader_pollers.rank().is_some()
            || self.freshness.led_age().is_none_or(|age| age > NEWS_AGE)
    }

    /// Returns how long after the others this process stands, where a call to the store takes so long.
    fn standing_delay(&self, call: Duration) -> Duration {
        let place =
            self.leader_pollers.rank().map_or_else(|| self.other_place(), |place| place as u32);
        STANDING_GAP.max(call * STANDING_CALLS) * place
    }

    /// Returns the place of a process that isn't among the few. Those had their time to stand before news of the last
    /// leader grew old; a process that has just started leaves it to them.
    fn other_place(&self) -> u32 {
        let has_news = self.freshness.led_age().is_some();
        let first = if has_news { 0 } else { LEADER_POLLER_COUNT as u32 };
        first + OTHER_PLACES.saturating_sub(self.salt.trailing_zeros())
    }
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
        if let Some(preferred_leaders) = &candidate.preferred_leaders {
            log::info!("event=J123 nobody leads, a process with little room stands");
            tokio::select! {
                () = stand(candidate, term, &mut generation) => {}
                () = successor_answers(preferred_leaders.as_ref(), term) => {
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
        let joined = join(candidate, *generation).await;
        if let Some(answer) = joined {
            let held = *term.borrow();
            // A leader keeps the generation under which it began.
            let next = if answer.leads { held.or(Some(answer.generation)) } else { None };
            term.send_if_modified(|current| std::mem::replace(current, next) != next);
            *generation = answer.generation;
        }
        if joined.is_some_and(|answer| answer.leads) {
            candidate.note_led();
        } else if is_led_by_other(candidate).await {
            return;
        }
        tokio::time::sleep(candidate.interval).await;
    }
}

/// Joins, once more each interval while no answer comes: the place lasts from when a join arrives, and answers may get
/// lost. Waited for until its time was over, a lost answer cost the place.
async fn join(candidate: &Candidate, generation: u64) -> Option<Candidacy> {
    let mut joins = FuturesUnordered::new();
    for _ in 0..JOIN_INTERVALS {
        joins.push(candidate.store.stand_for_election(&candidate.node, generation));
        let answer = async {
            loop {
                match joins.next().await {
                    Some(Ok(answer)) => return answer,
                    Some(Err(_)) => {}
                    None => std::future::pending().await,
                }
            }
        };
        if let Ok(answer) = tokio::time::timeout(candidate.interval, answer).await {
            return Some(answer);
        }
    }
    None
}

async fn is_led_by_other(candidate: &Candidate) -> bool {
    let holder = candidate.store.holder().await;
    holder.is_ok_and(|holder| holder.is_some_and(|holder| holder != candidate.node))
}

/// Waits until the store says that nobody leads, to a process with little room several times in a row, and until
/// the processes before this one have had time to stand.
async fn wait_for_vacancy(candidate: &Candidate) {
    let (interval, answers) = if candidate.preferred_leaders.is_some() {
        tokio::time::sleep(SMALL_VACANCY_INTERVAL).await;
        (SMALL_VACANCY_INTERVAL, SMALL_VACANT_ANSWERS)
    } else {
        (candidate.interval, 1)
    };
    let mut vacant = 0;
    loop {
        let asked = Instant::now();
        if vacant > 0 || candidate.has_to_ask() {
            match nobody_leads(candidate).await {
                Some(true) => vacant += 1,
                Some(false) => vacant = 0,
                None => {}
            }
        }
        if vacant >= answers {
            if nobody_stands_first(candidate, asked.elapsed()).await {
                return;
            }
            vacant = 0;
        }
        tokio::time::sleep(interval).await;
    }
}

/// Leaves the processes before this one the time to stand, and returns whether none of them has.
async fn nobody_stands_first(candidate: &Candidate, call: Duration) -> bool {
    let delay = candidate.standing_delay(call);
    if delay.is_zero() {
        return true;
    }
    tokio::time::sleep(delay).await;
    nobody_leads(candidate).await == Some(true)
}

/// Returns whether nobody leads, or this process by its name from before a restart; `None` where the store
/// is away, which says nothing about who leads.
async fn nobody_leads(candidate: &Candidate) -> Option<bool> {
    let holder = candidate.store.holder().await.ok()?;
    let is_led = holder.is_some_and(|holder| holder != candidate.node);
    if is_led {
        candidate.note_led();
    }
    Some(!is_led)
}

/// Waits until a process with more room answers while this one leads.
async fn successor_answers(preferred_leaders: &dyn PreferredLeaders, term: &Term) {
    loop {
        tokio::time::sleep(HANDOVER_INTERVAL).await;
        let leads = term.borrow().is_some();
        if leads && preferred_leaders.any_reachable().await {
            return;
        }
    }
}
