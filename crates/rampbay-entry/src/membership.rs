//! Membership: the platform's list of boxes, which lags, merged with the processes' own reports.
//!
//! A side process gets work once it is listed and reports its load. It gets no new work once it
//! reports that it is leaving, the list marks it as leaving, or its reports stop, whichever comes
//! first. Its own report overrides the list in one direction only: it may leave earlier than the
//! list says, never stay longer.

use std::{sync::Arc, time::Duration};

use rampbay_platform::boxes::{BoxRow, Boxes, Role};
use rampbay_wire::envelope::Message;

use crate::{
    dispatching::{Dispatching, Input},
    shared::Shared,
};

/// Interval of the hello messages that announce this entry to other processes.
const HELLO_INTERVAL: Duration = Duration::from_secs(2);

/// Follows the list of boxes until the process ends.
pub async fn follow(shared: Arc<Shared>, boxes: Arc<dyn Boxes>, dispatching: Dispatching) {
    let poll = Duration::from_millis(shared.settings.times.boxes_poll_ms);
    let mut known: Vec<BoxRow> = Vec::new();
    let mut contacts: Vec<BoxRow> = Vec::new();
    let mut last_hello = None;
    loop {
        // While the list can't be read, the last one that was read stays in use.
        if let Ok(rows) = boxes.list().await
            && rows != known
        {
            last_hello = None;
            contacts = apply_list(&shared, &dispatching, &rows);
            known = rows;
        }
        if last_hello.is_none_or(|at| shared.now().saturating_sub(at) >= HELLO_INTERVAL) {
            last_hello = Some(shared.now());
            for row in contacts.iter().filter(|row| row.id != shared.settings.id) {
                shared.outbox.send(row.mailbox, Message::Hello);
            }
        }
        tokio::time::sleep(poll).await;
    }
}

/// Selects at most `limit` side processes that an entry sends work to: those of its own failure
/// domain first, and among equals those with the highest hashes (rendezvous hashing), so that a
/// change of the list changes few of them.
#[must_use]
pub fn select_sides(
    entry: &str,
    failure_domain: &str,
    rows: &[BoxRow],
    limit: usize,
) -> Vec<BoxRow> {
    let mut sides: Vec<(bool, u64, &BoxRow)> = rows
        .iter()
        .filter(|row| row.role == Role::Side)
        .map(|row| {
            let text = format!("{entry}\u{0}{}", row.id);
            let weight = rapidhash::v3::rapidhash_v3(text.as_bytes());
            (row.failure_domain != failure_domain, u64::MAX - weight, row)
        })
        .collect();
    sides.sort_by_key(|(elsewhere, weight, _)| (*elsewhere, *weight));
    sides.into_iter().take(limit).map(|(_, _, row)| row.clone()).collect()
}

fn apply_list(shared: &Shared, dispatching: &Dispatching, rows: &[BoxRow]) -> Vec<BoxRow> {
    let settings = &shared.settings;
    let sides =
        select_sides(&settings.id, &settings.failure_domain, rows, settings.limits.upstreams);
    let others = rows.iter().filter(|row| row.role == Role::Entry && row.id != shared.settings.id);
    let peers = others.map(|row| (row.id.clone(), row.mailbox)).collect();
    *shared.peers.write().unwrap_or_else(std::sync::PoisonError::into_inner) = peers;
    let entries = rows.iter().filter(|row| row.role == Role::Entry);
    let contacts: Vec<BoxRow> = sides.iter().chain(entries).cloned().collect();
    let keep: Vec<_> = contacts.iter().map(|row| row.mailbox).collect();
    shared.outbox.retain(&keep);
    dispatching.tell(Input::Listed(sides));
    contacts
}
