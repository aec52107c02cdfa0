//! Who is there: the platform's list, which lags, merged with what processes say of themselves.
//!
//! A side process takes part once it is listed and speaks. It gets no new work as soon as it says
//! that it leaves, or the list says so, or it falls silent; whichever comes first. Its word goes
//! before the list's in one direction only: it may leave earlier, never stay longer.

use std::{sync::Arc, time::Duration};

use rampbay_platform::boxes::{BoxRow, Boxes, Role};
use rampbay_wire::envelope::Message;

use crate::{
    dispatching::{Dispatching, Input},
    shared::Shared,
};

/// How often other processes are told that this entry is there.
const HELLO_EVERY: Duration = Duration::from_secs(2);

/// Follows the list, until the process ends.
pub async fn follow(shared: Arc<Shared>, boxes: Arc<dyn Boxes>, dispatching: Dispatching) {
    let poll = Duration::from_millis(shared.settings.times.boxes_poll_ms);
    let mut known: Vec<BoxRow> = Vec::new();
    let mut talks_to: Vec<BoxRow> = Vec::new();
    let mut greeted = None;
    loop {
        // While the list can't be read, what was last known of it stands.
        if let Ok(rows) = boxes.list().await
            && rows != known
        {
            greeted = None;
            talks_to = take(&shared, &dispatching, &rows);
            known = rows;
        }
        if greeted.is_none_or(|at| shared.now().saturating_sub(at) >= HELLO_EVERY) {
            greeted = Some(shared.now());
            for row in talks_to.iter().filter(|row| row.id != shared.settings.id) {
                shared.outbox.send(row.mailbox, Message::Hello);
            }
        }
        tokio::time::sleep(poll).await;
    }
}

/// Chooses the side processes that an entry talks to: those of its own failure domain first, and
/// among equals the highest hashes (rendezvous hashing), so that a change of the list moves few.
#[must_use]
pub fn subset(entry: &str, failure_domain: &str, rows: &[BoxRow], most: usize) -> Vec<BoxRow> {
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
    sides.into_iter().take(most).map(|(_, _, row)| row.clone()).collect()
}

fn take(shared: &Shared, dispatching: &Dispatching, rows: &[BoxRow]) -> Vec<BoxRow> {
    let settings = &shared.settings;
    let sides = subset(&settings.id, &settings.failure_domain, rows, settings.limits.upstreams);
    let others = rows.iter().filter(|row| row.role == Role::Entry && row.id != shared.settings.id);
    let peers = others.map(|row| (row.id.clone(), row.mailbox)).collect();
    *shared.peers.write().unwrap_or_else(std::sync::PoisonError::into_inner) = peers;
    let entries = rows.iter().filter(|row| row.role == Role::Entry);
    let talks_to: Vec<BoxRow> = sides.iter().chain(entries).cloned().collect();
    let keep: Vec<_> = talks_to.iter().map(|row| row.mailbox).collect();
    shared.outbox.retain(&keep);
    dispatching.tell(Input::Listed(sides));
    talks_to
}
