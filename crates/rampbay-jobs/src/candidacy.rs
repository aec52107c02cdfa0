//! Leader election: a process stands for election while nobody leads.
//!
//! Leadership is membership of a group that the store keeps. The store may assign leadership to
//! another member whenever a process joins or leaves, and at other times; each change costs a
//! second in which nothing is started. So only the leader stays in the group. Other processes check
//! whether anybody leads, join once nobody does, and leave again if another one was first. While
//! the leader is the only member, leadership can only be assigned to it.
//!
//! A few processes poll the store for the leader ([`LeaderPollers`]). The others learn of it from
//! their reads through peers, and poll the store only when they have had no such news for a while.
//! So the number of calls doesn't grow with the number of processes, and a leader is elected even
//! if all of the few are lost together with the last leader. Candidates stand one after another.
//!
//! A leader of hundreds of workers needs a good share of a core and a wide link. A small process
//! that led would lag behind and lose leadership again and again. So a small process gives
//! well-provisioned ones time to stand first, and hands leadership over once one of them answers.

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

/// Polling interval of a small process that checks whether anybody leads.
const SMALL_POLL_INTERVAL: Duration = Duration::from_millis(1000);
/// Consecutive answers that nobody leads after which a small process stands. A well-provisioned one
/// polls three times in that time.
const SMALL_LEADERLESS_ANSWERS: u32 = 2;
/// Unanswered joins, one per interval, after which all of them are abandoned: the leader's time to
/// live, by which its membership has expired. A join that hangs longer could take leadership back
/// from the process that leads then.
const MAX_UNANSWERED_JOINS: u32 = 3;
/// Interval at which a small process that leads looks for a well-provisioned one.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(2000);

/// Age of the last news of a leader from which a process polls the store itself: the time that the
/// leader pollers need to stand (1.4 s) plus the time that news takes over three hops (1.3 s).
const MAX_NEWS_AGE: Duration = Duration::from_millis(2700);
/// Shortest time between two candidates; a call to the store takes a sixth of it.
const CANDIDACY_GAP: Duration = Duration::from_millis(30);
/// Shortest time between two candidates as a multiple of the current duration of a call to the
/// store, so that one can join and be seen by the next. Right after an outage a call takes many
/// times as long as usual, and candidates that stood at once took leadership from each other for a
/// second.
const CANDIDACY_GAP_CALLS: u32 = 3;
/// Number of processes that poll the store for the leader. It is the number that may be lost at
/// once together with a leader before the others have to notice by themselves; each costs a call
/// every third of a second.
pub const LEADER_POLLER_COUNT: usize = 5;
/// Number of ranks over which the other processes spread their candidacies. Each rank holds twice
/// as many processes as the one before, so that one or two come first among up to some 1,000. With
/// an even spread, several would come first and take leadership from each other.
const OTHER_RANKS: u32 = 10;

/// The few processes that poll the store for the leader.
pub trait LeaderPollers {
    /// Returns this process's rank among the leader pollers, by which they stand one after another;
    /// `None` if it isn't one of them.
    fn rank(&self) -> Option<usize>;
}

/// Well-provisioned processes, which a small process prefers as leaders.
#[async_trait(?Send)]
pub trait PreferredLeaders {
    /// Returns whether one of them answers a call.
    async fn any_reachable(&self) -> bool;
}

/// A process that stands for election.
pub struct Candidate {
    /// Name of the process.
    pub node: NodeName,
    /// The store that holds the election.
    pub store: Rc<dyn Store>,
    /// Time between two calls: of the leader to renew its membership, of others to check whether
    /// anybody leads.
    pub interval: Duration,
    /// Well-provisioned processes, if this one is small.
    pub preferred_leaders: Option<Rc<dyn PreferredLeaders>>,
    /// The processes that poll the store for the leader.
    pub leader_pollers: Rc<dyn LeaderPollers>,
    /// News of the leader that this process gets with its reads.
    pub freshness: Rc<Freshness>,
    /// A random number, which differs between processes and starts.
    pub salt: u64,
}

impl Candidate {
    fn note_led(&self) {
        self.freshness.note_led(Moment::now());
    }

    /// Returns whether this process has to poll the store for the leader.
    fn must_poll(&self) -> bool {
        self.leader_pollers.rank().is_some()
            || self.freshness.led_age().is_none_or(|age| age > MAX_NEWS_AGE)
    }

