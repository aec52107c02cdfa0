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
    let mut greeted = None;
    loop {
        // While the list can't be read, what was last known of it stands.
        if let Ok(rows) = boxes.list().await
            && rows != known
        {
            greeted = None;
            take(&shared, &dispatching, &rows);
            known = rows;
        }
        if greeted.is_none_or(|at| shared.now().saturating_sub(at) >= HELLO_EVERY) {
            greeted = Some(shared.now());
            for row in known.iter().filter(|row| row.id != shared.settings.id) {
                shared.post.send(row.mailbox, Message::Hello);
            }
        }
        tokio::time::sleep(poll).await;
    }
}

fn take(shared: &Shared, dispatching: &Dispatching, rows: &[BoxRow]) {
    let sides: Vec<BoxRow> = rows.iter().filter(|row| row.role == Role::Side).cloned().collect();
    let others = rows.iter().filter(|row| row.role == Role::Entry && row.id != shared.settings.id);
    let peers = others.map(|row| (row.id.clone(), row.mailbox)).collect();
    *shared.peers.write().unwrap_or_else(std::sync::PoisonError::into_inner) = peers;
    let keep: Vec<_> = rows.iter().map(|row| row.mailbox).collect();
    shared.post.retain(&keep);
    dispatching.tell(Input::Listed(sides));
}
