//! What a process does for its peers.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use rampbay_jobs::freshness::Freshness;
use rampbay_jobs::store::{AppendError, ReadError, Store};

use crate::protocol::{StoreReply, StoreRequest};
use crate::reports::Reports;
use crate::server::{Handler, HttpResponse};
use crate::snapshots::Snapshots;

/// What a process serves its peers with.
#[derive(Clone)]
pub struct PeerService {
    /// Its direct way to the store alone, so that a call takes one hop at most.
    pub direct: Rc<dyn Store>,
    /// All ways that it has itself but for gateways, for the appends that it gathers: two processes that take each other
    /// for the leader must not hand them to and fro.
    pub gathers: Rc<dyn Store>,
    /// The topics that it follows whole, by their names.
    pub followed: Followed,
    /// Reports that it gathers, if it does.
    pub reports: Option<Rc<Reports>>,
    /// The state as a whole, if it follows it.
    pub snapshots: Option<Rc<Snapshots>>,
}

/// Topics that a process follows whole, and passes on.
pub type Followed = BTreeMap<String, Rc<Freshness>>;

/// Makes the handler that serves peers.
#[must_use]
pub fn handler(served: PeerService) -> Handler {
    Rc::new(move |received| {
        let served = served.clone();
        Box::pin(async move {
            let request: Result<StoreRequest, _> = postcard::from_bytes(&received.body);
            let Ok(request) = request else { return HttpResponse::status(StatusCode::BAD_REQUEST) };
            let reply = handle_request(&served, request).await;
            match postcard::to_allocvec(&reply) {
                Ok(body) => {
                    HttpResponse::with_body(StatusCode::OK, "application/octet-stream", body)
                }
                Err(_) => HttpResponse::status(StatusCode::INTERNAL_SERVER_ERROR),
            }
        })
    })
}

/// Does what a peer asks for.
pub async fn handle_request(served: &PeerService, request: StoreRequest) -> StoreReply {
    let store = served.direct.as_ref();
    match request {
        StoreRequest::Tail { topic, from, wait_ms, agent } => {
            let wait = Duration::from_millis(wait_ms);
            StoreReply::Read(match served.followed.get(&topic) {
                Some(followed) => followed.pass_on(from, wait, agent.as_deref()).await,
                None => Err(ReadError::Unavailable),
            })
        }
        StoreRequest::Append { topic, records, fence } => {
            StoreReply::Append(store.append(&topic, &records, fence.as_ref()).await)
        }
        StoreRequest::Gather { topic, records } => {
            StoreReply::Append(served.gathers.append(&topic, &records, None).await)
        }
        StoreRequest::Read { topic, from, wait_ms } => {
            StoreReply::Read(store.read(&topic, from, Duration::from_millis(wait_ms)).await)
        }
        StoreRequest::Newest { topic } => StoreReply::Newest(store.newest(&topic).await),
        StoreRequest::Stand { member, generation } => {
            StoreReply::Stand(store.stand_for_election(&member, generation).await)
        }
        StoreRequest::Holder => StoreReply::Holder(store.holder().await),
        StoreRequest::Ping => StoreReply::Pong,
        StoreRequest::Snapshot { agent } => StoreReply::Newest(match &served.snapshots {
            Some(snapshots) => snapshots.take(agent.as_deref()).await,
            None => Err(ReadError::Unavailable),
        }),
        StoreRequest::Entries => {
            let entries = served.snapshots.as_ref().map(|snapshots| snapshots.entries());
            StoreReply::Entries(entries.unwrap_or_default())
        }
        StoreRequest::Report { reports } => {
            let gathered = served.reports.as_ref().map(|gathered| gathered.take_in(reports));
            StoreReply::Report(gathered.ok_or(AppendError::Refused))
        }
        StoreRequest::Resign { member } => {
            store.resign(&member).await;
            StoreReply::Resigned
        }
    }
}
