//! Handles the requests of peers.

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

/// The stores and views from which a process serves its peers.
#[derive(Clone)]
pub struct PeerService {
    /// The direct path to the store only, so that a call takes one hop at most.
    pub direct: Rc<dyn Store>,
    /// All paths of this process except gateways, for the appends that it batches: two processes
    /// that each take the other for the leader must not pass appends back and forth.
    pub batching: Rc<dyn Store>,
    /// The topics that this process follows completely, by name.
    pub followed: FollowedTopics,
    /// Reports that this process collects, if it does.
    pub reports: Option<Rc<Reports>>,
    /// Snapshots of the state, if this process follows all of it.
    pub snapshots: Option<Rc<Snapshots>>,
}

/// Topics that a process follows completely and passes on, by name.
pub type FollowedTopics = BTreeMap<String, Rc<Freshness>>;

/// Creates the HTTP handler for the requests of peers.
#[must_use]
pub fn handler(service: PeerService) -> Handler {
    Rc::new(move |received| {
        let service = service.clone();
        Box::pin(async move {
            let request: Result<StoreRequest, _> = postcard::from_bytes(&received.body);
            let Ok(request) = request else { return HttpResponse::status(StatusCode::BAD_REQUEST) };
            let Ok(_held) = received.memory.hold(request.memory_bytes()) else {
                return HttpResponse::no_room();
            };
            let reply = handle_request(&service, request).await;
            match postcard::to_allocvec(&reply) {
                Ok(body) => {
                    HttpResponse::with_body(StatusCode::OK, "application/octet-stream", body)
                }
                Err(_) => HttpResponse::status(StatusCode::INTERNAL_SERVER_ERROR),
            }
        })
    })
}

/// Handles a request of a peer.
pub async fn handle_request(service: &PeerService, request: StoreRequest) -> StoreReply {
    let store = service.direct.as_ref();
    match request {
        StoreRequest::Tail { topic, from, wait_ms, agent } => {
            let wait = Duration::from_millis(wait_ms);
            StoreReply::Read(match service.followed.get(&topic) {
                Some(followed) => followed.pass_on(from, wait, agent.as_deref()).await,
                None => Err(ReadError::Unavailable),
            })
        }
        StoreRequest::Append { topic, records, fence } => {
            StoreReply::Append(store.append(&topic, &records, fence.as_ref()).await)
        }
        StoreRequest::Gather { topic, records } => {
            StoreReply::Append(service.batching.append(&topic, &records, None).await)
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
        StoreRequest::Snapshot { agent } => StoreReply::Newest(match &service.snapshots {
            Some(snapshots) => snapshots.take(agent.as_deref()).await,
            None => Err(ReadError::Unavailable),
        }),
        StoreRequest::Entries => {
            let entries = service.snapshots.as_ref().map(|snapshots| snapshots.entries());
            StoreReply::Entries(entries.unwrap_or_default())
        }
        StoreRequest::Report { reports } => {
            let added = service.reports.as_ref().map(|added| added.add(reports));
            StoreReply::Report(added.ok_or(AppendError::Refused))
        }
        StoreRequest::Resign { member } => {
            store.resign(&member).await;
            StoreReply::Resigned
        }
    }
}
