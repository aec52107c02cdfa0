//! The state as a whole, for processes that begin to follow it.
//!
//! A process that starts needs the newest record of each key. Read from the store by each of them, that is a state
//! for every process: after a loss of power of 983 machines 155 MB, and it grows with the square of the fleet. So
//! they get it from an ample entry, agents only what concerns their workers. What it says is as current as the
//! store's own answer: the entry asks the store how far the state goes, once for all who ask meanwhile.

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::clock::Moment;
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::record::{Member, STATE_TOPIC};
use rampbay_jobs::store::{ReadError, Snapshot, Store};
use tokio::sync::Mutex;
use tokio::time::timeout;

/// Longest time until the state has come to where the store says that it goes: three hops, one of them lost.
const CATCH_UP: Duration = Duration::from_millis(1000);

/// What a process that follows the whole state passes on of it.
pub struct Snapshots {
    live: LiveTable,
    /// The direct way to the store.
    store: Rc<dyn Store>,
    /// When the store was asked last how far the state goes, with an answer that the table has come to.
    proven: Mutex<Option<Moment>>,
}

impl Snapshots {
    /// Passes on the state that is kept in a table.
    #[must_use]
    pub fn new(live: LiveTable, store: Rc<dyn Store>) -> Rc<Self> {
        Rc::new(Self { live, store, proven: Mutex::default() })
    }

    /// Returns the state as the store had it when this was asked, or later: all of it, or what an agent needs.
    ///
    /// # Errors
    ///
    /// Returns an error if the state isn't known, or the store doesn't answer.
    pub async fn take(&self, agent: Option<&str>) -> Result<Snapshot, ReadError> {
        let asked = Moment::now();
        // Before the store is asked for nothing: not everybody keeps what is to be passed on.
        self.live.pass_on_newest(Some(""))?;
        let mut proven = self.proven.lock().await;
        let at = match *proven {
            Some(at) if at >= asked => at,
            _ => self.prove().await?,
        };
        *proven = Some(at);
        drop(proven);
        let snapshot = self.live.pass_on_newest(agent)?;
        Ok(Snapshot { age: snapshot.age.min(at.elapsed()), ..snapshot })
    }

    async fn prove(&self) -> Result<Moment, ReadError> {
        let sent = Moment::now();
        let known = self.live.freshness.position();
        let end = self.store.end(STATE_TOPIC, known).await?;
        let reached = timeout(CATCH_UP, self.live.freshness.reach(end)).await;
        reached.map_err(|_| ReadError::Unavailable)?;
        Ok(sent)
    }

    /// Lists the entries that records are read through: ample ones, or all where none is.
    #[must_use]
    pub fn entries(&self) -> Vec<Member> {
        let table = self.live.table.borrow();
        let wanted = table
            .members
            .values()
            .filter(|member| table.concerns(&format!("member/{}", member.node), ""));
        wanted.cloned().collect()
    }
}
