//! Snapshots of the state, for processes that begin to follow it.
//!
//! A process that starts needs the newest record of each key. If each process read these from the
//! store, the store would send the state once per process: 155 MB after a loss of power of 983
//! machines, growing with the square of the fleet. So processes get a snapshot from a
//! well-provisioned entry, agents only what concerns their workers. A snapshot is as current as the
//! store's own answer: the entry asks the store for the end offset of the state, once for all
//! processes that ask at that time.

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::clock::Moment;
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::record::{Member, STATE_TOPIC};
use rampbay_jobs::store::{ReadError, Snapshot, Store};
use tokio::sync::Mutex;
use tokio::time::timeout;

/// Longest time until the table has reached the store's end offset: three hops, with one call lost.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1000);

/// Provides snapshots of the state from the table of a process that follows all of it.
pub struct Snapshots {
    live: LiveTable,
    /// The direct path to the store.
    store: Rc<dyn Store>,
    /// When the store was last asked for the end offset of the state, if the table has reached that
    /// offset.
    verified_at: Mutex<Option<Moment>>,
}

impl Snapshots {
    /// Creates snapshots from a table.
    #[must_use]
    pub fn new(live: LiveTable, store: Rc<dyn Store>) -> Rc<Self> {
        Rc::new(Self { live, store, verified_at: Mutex::default() })
    }

    /// Returns the state as the store had it at the time of this call, or later: all of it, or what
    /// concerns an agent.
    ///
    /// # Errors
    ///
    /// Returns an error if the state isn't known, or the store doesn't answer.
    pub async fn take(&self, agent: Option<&str>) -> Result<Snapshot, ReadError> {
        let asked = Moment::now();
        // Fails before the store is asked if this process doesn't keep the records to pass on.
        self.live.pass_on_newest(Some(""))?;
        let mut verified_at = self.verified_at.lock().await;
        let at = match *verified_at {
            Some(at) if at >= asked => at,
            _ => self.verify().await?,
        };
        *verified_at = Some(at);
        drop(verified_at);
        let snapshot = self.live.pass_on_newest(agent)?;
        Ok(Snapshot { age: snapshot.age.min(at.elapsed()), ..snapshot })
    }

    async fn verify(&self) -> Result<Moment, ReadError> {
        let sent = Moment::now();
        let known = self.live.freshness.position();
        let end = self.store.end(STATE_TOPIC, known).await?;
        let reached = timeout(CATCH_UP_TIMEOUT, self.live.freshness.reach(end)).await;
        reached.map_err(|_| ReadError::Unavailable)?;
        Ok(sent)
    }

    /// Lists the entries that records are read through: the well-provisioned ones, or all entries
    /// if none is well-provisioned.
    #[must_use]
    pub fn entries(&self) -> Vec<Member> {
        let table = self.live.table.borrow();
        let readable = table
            .members
            .values()
            .filter(|member| table.concerns(&format!("member/{}", member.node), ""));
        readable.cloned().collect()
    }
}