    /// Returns how long this process waits for earlier candidates, given the current duration of a
    /// call to the store.
    fn candidacy_delay(&self, call: Duration) -> Duration {
        let rank = self.leader_pollers.rank().map_or_else(|| self.other_rank(), |rank| rank as u32);
        CANDIDACY_GAP.max(call * CANDIDACY_GAP_CALLS) * rank
    }

    /// Returns the rank of a process that isn't a leader poller. The pollers had time to stand
    /// before news of the last leader grew old; a process that has just started, and has no news,
    /// gives them that time now.
    fn other_rank(&self) -> u32 {
        let has_news = self.freshness.led_age().is_some();
        let first = if has_news { 0 } else { LEADER_POLLER_COUNT as u32 };
        first + OTHER_RANKS.saturating_sub(self.salt.trailing_zeros())
    }
}

/// The term of a leader: the generation under which it began; `None` while the process doesn't
/// lead.
pub type Term = watch::Sender<Option<u64>>;

/// Ends a process's term, if it has one.
fn end_term(term: &Term) {
    term.send_if_modified(|current| current.take().is_some());
}

/// Stands for election each time that nobody leads; never returns. A small process hands leadership
/// over once a well-provisioned one answers.
pub async fn stand_for_election_forever(candidate: &Candidate, term: &Term) {
    let mut generation = 0;
    loop {
        wait_until_leaderless(candidate).await;
        if let Some(preferred_leaders) = &candidate.preferred_leaders {
            log::info!("event=J123 no leader, a small process stands for election");
            tokio::select! {
                () = stand_for_election(candidate, term, &mut generation) => {}
                () = preferred_leader_answers(preferred_leaders.as_ref(), term) => {
                    log::info!("event=J124 leadership handed over to a well-provisioned process");
                }
            }
        } else {
            stand_for_election(candidate, term, &mut generation).await;
        }
        end_term(term);
        candidate.store.resign(&candidate.node).await;
    }
}

/// Stands for election until another process leads.
async fn stand_for_election(candidate: &Candidate, term: &Term, generation: &mut u64) {
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

/// Joins the group, and sends another join each interval until one is answered. Membership counts
/// from the arrival of a join, and answers may be lost: waiting for one answer until its timeout
/// would let the membership expire.
async fn join(candidate: &Candidate, generation: u64) -> Option<Candidacy> {
    let mut joins = FuturesUnordered::new();
    for _ in 0..MAX_UNANSWERED_JOINS {
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

/// Waits until the store answers that nobody leads (several times in a row for a small process),
/// and until earlier candidates have had time to stand.
async fn wait_until_leaderless(candidate: &Candidate) {
    let (interval, answers) = if candidate.preferred_leaders.is_some() {
        tokio::time::sleep(SMALL_POLL_INTERVAL).await;
        (SMALL_POLL_INTERVAL, SMALL_LEADERLESS_ANSWERS)
    } else {
        (candidate.interval, 1)
    };
    let mut leaderless_answers = 0;
    loop {
        let asked = Instant::now();
        if leaderless_answers > 0 || candidate.must_poll() {
            match nobody_leads(candidate).await {
                Some(true) => leaderless_answers += 1,
                Some(false) => leaderless_answers = 0,
                None => {}
            }
        }
        if leaderless_answers >= answers {
            if no_earlier_candidate(candidate, asked.elapsed()).await {
                return;
            }
            leaderless_answers = 0;
        }
        tokio::time::sleep(interval).await;
    }
}

/// Gives earlier candidates time to stand, and returns whether none of them leads now.
async fn no_earlier_candidate(candidate: &Candidate, call: Duration) -> bool {
    let delay = candidate.candidacy_delay(call);
    if delay.is_zero() {
        return true;
    }
    tokio::time::sleep(delay).await;
    nobody_leads(candidate).await == Some(true)
}

/// Returns whether nobody leads, or only this process by its name from before a restart; `None` if
/// the store is unavailable, which says nothing about the leader.
async fn nobody_leads(candidate: &Candidate) -> Option<bool> {
    let holder = candidate.store.holder().await.ok()?;
    let is_led = holder.is_some_and(|holder| holder != candidate.node);
    if is_led {
        candidate.note_led();
    }
    Some(!is_led)
}

/// Waits until a well-provisioned process answers while this one leads.
async fn preferred_leader_answers(preferred_leaders: &dyn PreferredLeaders, term: &Term) {
    loop {
        tokio::time::sleep(HANDOVER_INTERVAL).await;
        let leads = term.borrow().is_some();
        if leads && preferred_leaders.any_reachable().await {
            return;
        }
    }
}
